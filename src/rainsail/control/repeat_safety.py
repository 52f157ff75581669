"""Decides which commands are safe to retry when it is unknown whether they took effect."""

from dataclasses import dataclass

from rainsail.errors import Outcome
from rainsail.state.commands import (
    MUST_NOT_EXIST,
    AddItems,
    AppendTurn,
    AttachSession,
    CancelJob,
    ClaimRequest,
    Command,
    CommitResults,
    DeleteResource,
    FinishRequest,
    ForgetJob,
    LeaseItems,
    MarkInForce,
    NoOperation,
    OpenJob,
    PutResource,
    PutStatus,
    ReturnItems,
    RevokeLeases,
    SealJob,
)


@dataclass(frozen=True, slots=True)
class RepeatSafety:
    """Whether a command is safe to retry, and the reason."""

    safe: bool
    reason: str


_SAFE_ALWAYS: dict[type, str] = {
    NoOperation: "it changes nothing",
    MarkInForce: "the in-force revision only rises",
    OpenJob: "the same job key and digest is the same job",
    AddItems: "a range that is already stored is ignored",
    SealJob: "a sealed job stays sealed",
    ForgetJob: "a deleted job stays deleted; its id is not used again",
    LeaseItems: "the same request id gets the same lease",
    CommitResults: "a result is accepted only once under its fence",
    ReturnItems: "an item is returned only under its current fence",
    ClaimRequest: "the same gateway's claim of the same request stays one claim",
    AttachSession: "it expects the fence that it raises",
    AppendTurn: "a turn index is accepted once",
}


def repeat_safety(command: Command) -> RepeatSafety:
    """Tell whether sending ``command`` twice has the same effect as sending it once."""
    reason = _SAFE_ALWAYS.get(type(command))
    if reason is not None:
        return RepeatSafety(True, reason)
    if isinstance(command, PutResource | DeleteResource | CancelJob):
        return _by_change_id(command.change_id)
    if isinstance(command, PutStatus):
        return _by_expected_revision(command.expected_revision)
    if isinstance(command, FinishRequest):
        return _by_finish(command.outcome)
    if isinstance(command, RevokeLeases):
        return RepeatSafety(False, "a late retry would revoke leases granted since")
    return RepeatSafety(False, "not known to be idempotent")


def _by_change_id(change_id: str) -> RepeatSafety:
    if change_id:
        return RepeatSafety(True, "a known change id returns its first outcome again")
    return RepeatSafety(False, "without a change id a retry is a second change")


def _by_expected_revision(expected_revision: int) -> RepeatSafety:
    if expected_revision > MUST_NOT_EXIST:
        return RepeatSafety(True, "it expects the revision that it replaces")
    return RepeatSafety(False, "a late retry would overwrite a newer status")


def _by_finish(outcome: Outcome) -> RepeatSafety:
    if outcome == Outcome.NOT_RUN:
        return RepeatSafety(False, "a late retry would release a newer claim")
    return RepeatSafety(True, "the end of a claimed request is recorded once")
