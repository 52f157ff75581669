"""The replicated state of the root group: the routing table, the ledger's founders, the leavers."""

from collections.abc import Iterable, Iterator

from rainsail.errors import Fault, FaultCode
from rainsail.state.cluster_commands import (
    FleetSnapshot,
    FoundLedger,
    ReleaseNode,
    ReplaceTable,
)
from rainsail.state.command_basics import Done, NoOperation
from rainsail.state.fleet_commands import FleetCommand, FleetCommandOutcome
from rainsail.wire.codec import decode, encode


class FleetState:
    """Implements ``rainsail.state.interface.StateMachine``."""

    def __init__(self) -> None:
        self.version = 0
        self.content = b""
        self.founders: tuple[str, ...] = ()
        self.released: tuple[str, ...] = ()

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
            case NoOperation():
                pass
            case _:
                detail = f"{type(command).__name__} is no command of the root group"
                return Fault(FaultCode.INVALID, "cluster.apply", detail)
        return Done()

    def snapshot(self) -> Iterator[bytes]:
        """Return the whole state as one chunk."""
        snapshot = FleetSnapshot(self.version, self.content, self.founders, self.released)
        return iter((encode(snapshot),))

    def restore(self, chunks: Iterable[bytes]) -> None:
        """Replace the whole state by a snapshot."""
        snapshot = decode(b"".join(chunks))
        self.version = snapshot.version
        self.content = snapshot.content
        self.founders = tuple(snapshot.founders)
        self.released = tuple(snapshot.released)
