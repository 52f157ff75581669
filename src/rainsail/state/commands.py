"""Commands that go through the replicated log, and what applying each returns.

A command's effect depends on the state and the command alone: no clock, no randomness.
Every reply is an outcome record below or a ``Fault`` (a conflict names ``current_revision``).
"""

from dataclasses import dataclass

from rainsail.errors import Fault
from rainsail.state.cluster_commands import FoundLedger, ReleaseNode, ReplaceTable
from rainsail.state.job_commands import (
    AcceptJob,
    DropRelayedJob,
    EndRelayedJob,
    ListOutcomes,
    NoteProgress,
)
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
from rainsail.wire.codec import wire_record

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
]

GroupId = int
ROOT_GROUP: GroupId = 0


@wire_record
@dataclass(frozen=True, slots=True)
class NoOperation:
    """Appended by a new leader to commit entries of earlier terms."""


@dataclass(frozen=True, slots=True)
class Done:
    """The command took effect (or had taken effect before) and has nothing to report."""


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
    | ReplaceTable
    | FoundLedger
    | ReleaseNode
    | AcceptJob
    | ListOutcomes
    | NoteProgress
    | EndRelayedJob
    | DropRelayedJob
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


@wire_record
@dataclass(frozen=True, slots=True)
class CommandRecord:
    """A command as a log entry's payload."""

    command: Command
