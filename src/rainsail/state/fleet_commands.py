"""The commands of the groups of a relaying fleet.

They are separate from ``rainsail.state.commands`` so that a node loads and checks only the records
that its own groups store.
"""

from dataclasses import dataclass

from rainsail.errors import Fault
from rainsail.state.cluster_commands import (
    FoundLedger,
    HoldRequest,
    ReleaseNode,
    ReleaseRequest,
    ReplaceTable,
    SetZoneDrain,
)
from rainsail.state.command_basics import Done, NoOperation
from rainsail.state.job_commands import (
    AcceptJob,
    DropRelayedJob,
    EndRelayedJob,
    ListOutcomes,
    NoteProgress,
)
from rainsail.wire.codec import encode, wire_record

FleetCommand = (
    NoOperation
    | ReplaceTable
    | FoundLedger
    | ReleaseNode
    | SetZoneDrain
    | HoldRequest
    | ReleaseRequest
    | AcceptJob
    | ListOutcomes
    | NoteProgress
    | EndRelayedJob
    | DropRelayedJob
)

FleetCommandOutcome = Done | Fault

FLEET_DURABLE_MODULES = (
    "rainsail.cluster.committed_copy",
    "rainsail.cluster.messages",
    "rainsail.cluster.runner_journal",
    "rainsail.consensus.membership",
    "rainsail.state.cluster_commands",
    "rainsail.state.command_basics",
    "rainsail.state.fleet_commands",
    "rainsail.state.job_commands",
)
"""The modules that define the records in the logs and snapshots of a fleet's groups."""


@wire_record("FleetCommandRecord")
@dataclass(frozen=True, slots=True)
class FleetCommandRecord:
    """Payload of a log entry: one command."""

    command: FleetCommand


def encode_fleet_command(command: FleetCommand) -> bytes:
    """Encode a command as the payload of a log entry."""
    return encode(FleetCommandRecord(command))
