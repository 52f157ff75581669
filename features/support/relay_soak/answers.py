"""Draws how a runner handles a request: it answers, refuses, fails, or breaks in some way.

Faults that no gateway can detect are not drawn: the loss of a stream's last event before an orderly
end; bytes changed within an event's text or within a body; and a body that is not a stream, without
a length or chunks, truncated by an orderly close of its connection alone. Crashes, runs that go on
with nothing, damaged framing and statuses without a meaning are drawn by ``course_faults``.
"""

import random
from dataclasses import dataclass
from typing import Protocol

from features.support.relay_soak.content import (
    event,
    failure_body,
    last_event,
    whole_body,
)
from features.support.relay_soak.history import Ending, Framing, Kind

REFUSAL_SHARE = 0.08
FAILURE_SHARE = 0.12
OTHER_TYPE_SHARE = 0.08
"""The share of resumed runs that are answered 200 with something that is not a stream."""
FAULT_SHARE = 0.45
LOST_EVENT_SHARE = 0.08
CORRUPTED_EVENT_SHARE = 0.08
REPEAT_SHARE = 0.2
SURPLUS_SHARE = 0.04
REFUSAL_STATUSES = (421, 429, 503, 404, 500, 504)
FAILURE_STATUSES = (500, 500, 503, 429, 404, 504)
FAILURE_BYTES = (0, 40, 40, 3000, 20000)
PIECE_SPLIT_SHARE = 0.3
BODY_PIECES = 4
JUNK = b"\xff\x00junk"
PAUSES_S = (0.0, 0.005, 0.03, 0.1)
EVENT_STREAM = b"text/event-stream"
PLAIN = b"text/plain"


@dataclass(frozen=True)
class Asked:
    """A request as the runner sees it."""

    request: str
    kind: Kind
    after_event: int | None
    taken_up: bool
    """It resumes an answer that another runner has begun."""


@dataclass(frozen=True)
class RunnerAnswer:
    """The pieces of an answer, sent ``pause_s`` apart, and what happens after them.

    ``status`` is 0 if not even a head is sent; ``whole`` tells whether the framed answer is
    complete, whatever happens to the connection then.
    """

    ran: bool
    status: int
    framing: Framing
    body: bytes
    whole: bool
    pieces: tuple[bytes, ...]
    pause_s: float
    ending: Ending
    states_early_end: bool = False
    """Its framing states its end rightly, though events are missing behind it."""
    crash_at: int | None = None
    """The index of the piece in whose place the runner's process ends."""


@dataclass(frozen=True)
class Message:
    """An answer before framing: status and type, and its body in pieces."""

    asked: Asked
    status: int
    content_type: bytes
    pieces: list[bytes]
    ran: bool = True
    corrupted: int | None = None
    """The index of the piece that is preceded by garbage bytes."""
    lacks_event: bool = False

    @property
    def is_sound(self) -> bool:
        """Tell whether the body is undamaged."""
        return self.corrupted is None and not self.lacks_event

    def body(self, count: int) -> bytes:
        """Return the first ``count`` pieces of the body as sent."""
        return b"".join(
            JUNK + piece if number == self.corrupted else piece
            for number, piece in enumerate(self.pieces[:count])
        )


class Break:
    """Where an answer is interrupted: after ``count`` pieces and a part of the next one."""

    def __init__(self, draw: random.Random, pieces: list[bytes], may_close: bool) -> None:
        endings = [Ending.RESET, Ending.SILENT, *([Ending.CLOSE] * 3 if may_close else [])]
        self.ending = draw.choice(endings)
        self.count = draw.randint(0, len(pieces))
        self.part = b""
        if self.count < len(pieces) and draw.random() < 0.6:
            piece = pieces[self.count]
            self.part = piece[: draw.randint(0, max(0, len(piece) - 1))]
        self.cut_chunk = draw.random() < 0.5
        """For chunked answers: whether the chunk of that part is truncated, too."""
        self.has_body = bool(self.count or self.part)
        self.before_head = not self.has_body and draw.random() < 0.5


class OtherFaults(Protocol):
    """Draws further faults, from a random generator of its own."""

    @property
    def closes_alone(self) -> bool:
        """Whether an answer without framing may be truncated by the close of its connection."""
        ...

    def replaced(self, message: Message, framing: Framing) -> RunnerAnswer | None:
        """Return what is sent in place of an answer, None to leave it."""
        ...

    def crashing(self, answer: RunnerAnswer) -> RunnerAnswer:
        """Return the answer, some with a crash of the runner's process in it."""
        ...


