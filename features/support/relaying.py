"""A gateway's relay with fakes for the clients' exchanges and for the connections to runners."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from rainsail.cluster.messages import RunnerRecord, RunnerState
from rainsail.cluster.registry import RunnerRegistry
from rainsail.http.client import AnswerHead, OutgoingRequest
from rainsail.http.exchange import HttpRequest
from rainsail.http.reachability import Reachability
from rainsail.mechanisms import Mechanisms
from rainsail.relay.context import make_context
from rainsail.relay.protocol import (
    AnswerVerdict,
    ItemFacts,
    ItemRequest,
    RequestFacts,
    RunnerTarget,
)
from rainsail.relay.run import RelayRun
from rainsail.relay.settings import RelaySettings
from rainsail.relay.table import ClientLimits, Route, RouteKind, RoutingTable, Service, ServiceShare
from rainsail.routing.facts import PromptPart, ServerLoad
from rainsail.simulation.clock import VirtualClock
from rainsail.state.job_commands import RelayedItem
from rainsail.tenancy.tenants import ANONYMOUS, Identity

SERVICE = "model"
HOST = "a.example"
PATH = "/a/1"
NOT_RUN_FIELD = b"not-run"
HEAD_AFTER_S = 0.02
EVENT_STREAM_FIELDS = ((b"content-type", b"text/event-stream"),)
CHUNKED_FIELDS = ((b"transfer-encoding", b"chunked"),)


def event(number: int) -> bytes:
    """Return the bytes of one event."""
    return f"id: {number}\ndata: text {number}\n\n".encode()


class PlainProtocol:
    """A minimal relay protocol with the few headers that the tests need."""

    def describe(self, request: HttpRequest) -> RequestFacts:
        """Not used: tests construct the facts."""
        raise NotImplementedError

    def relayed(
        self,
        request: HttpRequest,
        target: RunnerTarget,
        deadline_left_s: float | None,
        after_event: int | None,
        identity: Identity = ANONYMOUS,
    ) -> OutgoingRequest:
        """Send the time left and the event to resume after."""
        fields = [(b"runner", target.runner.encode())]
        if deadline_left_s is not None:
            fields.append((b"deadline-left", f"{deadline_left_s:.3f}".encode()))
        if after_event is not None:
            fields.append((b"after-event", str(after_event).encode()))
        return OutgoingRequest(request.method, request.target, tuple(fields), request.body)

    def describe_item(self, item: RelayedItem) -> ItemFacts:
        """Return the facts of an item without a prompt."""
        return ItemFacts()

    def item_request(self, item: ItemRequest, target: RunnerTarget) -> OutgoingRequest:
        """Send an item with the event to resume after."""
        fields = [(b"runner", target.runner.encode()), (b"item", item.item.item.encode())]
        if item.after_event is not None:
            fields.append((b"after-event", str(item.after_event).encode()))
        if item.tenant:
            fields.append((b"tenant", item.tenant.encode()))
        return OutgoingRequest(b"POST", item.item.path.encode(), tuple(fields), item.item.body)

    def judge(self, head: AnswerHead, request: str) -> AnswerVerdict:
        """Read ``not-run`` and ``of``, the request that an answer belongs to."""
        fields = dict(head.headers)
        belongs = fields.get(b"of", request.encode()) == request.encode()
        not_run = NOT_RUN_FIELD in fields
        promises = head.status in (429, 503)
        numbers = [int(text) for text in fields.get(b"load", b"").split(b",") if text]
        load = ServerLoad(*numbers) if numbers else None
        return AnswerVerdict(belongs, not_run, promises, head.status == 421, load)

    def answer_headers(self, head: AnswerHead) -> Any:
        """Forward all fields."""
        return head.headers

    def refusal_headers(self, retry_after_s: float | None) -> Any:
        """Return the retry time as a field."""
        return () if retry_after_s is None else ((b"retry-after", f"{retry_after_s:g}".encode()),)


@dataclass
class StandInCall:
    """One sent request, and the listener through which a test answers it."""

    address: str
    request: OutgoingRequest
    listener: Any
    sender: str = ""
    cancelled: bool = False
    over: bool = False
    is_paused: bool = False
    sent: bool = True

    def cancel(self) -> None:
        """Record that the request was cancelled."""
        self.cancelled = True

    def set_paused(self, is_paused: bool) -> None:
        """Record whether the answer is read."""
        self.is_paused = is_paused

    def field(self, name: bytes) -> str:
        """Return a field of the request as text."""
        return dict(self.request.headers).get(name, b"").decode()

    @property
    def job(self) -> str:
        """The job of an item's request: the item's name without its number."""
        return self.field(b"item").rpartition("-")[0]

    def answer(self, status: int, body: bytes = b"", *fields: tuple[bytes, bytes]) -> None:
        """Send a complete answer."""
        self.listener.answer_begun(AnswerHead(status, fields))
        if body:
            self.listener.answer_data(body)
        self.listener.answer_ended()

    def begin_stream(self, load: str = "", is_framed: bool | None = None) -> None:
        """Send the head of a stream, with the runner's load report if there is one.

        By default the answer to an item is in chunks, and any other one ends with its connection.
        """
        fields = (*EVENT_STREAM_FIELDS, (b"load", load.encode()))
        if is_framed or (is_framed is None and self.field(b"item")):
            fields = (*fields, *CHUNKED_FIELDS)
        self.listener.answer_begun(AnswerHead(200, fields))


class StandInPool:
    """A connection pool without a network: tests answer in the runners' place."""

    def __init__(self, clock: Any = None) -> None:
        """With a ``clock`` the head of each answer is sent after ``HEAD_AFTER_S``."""
        self.calls: list[StandInCall] = []
        self.forgotten: list[str] = []
        self.settled: set[str] = set()
        self.opens_connections = True
        self.clock = clock

    def send(
        self,
        address: str,
        request: OutgoingRequest,
        listener: Any,
        fresh: bool = False,
        settled_s: float = 0.0,
    ) -> StandInCall:
        """Record a request."""
        call = StandInCall(address, request, listener, sent=self.opens_connections)
        self.calls.append(call)
        if self.clock is not None:
            self.clock.callLater(HEAD_AFTER_S, self._begin, call)
        return call

    @staticmethod
    def _begin(call: StandInCall) -> None:
        if not call.cancelled and not call.over:
            call.begin_stream()

    def has_settled(self, address: str, settled_s: float) -> bool:
        """Tell whether a test has named the server as one with a settled connection."""
        return address in self.settled

    def forget(self, address: str) -> None:
        """Record that idle connections were closed."""
        self.forgotten.append(address)

    def probe(self, address: str, on_result: Callable[[Reachability], None]) -> None:
        """Report every runner as open."""
        on_result(Reachability.OPEN)

    def close_stale(self) -> None:
        """There are no idle connections here."""


