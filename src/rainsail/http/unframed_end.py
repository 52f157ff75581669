"""Decides whether a server's process has survived the end of an unframed answer. Pure.

Without a length or chunks only the close of its connection marks the end of an answer, and a
process that ends closes its connections in the same way. It closes all of them, and its listening
socket, at nearly the same moment; a new process at the address can't keep an older connection open.
"""

from dataclasses import dataclass
from enum import StrEnum

from rainsail.http.reachability import Reachability

UNFRAMED_END_SETTLE_S = 0.05
"""The time behind a close within which the other closes of a process that ends are noticed."""
SAME_MOMENT_S = 0.01
"""The most between the closes of two connections that one process closed at its end."""


class Closing(StrEnum):
    """What a close by the server tells of its process."""

    NOTHING = "nothing"
    """It ended an unframed answer, or refused a connection that had not been used yet."""
    IDLE = "idle"
    """No request was under way on the connection."""
    BROKEN_OFF = "broken_off"
    """A request was under way whose answer does not end with the connection."""


class ProcessVerdict(StrEnum):
    """Whether the server's process has survived the end of an unframed answer."""

    SURVIVED = "survived"
    ENDED = "ended"
    UNKNOWN = "unknown"
    """No connection tells; a probe of the address may."""


@dataclass(slots=True)
class CloseNotice:
    """When a close was noticed, and until when one of the same moment may be noticed behind it."""

    at_s: float
    until_s: float

    def is_with(self, other: "CloseNotice") -> bool:
        """Tell whether two closes may be of the same moment."""
        return self.at_s <= other.until_s and other.at_s <= self.until_s


@dataclass(frozen=True, slots=True)
class UnframedEnd:
    """The close of the connection of an unframed answer."""

    begun_s: float
    """When the head of the answer arrived."""
    notice: CloseNotice
    is_noticed_late: bool
    """The answer was not always read, so that the close may be older by any part of its time."""

    @property
    def earliest_s(self) -> float:
        """The earliest time at which the connection may have closed."""
        before_s = self.notice.at_s - SAME_MOMENT_S
        return min(self.begun_s, before_s) if self.is_noticed_late else before_s

    def is_end_of_process(self, notice: CloseNotice) -> bool:
        """Tell whether the close of another connection shows that the process has ended.

        It does so at the same moment; where this close may be older, from its earliest time on.
        """
        if self.notice.is_with(notice):
            return True
        return self.is_noticed_late and notice.at_s >= self.earliest_s


@dataclass(frozen=True, slots=True)
class OtherConnections:
    """What is known of the other connections to the same address."""

    open: int
    """How many are open, and are read, so that their close would have been noticed."""
    framed_open: int
    """How many of these have been answered and carry no unframed answer: their close tells."""
    oldest_open_s: float | None
    """When the oldest of those that are open was opened."""
    closings: tuple[tuple[Closing, CloseNotice], ...]
    """The last ones that the server closed, without ``Closing.NOTHING``."""

    def last_s(self, closing: Closing) -> float | None:
        """Return when the server last closed one in this way."""
        return max((notice.at_s for how, notice in self.closings if how == closing), default=None)


def judge_unframed_end(
    end: UnframedEnd, others: OtherConnections, reach: Reachability | None, is_held: bool
) -> ProcessVerdict:
    """Judge once the closes of a process that ends were noticed.

    ``reach`` is the result of a probe right behind the close, if there was one, and ``is_held``
    tells that its connection is still open. One that was lost again confirms nothing: the process
    had not closed its address yet, or takes no more connections. A server that stops in a planned
    way may refuse new connections while it goes on with those that it has.
    """
    if others.oldest_open_s is not None and others.oldest_open_s <= end.earliest_s:
        return ProcessVerdict.SURVIVED
    if any(end.is_end_of_process(notice) for _, notice in others.closings):
        return ProcessVerdict.ENDED
    if reach is not None and judge_probe(reach) == ProcessVerdict.ENDED:
        return ProcessVerdict.ENDED
    return ProcessVerdict.SURVIVED if others.open or is_held else ProcessVerdict.UNKNOWN


def judge_probe(reach: Reachability) -> ProcessVerdict:
    """Judge by a probe of the address where no connection tells.

    A process that listens there is taken for the same one.
    """
    return ProcessVerdict.SURVIVED if reach == Reachability.OPEN else ProcessVerdict.ENDED
