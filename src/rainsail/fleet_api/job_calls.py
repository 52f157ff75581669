"""Serves clients' calls about relayed jobs, independent of their format on the wire.

A job is submitted by a request on a batch route, with the job's id in a header. A ``JobCallFormat``
defines the format of the other calls. Each call is forwarded to the leader of the ledger group.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, Protocol

from rainsail.fleet_api.items import read_items
from rainsail.fleet_api.replies import (
    EMPTY,
    RETRY_AFTER_S,
    STATUS_ACCEPTED,
    STATUS_OK,
    STATUS_UNAVAILABLE,
    reply,
    reply_fault,
    reply_json,
    reply_when_done,
)
from rainsail.http.exchange import Exchange, Handler, HttpRequest
from rainsail.jobs.client import JobClient
from rainsail.jobs.messages import QueueLimit, ResultPage
from rainsail.logs import logger
from rainsail.relay.gateway import RelayGateway
from rainsail.relay.protocol import RequestFacts
from rainsail.relay.table import Route
from rainsail.tenancy.tenants import Identity

BODY_TYPE = (b"Content-Type", b"application/octet-stream")


@dataclass(frozen=True, slots=True)
class ReadJobResults:
    """Read the results from a position on; waits up to ``wait_s`` for a result to arrive."""

    job: str
    after: int
    wait_s: float


@dataclass(frozen=True, slots=True)
class ReadJobBody:
    """Read the request body of an item that has no result yet."""

    job: str
    item: str


@dataclass(frozen=True, slots=True)
class EndJob:
    """Cancel a job: run none of its remaining items."""

    job: str


@dataclass(frozen=True, slots=True)
class UnknownJobCall:
    """An unknown call under the jobs path: its key is checked, then it is relayed."""


JobCall = ReadJobResults | ReadJobBody | EndJob | UnknownJobCall


class JobCallFormat(Protocol):
    """The format of calls about jobs and of their replies."""

    def read_call(self, request: HttpRequest) -> JobCall | None:
        """Return the call in a request, None if it is not a call about a job."""
        ...

    def page_body(self, page: ResultPage) -> Mapping[str, Any]:
        """Return the JSON body for a page of results."""
        ...


def client_handler(gateway: RelayGateway, jobs: JobClient, calls: JobCallFormat) -> Handler:
    """Return the HTTP handler of a gateway for clients."""
    service = JobCallService(gateway, jobs, calls)
    gateway.on_batch = service.submit

    def handle(exchange: Exchange) -> None:
        if not service.handle(exchange):
            gateway.handle(exchange)

    return handle


class JobCallService:
    """Handles calls about jobs by means of the ledger."""

    def __init__(self, gateway: RelayGateway, jobs: JobClient, calls: JobCallFormat) -> None:
        self._gateway = gateway
        self._jobs = jobs
        self._calls = calls

    def submit(
        self, exchange: Exchange, route: Route, facts: RequestFacts, identity: Identity
    ) -> None:
        """Submit a job; replies 202 once a quorum has synced all of it."""
        log = logger.bind(job=facts.request)
        holding = self._jobs.intake.begin(len(exchange.request.body))
        if holding is None:
            log.info("job_without_room")
            reply(exchange, STATUS_UNAVAILABLE, retry_after_s=RETRY_AFTER_S)
            return
        items = read_items(exchange.take_body())
        if items.is_error():
            self._jobs.intake.end(holding)
            log.bind(fault=str(items.error)).info("job_refused")
            reply_fault(exchange, items.error)
            return

        def answer(result: Any) -> None:
            self._jobs.intake.end(holding)
            if result.is_ok():
                log.info("job_accepted")
                reply_json(exchange, STATUS_ACCEPTED, EMPTY)
                return
            log.bind(fault=str(result.error)).info("job_not_accepted")
            reply_fault(exchange, result.error)

        limit = QueueLimit(route.prefix, route.max_queued_tokens)
        done = self._jobs.submit(
            identity.tenant, facts.request, facts.host, facts.path, items.ok, limit
        )
        done.addCallback(answer)

    def handle(self, exchange: Exchange) -> bool:
        """Handle a call about a job; return False for any other request."""
        call = self._calls.read_call(exchange.request)
        if call is None:
            return False
        identity = self._gateway.identify_job_call(exchange)
        if identity is None:
            return True
        match call:
            case ReadJobResults():
                page = self._jobs.read(identity.tenant, call.job, call.after, call.wait_s)
                reply_when_done(exchange, page, self._calls.page_body)
            case ReadJobBody():
                self._read_body(exchange, identity.tenant, call)
            case EndJob():
                ended = self._jobs.end(identity.tenant, call.job)
                reply_when_done(exchange, ended, lambda _: EMPTY)
            case UnknownJobCall():
                return False
        return True

    def _read_body(self, exchange: Exchange, tenant: str, call: ReadJobBody) -> None:
        def answer(result: Any) -> None:
            if result.is_error():
                reply_fault(exchange, result.error)
            else:
                exchange.answer(STATUS_OK, (BODY_TYPE,), result.ok.body)

        self._jobs.read_body(tenant, call.job, call.item).addCallback(answer)
