"""Clients' calls about relayed jobs, in the product's own names.

A job is handed in by a POST under the prefix of a batch route, its id in the request's header.
"""

from typing import Any
from urllib.parse import parse_qs, unquote

from rainsail.fleet_api.items import read_items, whole_number
from rainsail.fleet_api.replies import EMPTY, reply_fault, reply_when_done
from rainsail.http.exchange import Exchange, Handler
from rainsail.jobs.client import JobClient
from rainsail.jobs.messages import QueueLimit, ResultPage
from rainsail.relay.gateway import RelayGateway
from rainsail.relay.protocol import RequestFacts
from rainsail.relay.table import Route
from rainsail.tenancy.tenants import Identity

JOBS = "/v1/relayed-jobs/"
STATUS_ACCEPTED = 202


def client_handler(gateway: RelayGateway, jobs: JobClient) -> Handler:
    """Return the handler of a gateway's address for clients."""
    calls = JobApi(gateway, jobs)
    gateway.on_batch = calls.submit

    def handle(exchange: Exchange) -> None:
        if not calls.handle(exchange):
            gateway.handle(exchange)

    return handle


class JobApi:
    """Each call is one of the ledger's, wherever its leader is."""

    def __init__(self, gateway: RelayGateway, jobs: JobClient) -> None:
        self._gateway = gateway
        self._jobs = jobs

    def submit(
        self, exchange: Exchange, route: Route, facts: RequestFacts, identity: Identity
    ) -> None:
        """Hand a job in; 202 once a quorum has synced all of it."""
        items = read_items(exchange.request.body)
        if items.is_error():
            reply_fault(exchange, items.error)
            return
        limit = QueueLimit(route.prefix, route.max_queued_tokens)
        done = self._jobs.submit(
            identity.tenant, facts.request, facts.host, facts.path, items.ok, limit
        )
        reply_when_done(exchange, done, lambda _: EMPTY, STATUS_ACCEPTED)

    def handle(self, exchange: Exchange) -> bool:
        """Answer a call about a job that is there; False when it is another request."""
        path, _, query = exchange.request.target.decode("latin-1").partition("?")
        if not path.startswith(JOBS):
            return False
        job, _, rest = path[len(JOBS) :].partition("/")
        identity = self._gateway.identify_job_call(exchange)
        if identity is None:
            return True
        tenant, job = identity.tenant, unquote(job)
        if exchange.request.method == b"DELETE" and not rest:
            reply_when_done(exchange, self._jobs.end(tenant, job), lambda _: EMPTY)
        elif exchange.request.method == b"GET" and rest == "results":
            self._read(exchange, tenant, job, parse_qs(query))
        elif exchange.request.method == b"GET" and rest.startswith("bodies/"):
            self._read_body(exchange, tenant, job, unquote(rest.removeprefix("bodies/")))
        else:
            return False
        return True

    def _read(self, exchange: Exchange, tenant: str, job: str, query: dict[str, list[str]]) -> None:
        after = whole_number(query.get("after", ["0"])[0])
        wait_s = float(whole_number(query.get("wait_s", ["0"])[0]))
        reply_when_done(exchange, self._jobs.read(tenant, job, after, wait_s), page_body)

    def _read_body(self, exchange: Exchange, tenant: str, job: str, item: str) -> None:
        def answer(result: Any) -> None:
            if result.is_error():
                reply_fault(exchange, result.error)
            else:
                kind = (b"Content-Type", b"application/octet-stream")
                exchange.answer(200, (kind,), result.ok.body)

        self._jobs.read_body(tenant, job, item).addCallback(answer)


def page_body(page: ResultPage) -> dict[str, Any]:
    """Return a page of results as JSON has it."""
    results = [
        {"item": entry.item, "done": entry.done, "text": entry.text} for entry in page.results
    ]
    return {"total": page.total, "next": page.after + len(results), "results": results}
