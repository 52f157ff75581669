"""Controllers of a drawn course: the product's quarantine control without a network or a group.

Proposals are committed after a fixed time while their controller leads, and messages arrive after
another one. Each controller keeps its own evidence, so a restarted one has none.
"""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from expression import Error, Ok
from twisted.internet.defer import Deferred, succeed

from rainsail.cluster.controller import PLAN_PERIOD_S
from rainsail.errors import Fault, FaultCode
from rainsail.quarantine.control import QuarantineControl
from rainsail.quarantine.messages import QuarantineNotice, RequestPermit, RequestsWatched
from rainsail.quarantine.view import QuarantineView
from rainsail.simulation.clock import VirtualClock
from rainsail.state.cluster_commands import HoldRequest, ReleaseRequest
from rainsail.state.quarantine import QuarantineState

CONTROLLERS = 3
NETWORK_S = 0.001
COMMIT_S = 0.005
NODE = "node"


class _Group:
    """The root group as one controller sees it."""

    def __init__(self, owner: "CourseControllers", number: int) -> None:
        self._owner = owner
        self._number = number
        self.is_stopped = False

    def is_leader(self) -> bool:
        return self._owner.leader == self._number and not self.is_stopped

    def propose(self, command: Any) -> "Deferred[Any]":
        done: Deferred[Any] = Deferred()
        self._owner.clock.callLater(COMMIT_S, self._commit, command, done)
        return done

    def _commit(self, command: Any, done: "Deferred[Any]") -> None:
        if not self.is_leader():
            done.callback(Error(Fault(FaultCode.NOT_LEADER, "course", "not the leader")))
            return
        self._owner.apply(command)
        done.callback(Ok((0, None)))

    def read_barrier(self) -> "Deferred[Any]":
        return succeed(Ok(0))


class _Messenger:
    """Collects the handlers of one controller, and passes its notices on to the node."""

    def __init__(self, owner: "CourseControllers") -> None:
        self._owner = owner
        self.handlers: dict[type, Callable[[str, Any], Any]] = {}

    def serve(self, kind: type, handler: Callable[[str, Any], Any]) -> None:
        self.handlers[kind] = handler

    def send_all(self, targets: Any, message: Any) -> None:
        self._owner.clock.callLater(NETWORK_S, self._owner.notice, message)


class CourseControllers:
    """The controllers, the group's state, and what the nodes know of it."""

    def __init__(self, clock: VirtualClock, seen: Callable[[Any], None]) -> None:
        """``seen`` gets each command that takes effect."""
        self.clock = clock
        self.state = QuarantineState()
        self.view = QuarantineView()
        self.leader = 0
        self._seen = seen
        self._messengers: list[_Messenger] = []
        self._groups: list[_Group] = []
        self._controls: list[QuarantineControl] = []
        for number in range(CONTROLLERS):
            self._messengers.append(_Messenger(self))
            self._groups.append(_Group(self, number))
            self._controls.append(self._made(number))
        self._look()

    def _made(self, number: int) -> QuarantineControl:
        """Return a controller that knows nothing yet but the group's state."""
        self._messengers[number] = _Messenger(self)
        self._groups[number] = _Group(self, number)
        parts: list[Any] = [
            self._messengers[number],
            self.clock,
            self._groups[number],
            SimpleNamespace(quarantine=self.state),
            SimpleNamespace(take_quarantine=lambda quarantine: True),
            None,
        ]
        return QuarantineControl(*parts, followers=lambda: (NODE,))

    def _look(self) -> None:
        for control in list(self._controls):
            control.look()
        self.clock.callLater(PLAN_PERIOD_S, self._look)

    def apply(self, command: Any) -> None:
        """Apply a committed command, at all controllers."""
        before = self.state.snapshot().revision
        if isinstance(command, HoldRequest):
            self.state.hold(command.fingerprint)
        elif isinstance(command, ReleaseRequest):
            self.state.release(command.fingerprint, command.times, command.forget)
        if self.state.snapshot().revision == before:
            return
        self._seen(command)
        for control in list(self._controls):
            control.applied()

    def notice(self, message: Any) -> None:
        """Take a controller's message at the node."""
        if isinstance(message, QuarantineNotice):
            self.view.take(message.quarantine)
        elif isinstance(message, RequestsWatched):
            self.view.watch(message.fingerprints, self.clock.seconds())

    def send(self, message: Any) -> None:
        """Send a node's report to all controllers."""
        self.clock.callLater(NETWORK_S, self._receive, message)

    def _receive(self, message: Any) -> None:
        for messenger in self._messengers:
            messenger.handlers[type(message)](NODE, message)

    def ask(self, message: RequestPermit, decided: Callable[[bool], None]) -> None:
        """Ask the leader for the permit of a trial."""

        def receive() -> None:
            reply = self._messengers[self.leader].handlers[RequestPermit](NODE, message)
            reply.addCallback(lambda result: decided(result.permitted))

        self.clock.callLater(2 * NETWORK_S, receive)

    def change_leader(self) -> None:
        """Have the next controller lead."""
        self.leader = (self.leader + 1) % CONTROLLERS

    def lose_leader(self) -> None:
        """Restart the leading controller, which loses its evidence; the next one leads."""
        lost = self.leader
        self._groups[lost].is_stopped = True
        self.change_leader()
        self._controls[lost] = self._made(lost)

    def waits_for(self, fingerprint: bytes) -> str:
        """Tell why the list holds a request back, for a trace."""
        known = [each for each in self.state.snapshot().requests if each.fingerprint == fingerprint]
        if not known:
            return "not on the list"
        (entry,) = known
        return f"{'held' if entry.held else 'on trial'}, times {entry.times}"
