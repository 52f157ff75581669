"""Random operators on real control replicas under faults, and checks of their history."""

import random
from dataclasses import dataclass, field
from typing import Any

from features.support.control import service_change
from features.support.control_group import RealGroupFleet

from rainsail.control.messages import ListReply, ListRequest
from rainsail.errors import FaultCode
from rainsail.resources.specs import EventType, Kind, ResourceKey, WatchEvent
from rainsail.simulation.network import LinkConditions
from rainsail.state.commands import (
    ANY_REVISION,
    MUST_NOT_EXIST,
    ROOT_GROUP,
    DeleteResource,
    PutResource,
    ResourceChanged,
)

SERVICES = 3
OPERATORS = 4
CHANGE_LIMIT_S = 8.0
PAUSE_S = 0.3
FAULT_PERIOD_S = 1.2
CHECK_PERIOD_S = 0.005
SERVICE = (Kind.SERVICE,)


@dataclass
class Operation:
    """One call of an operator: the command (None: a read), start and end time, and the answer."""

    command: PutResource | DeleteResource | None
    started_s: float
    ended_s: float = float("inf")
    answer: Any = None

    def changed(self) -> ResourceChanged | None:
        """Return the answer of a change that took effect."""
        if self.answer is None or self.answer.is_error():
            return None
        return self.answer.ok if isinstance(self.answer.ok, ResourceChanged) else None

    def read(self) -> ListReply | None:
        """Return the answer of a read."""
        if self.answer is None or self.answer.is_error():
            return None
        return self.answer.ok if isinstance(self.answer.ok, ListReply) else None


