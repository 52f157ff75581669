"""Commands for request claims and sessions, and their outcomes."""

from dataclasses import dataclass

from rainsail.errors import Outcome
from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


@wire_type("ClaimRequest")
@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Claim a non-repeatable request, so that no other gateway sends it to an engine."""

    tenant: str
    request_id: str
    content_digest: str
    gateway: str


@wire_type("FinishRequest")
@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Record the outcome of a claimed request. NOT_RUN releases the claim."""

    tenant: str
    request_id: str
    gateway: str
    outcome: Outcome
    response: str = ""


@wire_type("ClaimResult")
@dataclass(frozen=True, slots=True)
class ClaimResult:
    """Whether the claim is ``granted`` to the requesting gateway.

    If not, ``gateway`` made the first claim, and ``outcome`` is COMPLETED with the recorded
    response, or UNKNOWN while the first claim is unfinished. A claim with a different content
    digest is a CONFLICT fault instead.
    """

    granted: bool
    gateway: str
    outcome: Outcome
    response: str = ""


# --- sessions ----------------------------------------------------------------------------


@wire_type("AttachSession")
@dataclass(frozen=True, slots=True)
class AttachSession:
    """Pin a session to a runner under a new fence; a conflict if ``expected_fence`` is outdated."""

    session: str
    gateway: str
    runner: str
    expected_fence: int


@wire_type("Turn")
@dataclass(frozen=True, slots=True)
class Turn:
    """One exchange of a session; the caller's ``request_id`` identifies a re-sent turn."""

    prompt: str
    answer: str
    request_id: str = ""


@wire_type("AppendTurn")
@dataclass(frozen=True, slots=True)
class AppendTurn:
    """Append a finished exchange; FENCED if the session has been attached elsewhere since.

    ``turn_index`` is the number of turns before this one; a re-sent turn is ignored.
    """

    session: str
    fence: int
    turn_index: int
    turn: Turn


@wire_record("SessionView")
@dataclass(frozen=True, slots=True)
class SessionView:
    """A session's gateway, runner and transcript."""

    session: str
    gateway: str
    runner: str
    fence: int
    turns: tuple[Turn, ...]