class AnswerDrawer:
    """Draws answers from one random generator.

    With ``spoils_beginnings`` streams may also lack their first event, have it corrupted, or have
    no events.
    """

    def __init__(
        self,
        draw: random.Random,
        spoils_beginnings: bool,
        other_faults: OtherFaults | None = None,
    ) -> None:
        self._draw = draw
        self._spoils_beginnings = spoils_beginnings
        self._other_faults = other_faults

    def answer(self, asked: Asked) -> RunnerAnswer:
        """Draw the answer to a request."""
        message = self._message(asked)
        framing = self._draw.choice(tuple(Framing))
        if self._other_faults is None:
            return self._drawn(message, framing)
        replaced = self._other_faults.replaced(message, framing)
        return self._other_faults.crashing(replaced or self._drawn(message, framing))

    def _drawn(self, message: Message, framing: Framing) -> RunnerAnswer:
        if self._draw.random() < FAULT_SHARE:
            return self._broken(message, framing)
        return self._ended(message, framing)

    # --- content -------------------------------------------------------------------------

    def _message(self, asked: Asked) -> Message:
        chance = self._draw.random()
        if chance < REFUSAL_SHARE:
            return self._failure(asked, REFUSAL_STATUSES, ran=False)
        if chance < REFUSAL_SHARE + FAILURE_SHARE:
            return self._failure(asked, FAILURE_STATUSES, ran=True)
        if not asked.kind.is_stream:
            return self._plain(asked, whole_body(asked.request))
        if asked.taken_up and self._draw.random() < OTHER_TYPE_SHARE:
            return self._plain(asked, b"this is no stream")
        return self._stream(asked)

    def _failure(self, asked: Asked, statuses: tuple[int, ...], ran: bool) -> Message:
        status = self._draw.choice(statuses)
        body = failure_body(asked.request, status, self._draw.choice(FAILURE_BYTES))
        return Message(asked, status, PLAIN, self._in_pieces(body), ran)

    def _plain(self, asked: Asked, body: bytes) -> Message:
        return Message(asked, 200, PLAIN, self._in_pieces(body))

    def _stream(self, asked: Asked) -> Message:
        first = (asked.after_event or 0) + 1
        if asked.after_event and self._draw.random() < REPEAT_SHARE:
            first -= 1
        numbers = list(range(first, last_event(asked.request) + 1))
        kept = 0 if self._spoils_beginnings or asked.after_event else 1
        lacks_event = len(numbers) > kept + 1 and self._draw.random() < LOST_EVENT_SHARE
        if lacks_event:
            del numbers[self._draw.randrange(kept, len(numbers) - 1)]
        corrupted = None
        if len(numbers) > kept and self._draw.random() < CORRUPTED_EVENT_SHARE:
            corrupted = self._draw.randrange(kept, len(numbers))
        pieces = [event(asked.request, number) for number in numbers]
        return Message(asked, 200, EVENT_STREAM, pieces, True, corrupted, lacks_event)

    def _in_pieces(self, body: bytes) -> list[bytes]:
        size = max(1, len(body) // self._draw.randint(1, BODY_PIECES))
        return [body[begin : begin + size] for begin in range(0, len(body), size)]

    # --- transfer ------------------------------------------------------------------------

    def _ended(self, message: Message, framing: Framing) -> RunnerAnswer:
        """Send the complete answer, sometimes twice; the second copy is surplus data."""
        count = len(message.pieces)
        wire = [answer_head(message, framing), *self._framed(message, framing, count)]
        if framing == Framing.CHUNKS:
            wire.append(b"0\r\n\r\n")
        if framing != Framing.CLOSE and self._draw.random() < SURPLUS_SHARE:
            wire += wire
        ending = Ending.CLOSE if framing == Framing.CLOSE else Ending.KEEP
        return RunnerAnswer(
            message.ran,
            message.status,
            framing,
            message.body(count),
            message.is_sound,
            tuple(wire),
            self._draw.choice(PAUSES_S),
            ending,
        )

    def _broken(self, message: Message, framing: Framing) -> RunnerAnswer:
        """Send a part of the answer."""
        closes_alone = self._other_faults is None or self._other_faults.closes_alone
        is_stream = message.content_type == EVENT_STREAM
        may_close = framing != Framing.CLOSE or (is_stream and closes_alone)
        broken = Break(self._draw, message.pieces, may_close)
        if not (broken.has_body or self._spoils_beginnings or message.asked.after_event):
            broken.before_head = broken.before_head or framing == Framing.CLOSE
        wire = [] if broken.before_head else self._part_of_wire(message, framing, broken)
        reaches_length = framing == Framing.LENGTH and broken.count == len(message.pieces)
        return RunnerAnswer(
            message.ran,
            message.status if wire else 0,
            framing,
            message.body(broken.count) + broken.part,
            bool(wire) and reaches_length and message.is_sound,
            tuple(wire),
            self._draw.choice(PAUSES_S),
            broken.ending,
        )

    def _part_of_wire(self, message: Message, framing: Framing, broken: Break) -> list[bytes]:
        wire = [answer_head(message, framing), *self._framed(message, framing, broken.count)]
        if broken.part and framing == Framing.CHUNKS:
            chunk = chunk_of(broken.part)
            wire.append(chunk[:-3] if broken.cut_chunk else chunk)
        elif broken.part:
            wire.append(broken.part)
        return wire

    def _framed(self, message: Message, framing: Framing, count: int) -> list[bytes]:
        """Return the pieces as sent; some in two parts, one after garbage bytes."""
        wire = []
        for number, piece in enumerate(message.pieces[:count]):
            if number == message.corrupted:
                wire.append(JUNK)
            for part in self._parts(piece):
                wire.append(chunk_of(part) if framing == Framing.CHUNKS else part)
        return wire

    def _parts(self, piece: bytes) -> list[bytes]:
        if len(piece) < 2 or self._draw.random() >= PIECE_SPLIT_SHARE:
            return [piece] if piece else []
        middle = self._draw.randint(1, len(piece) - 1)
        return [piece[:middle], piece[middle:]]


def chunk_of(data: bytes) -> bytes:
    """Return a chunk with its size."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def answer_head(message: Message, framing: Framing, length: int | None = None) -> bytes:
    """Return the head of an answer; ``length`` is the stated one, by default the true one."""
    true_length = sum(map(len, message.pieces))
    frames = {
        Framing.CHUNKS: b"Transfer-Encoding: chunked",
        Framing.LENGTH: b"Content-Length: %d" % (true_length if length is None else length),
        Framing.CLOSE: b"Connection: close",
    }
    lines = [
        b"HTTP/1.1 %03d Said" % message.status,
        b"Rainsail-Request: " + message.asked.request.encode(),
        b"Content-Type: " + message.content_type,
        frames[framing],
        *([] if message.ran else [b"Rainsail-Not-Run: 1"]),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n"
