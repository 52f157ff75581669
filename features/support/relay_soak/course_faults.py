"""Draws crashes, runs that go on with nothing, damaged framing and statuses without a meaning.

Each kind is switched on by itself, and all are drawn from a generator of their own. Where any is
on, streams without framing are truncated by a lone close only if that is on, too, so that each kind
can be judged by itself.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace

from features.support.relay_soak.answers import (
    EVENT_STREAM,
    PAUSES_S,
    Message,
    RunnerAnswer,
    answer_head,
    chunk_of,
)
from features.support.relay_soak.content import last_event
from features.support.relay_soak.history import Ending, Framing

CRASH_SHARES = {Framing.CLOSE: 0.2, Framing.CHUNKS: 0.04, Framing.LENGTH: 0.04}
DOWN_S = (0.1, 2.0)
EMPTY_SHARE = 0.6
EMPTY_FRAMINGS = (Framing.CHUNKS, Framing.CHUNKS, Framing.LENGTH, Framing.CLOSE)
DAMAGED_SHARE = 0.3
STATUS_SHARE = 0.15
STATUSES = (0, 99, 101, 199, 600, 999)
LAST_CHUNK = b"0\r\n\r\n"
OK = 200
HEAD_AND_FIRST_PIECE = 2


@dataclass(frozen=True)
class FaultKinds:
    """The kinds of faults that are drawn."""

    crashes: bool = False
    """A runner's process ends in the middle of an answer, and is back after ``DOWN_S``."""
    empty_runs: bool = False
    """A run behind an event of a stream is answered 200 without an event, once per request."""
    damaged_framing: bool = False
    """What tells the end of an answer tells it too early, with the rest behind it."""
    statuses: bool = False
    """Answers have a status to which HTTP gives no meaning."""
    lone_closes: bool = False
    """Streams without framing are truncated by the close of their connection alone."""


NO_FAULTS = FaultKinds()


