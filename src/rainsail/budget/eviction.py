"""Which clients give way when there is no room for another, and which answers of runners.

Answers of which a large part is pending come first, since a sound runner completes what it begins.
Then come the clients that make the least progress for what they hold. A client whose request is
being answered, or that makes progress, never gives way to another.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Protocol

from rainsail.budget.progress import ProgressMeter

PROTECTED_S = 1.0
"""A client that began less than this ago does not give way."""
MIN_PROGRESS_PER_BYTE = 1 / 3
"""Bytes a second, for each byte held, that a client has to progress to be kept."""


class Rank(IntEnum):
    """What a client or a runner is doing, in the order in which they give way."""

    RUNNER = 0
    """A runner does not complete a part of its answer."""
    REFUSED = 1
    """It was refused and still sends."""
    BODY = 2
    """Its request is arriving."""
    ANSWER = 3
    """It does not take its answer."""
    IDLE = 4
    """Its connection has no request."""


@dataclass(frozen=True, slots=True, order=True)
class Standing:
    """The place of a client that may give way; the smallest goes first."""

    rank: Rank
    progress_per_byte: float
    """For each byte held: bytes a second of a client; of a runner the one answer that would end."""
    since_s: float
    """When it began what it is doing."""


class Claimant(Protocol):
    """A client's connection, or a runner's answer, as seen by the budget."""

    @property
    def held_bytes(self) -> int:
        """The bytes that it would give back."""
        ...

    def standing(self, now: float) -> Standing | None:
        """Return its place among those that may give way, None if it must not."""
        ...

    def give_way(self, at_once: bool) -> None:
        """Give back what it holds.

        ``at_once`` closes its connection in this turn, without an answer that could be sent later.
        """
        ...


def slow_standing(rank: Rank, held_bytes: int, meter: ProgressMeter, now: float) -> Standing | None:
    """Return the place of a client by its progress; None for one that is fast enough, or new."""
    if now - meter.since_s < PROTECTED_S:
        return None
    per_byte = meter.rate(now) / max(held_bytes, 1)
    if per_byte >= MIN_PROGRESS_PER_BYTE:
        return None
    return Standing(rank, per_byte, meter.since_s)


def choose(
    claimants: Iterable[Claimant], needed_bytes: int, least_count: int, now: float
) -> list[Claimant]:
    """Return who gives way so that ``needed_bytes`` and ``least_count`` connections are freed.

    Empty if all together hold less: then nobody gives way in vain.
    """
    standings = [(each.standing(now), each) for each in claimants]
    places = [(standing, each) for standing, each in standings if standing is not None]
    places.sort(key=lambda place: place[0])
    chosen: list[Claimant] = []
    freed_bytes = 0
    for _, each in places:
        if freed_bytes >= needed_bytes and len(chosen) >= least_count:
            break
        chosen.append(each)
        freed_bytes += each.held_bytes
    enough = freed_bytes >= needed_bytes and (chosen or not least_count)
    return chosen if enough else []
