"""Commands for request claims and sessions, and what applying them returns."""

from dataclasses import dataclass

from rainsail.errors import Outcome
from rainsail.wire.codec import wire_record
from rainsail.wire.names import wire_type


@wire_type("ClaimRequest")
@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Claim a non-repeatable request before it is sent to an engine."""

    tenant: str
    request_id: str
    content_digest: str
    gateway: str


@wire_type("FinishRequest")
@dataclass(frozen=True, slots=True)
class FinishRequest:
    """Record how a claimed request ended. NOT_RUN releases the claim."""

    tenant: str
    request_id: str
    gateway: str
    outcome: Outcome
    response: str = ""


@wire_type("ClaimResult")
@dataclass(frozen=True, slots=True)
class ClaimResult:
    """``granted`` to the asking gateway, or what is known of the first claim.

    When not granted, ``outcome`` is COMPLETED with the recorded response, or UNKNOWN while the
    first claim is unfinished. Another content digest is a CONFLICT fault.
    """

    granted: bool
    gateway: str
    outcome: Outcome
    response: str = ""


# --- sessions ----------------------------------------------------------------------------


@wire_type("AttachSession")
@dataclass(frozen=True, slots=True)
class AttachSession:
    """Pin a session to a runner under a new fence; the expected fence makes races lose."""

    session: str
    gateway: str
    runner: str
    expected_fence: int


@wire_type("Turn")
@dataclass(frozen=True, slots=True)
class Turn:
    """One exchange of a session; ``request_id`` is the caller's, to know a re-sent turn by."""

    prompt: str
    answer: str
    request_id: str = ""


@wire_type("AppendTurn")
@dataclass(frozen=True, slots=True)
class AppendTurn:
    """Append a finished exchange; refused as FENCED when the session has moved.

    ``turn_index`` is the number of turns before this one; a re-sent turn is ignored.
    """

    session: str
    fence: int
    turn_index: int
    turn: Turn


@wire_record("SessionView")
@dataclass(frozen=True, slots=True)
class SessionView:
    """A session's place and transcript."""

    session: str
    gateway: str
    runner: str
    fence: int
    turns: tuple[Turn, ...]