class CourseFaults:
    """Implements ``OtherFaults`` of ``answers``."""

    def __init__(self, seed: int, kinds: FaultKinds) -> None:
        self._kinds = kinds
        self._draw = random.Random(f"faults of {seed}")
        self._answered_empty: set[str] = set()
        self.counts: Counter[str] = Counter()
        """How many answers of each kind were drawn."""

    @property
    def closes_alone(self) -> bool:
        """Whether an answer without framing may be truncated by the close of its connection."""
        return self._kinds.lone_closes

    def down_s(self) -> float:
        """Draw how long a runner's address refuses behind a crash."""
        return self._draw.choice(DOWN_S)

    def replaced(self, message: Message, framing: Framing) -> RunnerAnswer | None:
        """Return what is sent in place of an answer, None to leave it."""
        if message.status != OK:
            return None
        if self._kinds.empty_runs and self._may_be_empty(message):
            return self._empty(message)
        if self._kinds.statuses and self._draw.random() < STATUS_SHARE:
            status = self._draw.choice(STATUSES)
            self.counts["invalid_status"] += 1
            return self._sent(replace(message, status=status), framing, False)
        if self._kinds.damaged_framing and self._draw.random() < DAMAGED_SHARE:
            return self._damaged(message, framing)
        return None

    def crashing(self, answer: RunnerAnswer) -> RunnerAnswer:
        """Return the answer, some with a crash behind a piece of the body and before another."""
        pieces = len(answer.pieces)
        if not self._kinds.crashes or answer.status != OK or pieces <= HEAD_AND_FIRST_PIECE:
            return answer
        if self._draw.random() >= CRASH_SHARES[answer.framing]:
            return answer
        return replace(answer, crash_at=self._draw.randrange(HEAD_AND_FIRST_PIECE, pieces))

    # --- runs that go on with nothing ----------------------------------------------------

    def _may_be_empty(self, message: Message) -> bool:
        asked = message.asked
        if message.content_type != EVENT_STREAM or not asked.after_event:
            return False
        if asked.after_event >= last_event(asked.request) or asked.request in self._answered_empty:
            return False
        return self._draw.random() < EMPTY_SHARE

    def _empty(self, message: Message) -> RunnerAnswer:
        self._answered_empty.add(message.asked.request)
        self.counts["empty_run"] += 1
        framing = self._draw.choice(EMPTY_FRAMINGS)
        answer = self._sent(replace(message, pieces=[], corrupted=None), framing, False)
        return replace(answer, states_early_end=framing != Framing.CLOSE)

    # --- framing -------------------------------------------------------------------------

    def _sent(self, message: Message, framing: Framing, is_whole: bool) -> RunnerAnswer:
        """Return a message as it is sent without damage."""
        return self._answer(message, framing, _wire(message, framing), is_whole)

    def _answer(
        self, message: Message, framing: Framing, wire: list[bytes], is_whole: bool
    ) -> RunnerAnswer:
        return RunnerAnswer(
            message.ran,
            message.status,
            framing,
            b"".join(message.pieces),
            is_whole,
            tuple(wire),
            self._draw.choice(PAUSES_S),
            Ending.CLOSE if framing == Framing.CLOSE else Ending.KEEP,
        )

    def _damaged(self, message: Message, framing: Framing) -> RunnerAnswer | None:
        pieces = len(message.pieces)
        if framing == Framing.CLOSE or not message.is_sound or pieces < HEAD_AND_FIRST_PIECE:
            return None
        if framing == Framing.LENGTH:
            ways: list[Callable[[Message, int], list[bytes]]] = [_short_length]
        else:
            ways = [_size_of_zeros, _size_and_blank_line, _unframed_rest]
        if self._draw.random() < 1 / (len(ways) + 1):
            return self._sent_twice(message, framing)
        wire = self._draw.choice(ways)(message, self._draw.randrange(1, pieces))
        self.counts["damaged_framing"] += 1
        ending = self._draw.choice((Ending.KEEP, Ending.CLOSE))
        return replace(self._answer(message, framing, wire, False), ending=ending)

    def _sent_twice(self, message: Message, framing: Framing) -> RunnerAnswer:
        """Send a whole answer behind a whole one, the second one's head with the first's end."""
        self.counts["sent_twice"] += 1
        wire = _wire(message, framing)
        both = [*wire[:-1], wire[-1] + wire[0], *wire[1:]]
        return self._answer(message, framing, both, True)


def _wire(message: Message, framing: Framing) -> list[bytes]:
    pieces = [piece for piece in message.pieces if piece]
    if framing == Framing.CHUNKS:
        pieces = [*map(chunk_of, pieces), LAST_CHUNK]
    return [answer_head(message, framing), *pieces]


def _with_chunk(message: Message, place: int, chunk: bytes) -> list[bytes]:
    """Return an answer in chunks, with one of them replaced."""
    wire = _wire(message, Framing.CHUNKS)
    wire[place + 1] = chunk
    return wire


def _size_of_zeros(message: Message, place: int) -> list[bytes]:
    return _with_chunk(message, place, b"00\r\n%s\r\n" % message.pieces[place])


def _size_and_blank_line(message: Message, place: int) -> list[bytes]:
    return _with_chunk(message, place, b"0\r\n\r\n%s\r\n" % message.pieces[place])


def _unframed_rest(message: Message, place: int) -> list[bytes]:
    """Let the last chunk come early, with the other pieces behind it as they are."""
    wire = _wire(message, Framing.CHUNKS)[: place + 1]
    return [*wire, LAST_CHUNK + message.pieces[place], *message.pieces[place + 1 :]]


def _short_length(message: Message, place: int) -> list[bytes]:
    """State the length of the first pieces only; the next one comes with the last of these."""
    pieces = message.pieces
    head = answer_head(message, Framing.LENGTH, sum(map(len, pieces[:place])))
    joined = pieces[place - 1] + pieces[place]
    return [head, *pieces[: place - 1], joined, *pieces[place + 1 :]]
