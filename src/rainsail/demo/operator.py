"""The operator of the demonstration: declares resources over the HTTP operator API."""

from collections.abc import Generator
from typing import Any

from expression import Result
from twisted.internet.defer import Deferred, inlineCallbacks

from rainsail.demo.callers import CALL_TIMEOUT_S, CallerSeams
from rainsail.demo.site import POSITIONS, REPORTS, DemoResource, DemoSite
from rainsail.demo.traffic_plan import COMPLETION_PATH
from rainsail.errors import Fault
from rainsail.gateway.openai.headers import CLASS_HEADER
from rainsail.resources.specs import Kind, RequestClass
from rainsail.runtime.clock import sleep

RETRY_DELAY_S = 0.2
READY_POLL_S = 0.2


class DemoOperator:
    """Speaks to the replicas in turn; every change is re-sent under its own id until answered."""

    def __init__(self, site: DemoSite, seams: CallerSeams) -> None:
        self._site = site
        self._seams = seams
        self._next = 0
        self._changes = 0
        self._draw = seams.draw
        self.waiting_for = "an answer of the operator API"

    @inlineCallbacks
    def put(self, resource: DemoResource) -> Generator[Deferred[Any], Any, Any]:
        """Create or replace a resource; fires with the answer."""
        answer = yield self._change("PUT", resource.kind, resource.name, resource.spec)
        return answer

    @inlineCallbacks
    def drain(self, runner: str) -> Generator[Deferred[Any], Any, Any]:
        """Ask a runner to leave; fires when the change is accepted."""
        answer = yield self._change("PATCH", Kind.RUNNER, runner, {"drain": True})
        return answer

    @inlineCallbacks
    def wait_until_ready(self) -> Generator[Deferred[Any], Any, None]:
        """Wait until every runner is ready and every gateway answers under this start's keys."""
        while True:
            listed = yield self._until_answered("GET", f"/v1/resources/{Kind.RUNNER}", None)
            self.waiting_for = _not_ready(listed)
            if not self.waiting_for:
                break
            yield sleep(self._seams.clock, READY_POLL_S)
        for gateway, base in self._site.caller_apis.items():
            for service in (REPORTS, POSITIONS):
                self.waiting_for = f"an answer of {service} at {gateway}"
                yield self._wait_for_answer(base, service)

    @inlineCallbacks
    def _wait_for_answer(self, base: str, service: str) -> Generator[Deferred[Any], Any, None]:
        """Ask for one token until it comes: a status of an earlier start may still say ready."""
        key = list(self._site.tenant_keys.values())[-1]
        url = f"{base}{COMPLETION_PATH}"
        body = {"model": service, "prompt": "ready?", "max_tokens": 1}
        headers = {CLASS_HEADER: RequestClass.ONLINE.value}
        while True:
            asked = self._seams.http.call("POST", url, key, CALL_TIMEOUT_S, headers, json=body)
            answer = yield Deferred.fromCoroutine(asked)
            if answer.is_ok():
                return
            yield sleep(self._seams.clock, READY_POLL_S)

    @inlineCallbacks
    def leader(self) -> Generator[Deferred[Any], Any, str]:
        """Return the name of the group's leader."""
        while True:
            status = yield self._until_answered("GET", "/v1/status", None)
            if status["leader"]:
                return status["leader"]
            yield sleep(self._seams.clock, RETRY_DELAY_S)

    @inlineCallbacks
    def _change(
        self, method: str, kind: Kind, name: str, spec: dict[str, Any]
    ) -> Generator[Deferred[Any], Any, Any]:
        change_id = f"demo-{self._draw.getrandbits(64):016x}"
        body = {"spec": spec, "change_id": change_id}
        answer = yield self._until_answered(method, f"/v1/resources/{kind.value}/{name}", body)
        return answer

    @inlineCallbacks
    def _until_answered(
        self, method: str, path: str, body: Any
    ) -> Generator[Deferred[Any], Any, Any]:
        while True:
            result = yield Deferred.fromCoroutine(self._call(method, path, body))
            if result.is_ok():
                return result.ok
            self._next += 1
            yield sleep(self._seams.clock, result.error.retry_after_s or RETRY_DELAY_S)

    async def _call(self, method: str, path: str, body: Any) -> Result[Any, Fault]:
        bases = self._site.operator_apis
        url = bases[self._next % len(bases)] + path
        key = self._site.operator_key
        sent = {} if body is None else {"json": body}
        return await self._seams.http.call(method, url, key, CALL_TIMEOUT_S, **sent)


def _not_ready(listed: Any) -> str:
    """Return which runners of a list are not ready yet; empty when all are."""
    runners = listed["resources"]
    missing = [each["name"] for each in runners if not (each["status"] or {}).get("ready")]
    return f"runners {', '.join(missing)}" if missing else ""
