"""A caller API on a loopback port with doubles below it.

The reactor runs in a thread of its own; the OpenAI client runs in the steps' thread, as a
caller's process would.
"""

import http.client
import importlib
import itertools
import json
from collections.abc import Callable
from typing import Any

from expression import Error, Ok
from features.support.reactor_thread import in_reactor, reactor
from twisted.internet.defer import succeed

from rainsail.control.messages import ResultsReply
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.gateway.http_api import CallerApi
from rainsail.gateway.interface import Answer, CallerRequest, ResponseSink
from rainsail.gateway.openai.authentication import hash_key
from rainsail.gateway.openai.settings import CallerApiSettings
from rainsail.resources.specs import Kind, Resource, ResourceKey, ServiceSpec, TenantSpec
from rainsail.state.commands import ItemBody, ItemPhase, JobPhase, JobSpec, JobView
from rainsail.state.interface import ResultRow

API_KEY = "key-of-the-exporter"
OTHER_KEY = "key-of-the-broker"
NOW_UNIX_S = 1_800_000_000.0


class _LazyLibrary:
    """Imports a library on first use, so that step files load fast."""

    def __init__(self, name: str) -> None:
        self._name = name

    def __getattr__(self, attribute: str) -> Any:
        return getattr(importlib.import_module(self._name), attribute)


openai: Any = _LazyLibrary("openai")


class FixedConfig:
    """A configuration of two tenants and two services, one without an active version."""

    revision = 5

    def __init__(self) -> None:
        self.is_ready = True

    def ready(self) -> bool:
        """Return whether the configuration has been read."""
        return self.is_ready

    def lease_valid(self) -> bool:
        """Return True: the lease never expires."""
        return True

    def list_resources(self, kind: Kind) -> list[Resource]:
        """Return the resources of a kind."""
        specs: dict[Kind, dict[str, Any]] = {
            Kind.TENANT: {
                "exporter": TenantSpec(1000.0, 1000.0, key_hashes=(hash_key(API_KEY),)),
                "broker": TenantSpec(1000.0, 1000.0, key_hashes=(hash_key(OTHER_KEY),)),
            },
            Kind.SERVICE: {
                "reports": ServiceSpec(active_version="reports-1"),
                "inactive": ServiceSpec(),
            },
        }
        found = specs.get(kind, {}).items()
        return [Resource(ResourceKey(kind, name), spec, 5, 5) for name, spec in found]

    def get(self, key: ResourceKey) -> Resource | None:
        """Return one resource."""
        return next((each for each in self.list_resources(key.kind) if each.key == key), None)

    def on_event(self, listener: Callable[[Any], None]) -> None:
        """Never call the listener: this configuration does not change."""


class ScriptedRun:
    """One request at the gateway double, and the calls of its handle."""

    def __init__(self, request: CallerRequest, sink: ResponseSink) -> None:
        self.request = request
        self.sink = sink
        self.calls: list[str] = []

    def abandon(self) -> None:
        """Record that the caller disconnected."""
        self.calls.append("abandon")

    def pause(self) -> None:
        """Record a pause."""
        self.calls.append("pause")

    def unpause(self) -> None:
        """Record the end of a pause."""
        self.calls.append("unpause")

    def answer(self, parts: tuple[str, ...], finish_reason: str = "stop") -> None:
        """Send parts and the answer."""
        for part in parts:
            self.sink.on_part(part, 1)
        text = "".join(parts)
        answer = Answer(
            self.request.request_id, Outcome.COMPLETED, text, finish_reason, 3, len(parts), "r-1"
        )
        self.sink.on_answer(answer)


class GatewayDouble:
    """Answers each request at once by a script, or leaves it open for the step."""

    def __init__(self) -> None:
        self.runs: list[ScriptedRun] = []
        self.script: Callable[[ScriptedRun], None] = lambda run: run.answer(("Reefer ", "fine."))

    def submit(self, request: CallerRequest, sink: ResponseSink) -> ScriptedRun:
        """Run the script on a request."""
        run = ScriptedRun(request, sink)
        self.runs.append(run)
        self.script(run)
        return run


