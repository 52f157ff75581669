"""What clients and runners observed: the only input of the checks."""

from dataclasses import dataclass, field
from enum import StrEnum


class Kind(StrEnum):
    """Kinds of routes."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    RESUMABLE = "resumable"

    @property
    def is_stream(self) -> bool:
        """Tell whether answers are event streams."""
        return self in (Kind.STREAM, Kind.RESUMABLE)

    @property
    def runs_once(self) -> bool:
        """Tell whether a request may run at one runner only."""
        return self in (Kind.UNSAFE, Kind.STREAM)


class Framing(StrEnum):
    """What marks the end of an answer's body."""

    CHUNKS = "chunks"
    LENGTH = "length"
    CLOSE = "close"
    """Nothing but the close of the connection."""


class Ending(StrEnum):
    """What a runner does with the connection after the last byte that it sends."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"
    SILENT = "silent"


class Outcome(StrEnum):
    """How an answer ended as seen by the client."""

    WAITING = "waiting"
    COMPLETE = "complete"
    """Its length was reached, or its last chunk received."""
    CUT = "cut"
    LEFT = "left"
    """The client itself has closed the connection."""


@dataclass(frozen=True)
class RunnerRun:
    """One request at a runner, and what the runner sent for it."""

    request: str
    runner: str
    after_event: int | None
    ran: bool
    """False: it was refused as not run."""
    status: int
    """0 if not even a head was sent."""
    framing: Framing
    body: bytes
    """The body as far as it was meant to be sent."""
    whole: bool
    ending: Ending
    began_s: float = 0.0
    told_left_s: float | None = None
    """The time that the runner was told is left; None if it was told of no deadline."""
    states_early_end: bool = False
    """Its framing states its end rightly, though events are missing behind it."""
    crashed_s: float | None = None
    """When the runner's process ended before the answer had; ``body`` is what was meant then."""


@dataclass(frozen=True)
class Crash:
    """The end of a runner's process: all its connections end, and none is accepted until later."""

    runner: str
    at_s: float
    back_s: float


@dataclass(frozen=True)
class ConnectionLoss:
    """A connection that a runner closed, reset or refused, and the run whose answer that ended."""

    runner: str
    at_s: float
    is_refusal: bool
    run: RunnerRun | None = None


@dataclass
class ClientRequest:
    """One request of a client, and the answer as the client received it.

    ``timeout_s`` is the time-out of its route and the deadline that the client states.
    """

    request: str
    kind: Kind
    after_event: int | None
    timeout_s: float
    sent_s: float
    status: int = 0
    body: bytes = b""
    outcome: Outcome = Outcome.WAITING
    ended_s: float | None = None
    max_attempts: int = 4
    """Of its route."""
    surplus: bytes = b""
    """Bytes received after the end of the answer."""


@dataclass
class History:
    """All requests, runs and crashes, in the order in which they began, and the runners."""

    requests: list[ClientRequest] = field(default_factory=list)
    runs: list[RunnerRun] = field(default_factory=list)
    crashes: list[Crash] = field(default_factory=list)
    runners: tuple[str, ...] = ()
    losses: list[ConnectionLoss] = field(default_factory=list)
    unsent: list[RunnerRun] = field(default_factory=list)
    """The runs whose answers never began: their connections ended with an answer before them."""
