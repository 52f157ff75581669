"""A gateway's relay over stand-ins: clients' exchanges, and connections that tests answer on."""

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
from rainsail.relay.protocol import AnswerVerdict, ItemRequest, RequestFacts, RunnerTarget
from rainsail.relay.run import RelayRun
from rainsail.relay.settings import RelaySettings
from rainsail.relay.table import ClientLimits, Route, RouteKind, RoutingTable, Service, ServiceShare
from rainsail.routing.facts import PromptPart, ServerLoad
from rainsail.simulation.clock import VirtualClock
from rainsail.tenancy.tenants import NOBODY, Identity

SERVICE = "model"
HOST = "a.example"
PATH = "/a/1"
NOT_RUN_FIELD = b"not-run"
HEAD_AFTER_S = 0.02
EVENT_STREAM_FIELDS = ((b"content-type", b"text/event-stream"),)


def event(number: int) -> bytes:
    """Return the bytes of one event."""
    return f"id: {number}\ndata: text {number}\n\n".encode()


class PlainProtocol:
    """A protocol of few headers: what the tests need of a platform."""

    def describe(self, request: HttpRequest) -> RequestFacts:
        """Not used: tests state the facts."""
        raise NotImplementedError

    def relayed(
        self,
        request: HttpRequest,
        target: RunnerTarget,
        deadline_left_s: float | None,
        after_event: int | None,
        identity: Identity = NOBODY,
    ) -> OutgoingRequest:
        """Send the deadline left and the event to go on behind."""
        fields = [(b"runner", target.runner.encode())]
        if deadline_left_s is not None:
            fields.append((b"deadline-left", f"{deadline_left_s:.3f}".encode()))
        if after_event is not None:
            fields.append((b"after-event", str(after_event).encode()))
        return OutgoingRequest(request.method, request.target, tuple(fields), request.body)

    def item_request(self, item: ItemRequest, target: RunnerTarget) -> OutgoingRequest:
        """Send an item with the event to go on behind."""
        fields = [(b"runner", target.runner.encode()), (b"item", item.item.item.encode())]
        if item.after_event is not None:
            fields.append((b"after-event", str(item.after_event).encode()))
        if item.tenant:
            fields.append((b"tenant", item.tenant.encode()))
        return OutgoingRequest(b"POST", item.item.path.encode(), tuple(fields), item.item.body)

    def judge(self, head: AnswerHead, request: str) -> AnswerVerdict:
        """Read ``not-run`` and ``of``, the request that an answer says it is for."""
        fields = dict(head.headers)
        belongs = fields.get(b"of", request.encode()) == request.encode()
        not_run = NOT_RUN_FIELD in fields
        promises = head.status in (429, 503)
        numbers = [int(text) for text in fields.get(b"load", b"").split(b",") if text]
        load = ServerLoad(*numbers) if numbers else None
        return AnswerVerdict(belongs, not_run, promises, head.status == 421, load)

    def answer_headers(self, head: AnswerHead) -> Any:
        """Pass everything on."""
        return head.headers

    def refusal_headers(self, retry_after_s: float | None) -> Any:
        """Say when to come back."""
        return () if retry_after_s is None else ((b"retry-after", f"{retry_after_s:g}".encode()),)


@dataclass
class StandInCall:
    """One sending: the request, and the listener that a test answers."""

    address: str
    request: OutgoingRequest
    listener: Any
    sender: str = ""
    cancelled: bool = False
    over: bool = False

    def cancel(self) -> None:
        """Note that the connection was closed under the request."""
        self.cancelled = True

    def field(self, name: bytes) -> str:
        """Return a field of the request as text."""
        return dict(self.request.headers).get(name, b"").decode()

    @property
    def job(self) -> str:
        """The job of an item's request: what stands before the item's number."""
        return self.field(b"item").rpartition("-")[0]

    def answer(self, status: int, body: bytes = b"", *fields: tuple[bytes, bytes]) -> None:
        """Answer whole."""
        self.listener.answer_begun(AnswerHead(status, fields))
        if body:
            self.listener.answer_data(body)
        self.listener.answer_ended()

    def begin_stream(self, load: str = "") -> None:
        """Send the head of a stream, with what the runner says of its load, if anything."""
        fields = (*EVENT_STREAM_FIELDS, (b"load", load.encode()))
        self.listener.answer_begun(AnswerHead(200, fields))


