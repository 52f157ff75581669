"""The replicated state of the root group.

It holds the routing table, the founders of the ledger group, the storage nodes to be emptied, the
zone drains and the requests that must not reach any runner.
"""

from collections.abc import Iterable, Iterator

from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.state.cluster_commands import (
    FleetSnapshot,
    FoundLedger,
    HoldRequest,
    ReleaseNode,
    ReleaseRequest,
    ReplaceTable,
    SetZoneDrain,
    ZoneDrain,
)
from rainsail.state.command_basics import Done, NoOperation
from rainsail.state.fleet_commands import FleetCommand, FleetCommandOutcome
from rainsail.state.quarantine import QuarantineState
from rainsail.wire.codec import decode, encode


class FleetState:
    """Implements ``rainsail.state.interface.StateMachine``."""

    def __init__(self) -> None:
        self.version = 0
        self.content = b""
        self.founders: tuple[str, ...] = ()
        self.released: tuple[str, ...] = ()
        self.quarantine = QuarantineState()
        self._zone_drains: dict[str, ZoneDrain] = {}

    def apply(self, index: int, command: FleetCommand) -> FleetCommandOutcome:
        """Apply the committed command at log ``index``."""
        match command:
            case ReplaceTable():
                if command.version > self.version:
                    self.version = command.version
                    self.content = command.content
            case FoundLedger():
                self.founders = self.founders or command.founders
            case ReleaseNode():
                if command.address not in self.released:
                    self.released = (*self.released, command.address)
            case SetZoneDrain():
                return self._set_zone_drain(command)
            case HoldRequest():
                self.quarantine.hold(command.fingerprint)
            case ReleaseRequest():
                self.quarantine.release(command.fingerprint, command.times, command.forget)
            case NoOperation():
                pass
            case _:
                detail = f"{type(command).__name__} is no command of the root group"
                return Fault(FaultCode.INVALID, "cluster.apply", detail)
        return Done()

    def _set_zone_drain(self, command: SetZoneDrain) -> FleetCommandOutcome:
        held = self.zone_drain(command.zone)
        if command.expected_revision != held.revision:
            detail = f"zone {command.zone} is at order {held.revision}"
            return Fault(FaultCode.CONFLICT, "cluster.apply", detail, outcome=Outcome.NOT_RUN)
        drain = ZoneDrain(command.zone, held.revision + 1, command.draining)
        self._zone_drains[command.zone] = drain
        return Done()

    def zone_drain(self, zone: str) -> ZoneDrain:
        """Return the newest order on a zone; revision 0 if there is none."""
        return self._zone_drains.get(zone, ZoneDrain(zone, 0, draining=False))

    def zone_drains(self) -> tuple[ZoneDrain, ...]:
        """Return the newest order on each zone that ever had one, sorted by zone."""
        return tuple(self._zone_drains[zone] for zone in sorted(self._zone_drains))

    def snapshot(self) -> Iterator[bytes]:
        """Return the whole state as one chunk."""
        snapshot = FleetSnapshot(
            self.version,
            self.content,
            self.founders,
            self.released,
            self.zone_drains(),
            self.quarantine.snapshot(),
        )
        return iter((encode(snapshot),))

    def restore(self, chunks: Iterable[bytes]) -> None:
        """Replace the whole state with a snapshot."""
        snapshot = decode(b"".join(chunks))
        self.version = snapshot.version
        self.content = snapshot.content
        self.founders = tuple(snapshot.founders)
        self.released = tuple(snapshot.released)
        self._zone_drains = {drain.zone: drain for drain in snapshot.zone_drains}
        self.quarantine.restore(snapshot.quarantine)