@dataclass
class RandomOperators:
    """Operators, each with one call at a time, on a fleet with random faults."""

    seed: int
    snapshot_entries: int = 40
    operations: list[Operation] = field(default_factory=list)
    in_force_checks: int = 0

    def __post_init__(self) -> None:
        self.fleet = RealGroupFleet(5, self.seed, snapshot_entries=self.snapshot_entries)
        self.random = random.Random(f"operators {self.seed}")
        self.down: list[str] = []
        self.cut: list[str] = []
        self.lost: list[str] = []
        self.disks_lost = 0
        self.gateways = 0
        self.stopping = False
        self.known_revisions: dict[str, int] = {}
        for _ in range(2):
            self._join_gateway()
        for number in range(OPERATORS):
            self._next(self.fleet.client(f"operator{number}"))
        self.fleet.clock.callLater(FAULT_PERIOD_S, self._inject_fault)

    def run(self, seconds: float) -> None:
        """Run the operators; check the in-force revision against the gateways all the time."""
        fleet = self.fleet
        until_s = fleet.clock.seconds() + seconds
        checked_s = 0.0
        while fleet.clock.run_next(until_s):
            if fleet.clock.seconds() - checked_s >= CHECK_PERIOD_S:
                checked_s = fleet.clock.seconds()
                self._check_in_force()
        self.stopping = True
        self._heal()
        fleet.clock.advance(CHANGE_LIMIT_S + 15.0)
        fleet.wait_until(self._is_healthy)

    # --- operators -----------------------------------------------------------------------

    def _next(self, client: Any) -> None:
        if not self.stopping:
            self.fleet.clock.callLater(self.random.random() * PAUSE_S, self._act, client)

    def _act(self, client: Any) -> None:
        command = self._draw_command()
        operation = Operation(command, self.fleet.clock.seconds())
        self.operations.append(operation)
        if command is None:
            done = client.call(ListRequest(ROOT_GROUP, SERVICE), CHANGE_LIMIT_S)
        else:
            done = client.propose(command, CHANGE_LIMIT_S)
        done.addCallback(self._answered, operation, client)

    def _draw_command(self) -> PutResource | DeleteResource | None:
        number = len(self.operations) + 1
        name = f"s{self.random.randrange(SERVICES)}"
        known = self.known_revisions.get(name, MUST_NOT_EXIST)
        expected = known if self.random.random() < 0.6 else ANY_REVISION
        drawn = self.random.random()
        if drawn < 0.35:
            return None
        if drawn < 0.45:
            return DeleteResource(f"c{number}", ResourceKey(Kind.SERVICE, name), expected)
        return service_change(f"c{number}", name, number, expected)

    def _answered(self, answer: Any, operation: Operation, client: Any) -> None:
        operation.answer = answer
        operation.ended_s = self.fleet.clock.seconds()
        reply = operation.read()
        if reply is not None:
            self.known_revisions = {each.key.name: each.revision for each in reply.resources}
        self._next(client)

    # --- faults --------------------------------------------------------------------------

    def _inject_fault(self) -> None:
        if self.stopping:
            return
        self.fleet.clock.callLater(self.random.random() * 2 * FAULT_PERIOD_S, self._inject_fault)
        self.random.choice(
            (
                self._kill_leader,
                self._kill_any,
                self._start_any,
                self._cut_any,
                self._reconnect_any,
                self._add_message_loss,
                self._lose_disk,
                self._isolate_gateway,
                self._join_gateway,
                self._restart_gateway,
            )
        )()

    def _kill_leader(self) -> None:
        if self.fleet.leader():
            self._kill(self.fleet.leader())

    def _kill_any(self) -> None:
        self._kill(self.random.choice(self.fleet.names))

    def _kill(self, name: str) -> None:
        if name not in self.down and self._may_fail(name):
            self.down.append(name)
            self.fleet.replicas[name].kill()

    def _may_fail(self, name: str) -> bool:
        """Allow faults on at most two machines; a lost disk counts until the group is healthy."""
        if self.lost and self._is_healthy():
            self.lost.clear()
        return len({*self.down, *self.cut, *self.lost, name}) <= 2

    def _is_healthy(self) -> bool:
        name = self.fleet.leader()
        return bool(name) and self.fleet.replicas[name].node.group.status().health == "Healthy"

    def _lose_disk(self) -> None:
        name = self.random.choice(self.fleet.names)
        if name not in self.down and self._may_fail(name):
            self.lost.append(name)
            self.disks_lost += 1
            self.fleet.replicas[name].lose_disk()
            self.fleet.replicas[name].start()

    def _start_any(self) -> None:
        if self.down:
            self.fleet.replicas[self.down.pop(0)].start()

    def _cut_any(self) -> None:
        name = self.fleet.leader() or self.random.choice(self.fleet.names)
        if name not in self.down and self._may_fail(name):
            self.cut.append(name)
            self.fleet.network.isolate(name)

    def _reconnect_any(self) -> None:
        if self.cut:
            self.fleet.network.rejoin(self.cut.pop(0))

    def _add_message_loss(self) -> None:
        loss = self.random.choice((0.0, 0.0, 0.03))
        self.fleet.network.set_conditions(LinkConditions(loss=loss, duplication=loss))

    def _isolate_gateway(self) -> None:
        name = self.random.choice(sorted(self.fleet.views))
        self.fleet.network.isolate(name)
        self.fleet.clock.callLater(self.random.random() * 20.0, self.fleet.network.rejoin, name)

    def _join_gateway(self) -> None:
        if self.gateways < 5:
            self.gateways += 1
            self.fleet.start_view(f"g{self.gateways}", "a")

    def _restart_gateway(self) -> None:
        name = self.random.choice(sorted(self.fleet.views))
        self.fleet.start_view(name, f"{self.random.getrandbits(32):08x}")

    def _heal(self) -> None:
        while self.down:
            self._start_any()
        self.fleet.network.mend_all()
        self.fleet.network.set_conditions(LinkConditions())

    def _check_in_force(self) -> None:
        """Check that every gateway that may serve has applied the highest in-force revision."""
        running = [each for each in self.fleet.replicas.values() if each.running and each.node]
        marked = max((each.node.state.in_force_revision for each in running), default=0)
        for name, view in self.fleet.views.items():
            if view.lease_valid():
                self.in_force_checks += 1
                assert view.revision >= marked, f"{name} serves {view.revision}, {marked} in force"


# --- checks ------------------------------------------------------------------------------


