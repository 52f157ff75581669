"""Control on the virtual clock, with meters for processor time and bytes of each side."""

import time
from collections.abc import Callable
from typing import Any

from expression import Ok
from twisted.internet.defer import Deferred, succeed

from rainsail.consensus.group_status import GroupStatusReply
from rainsail.simulation.clock import VirtualClock
from rainsail.simulation.network import SimulatedNetwork
from rainsail.state.commands import ROOT_GROUP, Command
from rainsail.state.machine import ReplicatedState
from rainsail.wire.envelope import decode_envelope, encode_envelope

COMMIT_S = 0.004
"""Virtual seconds that a commit takes."""


class CostMeter:
    """Processor seconds and bytes of one side."""

    def __init__(self) -> None:
        self.cpu_s = 0.0
        self.bytes = 0
        self._running = False

    def run(self, call: Callable[..., Any], *args: Any, **kw: Any) -> Any:
        """Run a call and add its processor time (once, when calls nest)."""
        if self._running:
            return call(*args, **kw)
        self._running = True
        start_s = time.process_time()
        try:
            return call(*args, **kw)
        finally:
            self.cpu_s += time.process_time() - start_s
            self._running = False


class MeteredClock:
    """The virtual clock; timers' processor time goes to a meter."""

    def __init__(self, clock: VirtualClock, meter: CostMeter) -> None:
        self._clock = clock
        self._meter = meter

    def seconds(self) -> float:
        """Return virtual seconds."""
        return self._clock.seconds()

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any) -> Any:
        """Schedule a metered call."""
        return self._clock.callLater(delay, self._meter.run, callable, *args, **kw)


class EncodedTransport:
    """Carries encoded envelopes over the simulated network and counts their bytes."""

    def __init__(self, network: SimulatedNetwork, name: str, meter: CostMeter) -> None:
        self.name = name
        self._inner = network.transport(name)
        self._meter = meter

    def send(self, destination: str, envelope: Any) -> Any:
        """Encode and send."""
        data: Any = encode_envelope(envelope)
        self._meter.bytes += len(data)
        return self._inner.send(destination, data)

    def listen(self, deliver: Callable[[str, Any], None]) -> None:
        """Decode what arrives."""

        def arrive(source: str, data: Any) -> None:
            self._meter.bytes += len(data)
            self._meter.run(lambda: deliver(source, decode_envelope(data)))

        self._inner.listen(arrive)


class LoneGroup:
    """A group of one that commits after a fixed time; implements ``Group``."""

    group = ROOT_GROUP

    def __init__(self, clock: Any, state: ReplicatedState) -> None:
        self._clock = clock
        self._state = state
        self._index = 0
        self._applied: list[Callable[[int], None]] = []

    def is_leader(self) -> bool:
        """It leads."""
        return True

    def leader(self) -> str:
        """Return its name."""
        return "leader"

    def term(self) -> int:
        """Return the only term."""
        return 1

    def propose(self, command: Command) -> "Deferred[Any]":
        """Commit a command."""
        done: Deferred[Any] = Deferred()
        self._clock.callLater(COMMIT_S, self._commit, command, done)
        return done

    def _commit(self, command: Command, done: "Deferred[Any]") -> None:
        self._index += 1
        outcome = self._state.apply(self._index, command)
        for listener in self._applied:
            listener(self._index)
        done.callback(Ok((self._index, outcome)))

    def read_barrier(self) -> "Deferred[Any]":
        """Return at once."""
        return succeed(Ok(self._index))

    def on_applied(self, listener: Callable[[int], None]) -> None:
        """Note a listener."""
        self._applied.append(listener)

    def on_leadership(self, listener: Callable[[bool], None]) -> None:
        """Leadership never changes here."""

    def status(self) -> GroupStatusReply:
        """There is no status of a group that is no real one."""
        raise NotImplementedError

    def transfer_leadership(self) -> "Deferred[Any]":
        """There is nobody to hand leadership to."""
        raise NotImplementedError

    def stop(self) -> None:
        """Nothing runs."""
