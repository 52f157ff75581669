"""A network in memory: seeded delays, loss, duplication, cuts and frozen processes.

It hands the (immutable) records themselves over, without encoding them. A message that is lost
is lost in silence; ``send`` reports a fault only when the destination refuses the connection. An
exception of a handler comes out of the clock's ``run_next``, so that no error of the product
vanishes in a simulated run.
"""

import random as random_module
from collections.abc import Callable
from dataclasses import dataclass

from rainsail.errors import Fault, FaultCode
from rainsail.simulation.clock import VirtualClock
from rainsail.wire.codec import encode
from rainsail.wire.extensions import EXTENSION_LEVEL
from rainsail.wire.messenger import Envelope, ProcessName

Deliver = Callable[[ProcessName, Envelope], None]


@dataclass(frozen=True, slots=True)
class LinkConditions:
    """How messages fare on a link, one way.

    The delay is ``delay_s`` plus an exponentially distributed part of mean ``jitter_s``. With
    ``ordered`` a message never overtakes an earlier one of its link, as on a TCP connection.
    """

    delay_s: float = 0.0005
    jitter_s: float = 0.0001
    loss: float = 0.0
    duplication: float = 0.0
    ordered: bool = True


@dataclass(slots=True)
class TrafficCount:
    """What a process has sent and received; bytes are counted only when asked for."""

    messages_sent: int = 0
    bytes_sent: int = 0
    messages_received: int = 0
    bytes_received: int = 0


class SimulatedTransport:
    """One process's end of the network; implements ``rainsail.wire.messenger.Transport``."""

    def __init__(self, network: "SimulatedNetwork", name: ProcessName, zone: str) -> None:
        self.name = name
        self.zone = zone
        self.traffic = TrafficCount()
        self._network = network
        self._deliver: Deliver | None = None
        self._held: list[tuple[ProcessName, Envelope]] | None = None

    def send(self, destination: ProcessName, envelope: Envelope) -> Fault | None:
        """Send without waiting; a fault means that the destination refused the connection."""
        return self._network.carry(self, destination, envelope)

    def listen(self, deliver: Deliver) -> None:
        """Set the function that gets every arriving envelope with the name of its sender."""
        self._deliver = deliver

    def extension_level(self, peer: ProcessName) -> int:
        """Return the own level: all simulated processes run the same version."""
        return EXTENSION_LEVEL

    def arrive(self, source: ProcessName, envelope: Envelope) -> None:
        """Hand an envelope to the process, or hold it while the process is frozen."""
        if self._held is not None:
            self._held.append((source, envelope))
        elif self._deliver is not None:
            self._deliver(source, envelope)

    def freeze(self) -> None:
        """Hold arriving envelopes back (a paused process)."""
        if self._held is None:
            self._held = []

    def thaw(self) -> None:
        """Deliver what was held back, in order, and go on."""
        held = self._held or []
        self._held = None
        for source, envelope in held:
            self.arrive(source, envelope)

    def close(self) -> None:
        """Take the process off the network: connections to it are refused."""
        self._deliver = None
        self._network.remove(self)