def events_of(operators: RandomOperators) -> list[WatchEvent]:
    """Return all events since the fleet's start, as stored at the leader."""
    fleet = operators.fleet
    return fleet.state(fleet.leader()).events_since(0, 1_000_000)


def check_changes(operators: RandomOperators, events: list[WatchEvent]) -> None:
    """Check that acknowledged changes took effect once, refused ones never, as expected."""
    numbers = [_number(event) for event in events if _is_put(event)]
    for operation in operators.operations:
        if not isinstance(operation.command, PutResource):
            continue
        times = len({*_generations(events, operation.command.spec.runners)})
        changed = operation.changed()
        assert times <= 1, f"{operation.command} took effect {times} times"
        if changed is not None:
            assert times == 1, f"acknowledged, but not stored: {operation}"
            _check_expected(operation, changed, events)
        elif operation.answer is not None and operation.answer.error.code == FaultCode.CONFLICT:
            assert times == 0, f"refused, but stored: {operation}"
    assert numbers, "no change took effect"


def _is_put(event: WatchEvent) -> bool:
    return event.type == EventType.PUT and event.resource.key.kind == Kind.SERVICE


def _number(event: WatchEvent) -> int:
    return event.resource.spec.runners


def _generations(events: list[WatchEvent], number: int) -> list[int]:
    return [e.resource.generation for e in events if _is_put(e) and _number(e) == number]


def _check_expected(operation: Operation, changed: ResourceChanged, events: Any) -> None:
    expected = operation.command.expected_revision
    if expected == ANY_REVISION:
        return
    key = operation.command.key
    before = [e for e in events if e.resource.key == key and e.revision < changed.revision]
    there = before and before[-1].type == EventType.PUT
    found = before[-1].revision if there else MUST_NOT_EXIST
    assert found == expected, f"replaced {found}, expected {expected}: {operation}"


def check_real_time(operators: RandomOperators, events: list[WatchEvent]) -> None:
    """Check that the order of revisions agrees with the order of calls in real time.

    A call that starts after another one has ended must not see or make an older revision.
    """
    points = sorted(operators.operations, key=lambda each: each.started_s)
    for operation in points:
        low, high = _revision_bounds(operation)
        if low is None:
            continue
        earlier = [other for other in points if other.ended_s < operation.started_s]
        seen = max((_revision_bounds(other)[1] or 0 for other in earlier), default=0)
        assert high >= seen, f"{operation} is older than an earlier answer: {seen}"
        if operation.changed() is not None:
            assert high > seen, f"{operation} changed at {high}, but an earlier answer had {seen}"


def _revision_bounds(operation: Operation) -> tuple[int | None, int | None]:
    changed, reply = operation.changed(), operation.read()
    if changed is not None:
        return changed.revision, changed.revision
    if reply is not None:
        return reply.revision, reply.revision
    return None, None


def check_reads(operators: RandomOperators, events: list[WatchEvent]) -> int:
    """Check that every list equals the store at its revision; return the number of lists."""
    checked = 0
    for operation in operators.operations:
        reply = operation.read()
        if reply is None:
            continue
        checked += 1
        store: dict[ResourceKey, Any] = {}
        for event in events:
            if event.revision > reply.revision or event.resource.key.kind != Kind.SERVICE:
                continue
            store[event.resource.key] = event.resource
            if event.type == EventType.DELETED:
                del store[event.resource.key]
        wanted = sorted(store.values(), key=lambda each: each.key.name)
        assert list(reply.resources) == wanted, f"{reply} is not the store at its revision"
    return checked


def check_views(operators: RandomOperators) -> None:
    """Check that every gateway has the leader's services and never saw a revision fall."""
    fleet = operators.fleet
    wanted = fleet.state(fleet.leader()).list_resources(Kind.SERVICE)
    for name, view in fleet.views.items():
        found = sorted(view.list_resources(Kind.SERVICE), key=lambda each: each.key.name)
        assert found == wanted, f"{name} differs"
    for name, revisions in fleet.seen.items():
        assert revisions == sorted(revisions), f"{name} saw a revision fall"