class IntakeDouble:
    """Keeps jobs in memory; a submitted job completes at once with its second item failed."""

    def __init__(self) -> None:
        self.jobs_by_id: dict[str, tuple[JobView, tuple[ItemBody, ...]]] = {}
        self.pages = 0
        self._numbers = itertools.count(1)

    def submit(
        self,
        tenant: str,
        job_key: str,
        service: str,
        items: tuple[ItemBody, ...],
        deadline_unix_s: float,
        adapter: str = "",
    ) -> Any:
        """Accept a job; the same key with other items is a conflict."""
        for view, known in self.jobs_by_id.values():
            if view.spec.job_key == job_key and view.spec.tenant == tenant:
                same = known == items
                conflict = Fault(FaultCode.CONFLICT, "batch.intake", "other content")
                return succeed(Ok(view) if same else Error(conflict))
        spec = JobSpec(job_key, tenant, service, len(items), "", deadline_unix_s, adapter)
        set_aside = 1 if len(items) > 1 else 0
        job_id = f"job-{next(self._numbers)}"
        completed = len(items) - set_aside
        view = JobView(job_id, spec, JobPhase.COMPLETED, 0, 0, completed, set_aside, 0)
        self.jobs_by_id[job_id] = (view, items)
        return succeed(Ok(view))

    def job(self, tenant: str, job_id: str) -> Any:
        """Return one job."""
        found = self.jobs_by_id.get(job_id)
        if found is None or found[0].spec.tenant != tenant:
            return succeed(Error(Fault(FaultCode.NOT_FOUND, "batch.intake", f"no job {job_id}")))
        return succeed(Ok(found[0]))

    def jobs(self, tenant: str) -> Any:
        """Return every job of a tenant."""
        views = (view for view, _ in self.jobs_by_id.values())
        return succeed(Ok(tuple(view for view in views if view.spec.tenant == tenant)))

    def cancel(self, tenant: str, job_id: str) -> Any:
        """Cancel a job."""
        view, items = self.jobs_by_id[job_id]
        cancelled = JobView(job_id, view.spec, JobPhase.CANCELLED, 0, 0, 0, 0, len(items))
        self.jobs_by_id[job_id] = (cancelled, items)
        return succeed(Ok(cancelled))

    def results(self, tenant: str, job_id: str, first: int, limit: int) -> Any:
        """Return a page of results."""
        self.pages += 1
        _, items = self.jobs_by_id[job_id]
        rows = tuple(self._row(index, item) for index, item in enumerate(items))
        page = rows[first : first + limit]
        further = first + limit if first + limit < len(rows) else -1
        return succeed(Ok(ResultsReply(page, further)))

    @staticmethod
    def _row(index: int, item: ItemBody) -> ResultRow:
        if index == 1:
            return ResultRow(index, item.custom_id, ItemPhase.SET_ASIDE, "", "poison")
        return ResultRow(index, item.custom_id, ItemPhase.COMPLETED, f"did {item.prompt}", "")


class ServedApi:
    """A listening caller API and the doubles below it."""

    def __init__(self, **settings: Any) -> None:
        self.gateway = GatewayDouble()
        self.config = FixedConfig()
        self.intake = IntakeDouble()
        api = CallerApi(
            self.gateway,
            self.config,
            self.intake,
            CallerApiSettings.model_validate(settings),
            lambda: NOW_UNIX_S,
        )
        self._port = in_reactor(api.listen, reactor, "127.0.0.1", 0)
        self.port = self._port.getHost().port
        self.url = f"http://127.0.0.1:{self.port}"

    def close(self) -> None:
        """Stop listening."""
        in_reactor(self._port.stopListening)


def serve(context: Any, **api_settings: Any) -> None:
    """Serve an API until the scenario's end."""
    context.api = ServedApi(**api_settings)
    context.add_cleanup(context.api.close)
    context.client = make_client(context, API_KEY)


def make_client(context: Any, key: str) -> Any:
    """Return an OpenAI client that does not retry."""
    client = openai.OpenAI(api_key=key, base_url=f"{context.api.url}/v1", max_retries=0)
    context.add_cleanup(client.close)
    return client


def raw_post(context: Any, path: str, body: bytes, headers: dict[str, str] | None = None) -> None:
    """Post bytes as a caller without a library would; keeps status and JSON."""
    connection = http.client.HTTPConnection("127.0.0.1", context.api.port, timeout=20)
    sent = {"Authorization": f"Bearer {API_KEY}", "Content-Type": "application/json"}
    connection.request("POST", path, body, {**sent, **(headers or {})})
    response = connection.getresponse()
    context.raw_status = response.status
    context.raw_body = json.loads(response.read())
    connection.close()