class StandInPool:
    """Connections that go nowhere: tests answer in the runners' place."""

    def __init__(self, clock: Any = None) -> None:
        """With a ``clock`` each request is begun to be answered a little later."""
        self.calls: list[StandInCall] = []
        self.forgotten: list[str] = []
        self.clock = clock

    def send(
        self, address: str, request: OutgoingRequest, listener: Any, fresh: bool = False
    ) -> StandInCall:
        """Note a sending."""
        call = StandInCall(address, request, listener)
        self.calls.append(call)
        if self.clock is not None:
            self.clock.callLater(HEAD_AFTER_S, self._begin, call)
        return call

    @staticmethod
    def _begin(call: StandInCall) -> None:
        if not call.cancelled and not call.over:
            call.begin_stream()

    def forget(self, address: str) -> None:
        """Note that idle connections were closed."""
        self.forgotten.append(address)

    def probe(self, address: str, on_result: Callable[[Reachability], None]) -> None:
        """Every runner takes connections."""
        on_result(Reachability.OPEN)

    def close_stale(self) -> None:
        """Nothing rests here."""


@dataclass
class StandInExchange:
    """A client's side: what it has received, and when."""

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
        """Take a whole answer."""
        assert not self.status, "answered twice"
        self.begin(status, headers)
        self.body = body
        self.end()

    def begin(self, status: int, headers: Any) -> None:
        """Take a head."""
        assert not self.status, "begun twice"
        self.status = status
        self.headers = headers
        self.answered_at_s = self.clock.seconds()

    def write(self, data: bytes) -> None:
        """Take a piece."""
        self.body += data

    def end(self) -> None:
        """The answer is complete."""
        assert not self.ended and not self.aborted
        self.ended = True

    def abort(self) -> None:
        """The connection was cut."""
        assert not self.ended
        self.aborted = True

    def on_disconnect(self, listener: Any) -> None:
        """Keep whom to tell when the client leaves."""
        self.left = listener


@dataclass
class RelayWorld:
    """A relay with runners of one service, in virtual time."""

    runners: int = 3
    clock: VirtualClock = field(default_factory=VirtualClock)
    pool: StandInPool = field(default_factory=StandInPool)
    registry: RunnerRegistry = field(default_factory=RunnerRegistry)
    ended: list[RelayRun] = field(default_factory=list)

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
        """Put a table of one route in force."""
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
        self.context.table = RoutingTable(version, (Route(**values),), services, ClientLimits())

    def drop_routes(self) -> None:
        """Put a table without routes in force."""
        self.context.table = RoutingTable(9, (), (), ClientLimits())

    def request(
        self,
        deadline_s: float | None = 5.0,
        prompt: tuple[PromptPart, ...] = (),
        request: str = "request-1",
        after_event: int | None = None,
    ) -> StandInExchange:
        """Have a client send a request, or take a stream up again behind an event."""
        assert self.context.table is not None
        head = HttpRequest(b"POST", PATH.encode(), (), b"body", self.clock.seconds())
        exchange = StandInExchange(head, self.clock)
        facts = RequestFacts(request, HOST, PATH, deadline_s, prompt, 0, 0, after_event)
        route = self.context.table.match(HOST, PATH)
        assert route is not None
        RelayRun(self.context, exchange, facts, route, self.ended.append).start()
        return exchange

    @property
    def last_call(self) -> StandInCall:
        """The newest sending."""
        return self.pool.calls[-1]


def runner_record(
    number: int, state: str = "ready", sequence: int = 1, zone: str = "zone-1"
) -> RunnerRecord:
    """Return the word of a runner."""
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