@dataclass
class StandInExchange:
    """A client's exchange; records what the client has received, and when."""

    request: HttpRequest
    clock: VirtualClock
    status: int = 0
    headers: Any = ()
    body: bytes = b""
    ended: bool = False
    aborted: bool = False
    answered_at_s: float | None = None
    left: Any = None

    def answer(self, status: int, headers: Any, body: bytes) -> None:
        """Receive a complete answer."""
        assert not self.status, "answered twice"
        self.begin(status, headers)
        self.body = body
        self.end()

    def begin(self, status: int, headers: Any) -> None:
        """Receive a head."""
        assert not self.status, "begun twice"
        self.status = status
        self.headers = headers
        self.answered_at_s = self.clock.seconds()

    def write(self, data: bytes) -> None:
        """Receive a piece of the body."""
        self.body += data

    def end(self) -> None:
        """Receive the end of a complete answer."""
        assert not self.ended and not self.aborted
        self.ended = True

    def abort(self) -> None:
        """Record that the connection was aborted."""
        assert not self.ended
        self.aborted = True

    def on_disconnect(self, listener: Any) -> None:
        """Keep the listener; a test calls ``left`` to disconnect the client."""
        self.left = listener

    def on_slow_client(self, listener: Any) -> None:
        """Keep the listener; a test calls ``slow`` for a client that reads too slowly, or not."""
        self.slow = listener

    def take_body(self) -> bytes:
        """Return the body of the request."""
        return self.request.body


@dataclass
class RelayWorld:
    """A relay with runners of one service, in virtual time."""

    runners: int = 3
    clock: VirtualClock = field(default_factory=VirtualClock)
    pool: StandInPool = field(default_factory=StandInPool)
    registry: RunnerRegistry = field(default_factory=RunnerRegistry)
    ended: list[RelayRun] = field(default_factory=list)
    last_run: RelayRun | None = None
    """The run of the latest request."""

    def __post_init__(self) -> None:
        self.context = make_context(
            "zone-1",
            self.clock,
            self.registry,
            self.pool,  # type: ignore[arg-type]
            PlainProtocol(),
            random.Random(1),
            RelaySettings(mechanisms=Mechanisms(admission=True)),
        )
        for number in range(1, self.runners + 1):
            self.registry.take((runner_record(number),))

    def put_route(
        self, kind: str, attempts: int = 2, resumable: bool = False, version: int = 1, **more: Any
    ) -> None:
        """Install a table of one route."""
        values: dict[str, Any] = {
            "name": "r",
            "host": HOST,
            "prefix": "/a/",
            "kind": RouteKind(kind),
            "shares": (ServiceShare(SERVICE, 1.0),),
            "timeout_s": 4.0,
            "target_s": 0.3,
            "max_attempts": attempts,
            "resumable": resumable,
            "gap_target_s": 0.5,
        }
        values.update(more)
        services = (Service(SERVICE, 100, True),)
        self.context.put_in_force(
            RoutingTable(version, (Route(**values),), services, ClientLimits())
        )

    def drop_routes(self) -> None:
        """Install a table without routes."""
        self.context.table = RoutingTable(9, (), (), ClientLimits())

    def request(
        self,
        deadline_s: float | None = 5.0,
        prompt: tuple[PromptPart, ...] = (),
        request: str = "request-1",
        after_event: int | None = None,
        resumes: str = "",
    ) -> StandInExchange:
        """Have a client send a request, or resume a stream after an event."""
        assert self.context.table is not None
        head = HttpRequest(b"POST", PATH.encode(), (), b"body", self.clock.seconds())
        exchange = StandInExchange(head, self.clock)
        facts = RequestFacts(request, HOST, PATH, deadline_s, prompt, 0, 0, after_event, resumes)
        route = self.context.table.match(HOST, PATH)
        assert route is not None
        self.last_run = RelayRun(self.context, exchange, facts, route, self.ended.append)
        self.last_run.start()
        return exchange

    @property
    def last_call(self) -> StandInCall:
        """The latest sent request."""
        return self.pool.calls[-1]


def runner_record(
    number: int, state: str = "ready", sequence: int = 1, zone: str = "zone-1"
) -> RunnerRecord:
    """Return the record of a runner, as in its heartbeat."""
    return RunnerRecord(
        f"runner-{number}",
        SERVICE,
        f"10.0.0.{number}:80",
        zone,
        4,
        RunnerState(state),
        0.0,
        sequence,
    )
