"""Commands of the replicated log and their outcomes.

The effect of a command depends on the state and the command only, not on a clock or on randomness.
The reply is one of the outcome records below or a ``Fault``; a conflict with a stored revision or
fence names it in ``current_revision``.
"""

from dataclasses import dataclass

from rainsail.errors import Fault
from rainsail.state.command_basics import ROOT_GROUP, Done, GroupId, NoOperation
from rainsail.state.ledger_commands import (
    AddItems,
    CancelJob,
    CommitResults,
    CommitVerdict,
    ForgetJob,
    ItemBody,
    ItemPhase,
    ItemRef,
    ItemResult,
    ItemsLeased,
    JobPhase,
    JobSpec,
    JobView,
    LeasedItem,
    LeaseItems,
    OpenJob,
    ResultsCommitted,
    ReturnedItem,
    ReturnItems,
    RevokeLeases,
    SealJob,
)
from rainsail.state.resource_commands import (
    ANY_REVISION,
    MUST_NOT_EXIST,
    DeleteResource,
    MarkInForce,
    PutResource,
    PutStatus,
    ResourceChanged,
)
from rainsail.state.session_commands import (
    AppendTurn,
    AttachSession,
    ClaimRequest,
    ClaimResult,
    FinishRequest,
    SessionView,
    Turn,
)
from rainsail.wire.codec import encode, wire_record

__all__ = [
    "ANY_REVISION",
    "MUST_NOT_EXIST",
    "ROOT_GROUP",
    "AddItems",
    "AppendTurn",
    "AttachSession",
    "CancelJob",
    "ClaimRequest",
    "ClaimResult",
    "Command",
    "CommandOutcome",
    "CommandRecord",
    "CommitResults",
    "CommitVerdict",
    "DeleteResource",
    "Done",
    "FinishRequest",
    "ForgetJob",
    "GroupId",
    "ItemBody",
    "ItemPhase",
    "ItemRef",
    "ItemResult",
    "ItemsLeased",
    "JobPhase",
    "JobSpec",
    "JobView",
    "LeaseItems",
    "LeasedItem",
    "MarkInForce",
    "NoOperation",
    "OpenJob",
    "PutResource",
    "PutStatus",
    "ResourceChanged",
    "ResultsCommitted",
    "ReturnItems",
    "ReturnedItem",
    "RevokeLeases",
    "SealJob",
    "SessionView",
    "Turn",
    "encode_command",
]

Command = (
    NoOperation
    | PutResource
    | DeleteResource
    | PutStatus
    | MarkInForce
    | OpenJob
    | AddItems
    | SealJob
    | CancelJob
    | ForgetJob
    | LeaseItems
    | CommitResults
    | ReturnItems
    | RevokeLeases
    | ClaimRequest
    | FinishRequest
    | AttachSession
    | AppendTurn
)

CommandOutcome = (
    Done
    | ResourceChanged
    | JobView
    | ItemsLeased
    | ResultsCommitted
    | ClaimResult
    | SessionView
    | Fault
)


@wire_record("CommandRecord")
@dataclass(frozen=True, slots=True)
class CommandRecord:
    """Payload of a log entry: one command."""

    command: Command


def encode_command(command: Command) -> bytes:
    """Encode a command as the payload of a log entry."""
    return encode(CommandRecord(command))