class SimulatedNetwork:
    """Carries envelopes between the transports of one virtual world."""

    def __init__(
        self,
        clock: VirtualClock,
        random: random_module.Random,
        conditions: LinkConditions | None = None,
        count_bytes: bool = False,
    ) -> None:
        self.clock = clock
        self.max_message_bytes: int | None = None
        """Messages beyond this size are refused, as real connections do; None: without limit."""
        self._random = random
        self._count_bytes = count_bytes
        self._conditions = conditions if conditions is not None else LinkConditions()
        self._zone_conditions: dict[tuple[str, str], LinkConditions] = {}
        self._link_conditions: dict[tuple[ProcessName, ProcessName], LinkConditions] = {}
        self._transports: dict[ProcessName, SimulatedTransport] = {}
        self._cuts: dict[tuple[ProcessName, ProcessName], None] = {}
        self._zone_cuts: dict[str, None] = {}
        self._refused: dict[ProcessName, None] = {}
        self._last_arrival_s: dict[tuple[ProcessName, ProcessName], float] = {}

    # --- processes -----------------------------------------------------------------------

    def transport(self, name: ProcessName, zone: str = "") -> SimulatedTransport:
        """Put a process on the network; one of the same name before it is taken off."""
        transport = SimulatedTransport(self, name, zone)
        self._transports[name] = transport
        return transport

    def remove(self, transport: SimulatedTransport) -> None:
        """Take a process off, unless another has taken its name since."""
        if self._transports.get(transport.name) is transport:
            del self._transports[transport.name]

    def freeze(self, name: ProcessName) -> None:
        """Pause a process's deliveries; its clock must be frozen beside."""
        self._transports[name].freeze()

    def thaw(self, name: ProcessName) -> None:
        """Let a paused process go on."""
        self._transports[name].thaw()

    # --- conditions ----------------------------------------------------------------------

    def set_conditions(self, conditions: LinkConditions) -> None:
        """Set how messages fare on links that nothing more special is said of."""
        self._conditions = conditions

    def set_zone_conditions(self, source: str, target: str, conditions: LinkConditions) -> None:
        """Set how messages fare from one zone to another (or within one)."""
        self._zone_conditions[(source, target)] = conditions

    def set_link_conditions(
        self, source: ProcessName, target: ProcessName, conditions: LinkConditions
    ) -> None:
        """Set how messages fare from one process to another."""
        self._link_conditions[(source, target)] = conditions

    def clear_link_conditions(self, source: ProcessName, target: ProcessName) -> None:
        """Let the zones' conditions hold again from one process to another."""
        self._link_conditions.pop((source, target), None)

    def cut(self, source: ProcessName, target: ProcessName) -> None:
        """Lose everything from one process to another in silence, this way only."""
        self._cuts[(source, target)] = None

    def mend(self, source: ProcessName, target: ProcessName) -> None:
        """End a one-way cut."""
        self._cuts.pop((source, target), None)

    def isolate(self, name: ProcessName) -> None:
        """Cut a process off from every other, both ways, in silence."""
        for other in self._transports:
            if other != name:
                self.cut(name, other)
                self.cut(other, name)

    def rejoin(self, name: ProcessName) -> None:
        """End every one-way cut from or to a process."""
        for link in list(self._cuts):
            if name in link:
                del self._cuts[link]

    def cut_zone(self, zone: str) -> None:
        """Cut a zone off from all others, both ways, in silence."""
        self._zone_cuts[zone] = None

    def mend_zone(self, zone: str) -> None:
        """End a zone's cut."""
        self._zone_cuts.pop(zone, None)

    def mend_all(self) -> None:
        """End every cut and refusal."""
        self._cuts.clear()
        self._zone_cuts.clear()
        self._refused.clear()

    def refuse(self, name: ProcessName) -> None:
        """Let connections to a process be refused, so that senders learn of it at once."""
        self._refused[name] = None

    def accept(self, name: ProcessName) -> None:
        """End a refusal."""
        self._refused.pop(name, None)

    # --- carrying ------------------------------------------------------------------------

    def carry(
        self, source: SimulatedTransport, destination: ProcessName, envelope: Envelope
    ) -> Fault | None:
        """Take an envelope on; decides now what becomes of it."""
        target = self._transports.get(destination)
        cut = self._is_cut(source, destination, target)
        if not cut and (target is None or destination in self._refused):
            detail = "connection refused"
            return Fault(FaultCode.UNAVAILABLE, "network.send", detail, destination)
        is_measured = self._count_bytes or self.max_message_bytes is not None
        size = len(encode(envelope.message)) if is_measured else 0
        if self.max_message_bytes is not None and size > self.max_message_bytes:
            detail = f"{size} bytes are over the bound of {self.max_message_bytes}"
            return Fault(FaultCode.TOO_LARGE, "network.send", detail, destination)
        source.traffic.messages_sent += 1
        source.traffic.bytes_sent += size
        if cut:
            return None
        assert target is not None
        conditions = self._conditions_of(source, target)
        if self._random.random() < conditions.loss:
            return None
        self._schedule(source, target, envelope, conditions, size)
        if self._random.random() < conditions.duplication:
            self._schedule(source, target, envelope, conditions, size)
        return None

    def _is_cut(
        self,
        source: SimulatedTransport,
        destination: ProcessName,
        target: SimulatedTransport | None,
    ) -> bool:
        if (source.name, destination) in self._cuts:
            return True
        if target is None or source.zone == target.zone:
            return False
        return source.zone in self._zone_cuts or target.zone in self._zone_cuts

    def _conditions_of(
        self, source: SimulatedTransport, target: SimulatedTransport
    ) -> LinkConditions:
        link = self._link_conditions.get((source.name, target.name))
        if link is not None:
            return link
        return self._zone_conditions.get((source.zone, target.zone), self._conditions)

    def _schedule(
        self,
        source: SimulatedTransport,
        target: SimulatedTransport,
        envelope: Envelope,
        conditions: LinkConditions,
        size: int,
    ) -> None:
        delay_s = conditions.delay_s
        if conditions.jitter_s > 0:
            delay_s += self._random.expovariate(1 / conditions.jitter_s)
        now = self.clock.seconds()
        arrival_s = now + delay_s
        if conditions.ordered:
            link = (source.name, target.name)
            arrival_s = max(arrival_s, self._last_arrival_s.get(link, 0.0))
            self._last_arrival_s[link] = arrival_s
        self.clock.callLater(arrival_s - now, self._arrive, source, target, envelope, size)

    def _arrive(
        self, source: SimulatedTransport, target: SimulatedTransport, envelope: Envelope, size: int
    ) -> None:
        if self._transports.get(target.name) is not target:
            return
        if self._is_cut(source, target.name, target):
            return
        target.traffic.messages_received += 1
        target.traffic.bytes_received += size
        target.arrive(source.name, envelope)
