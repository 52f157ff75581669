"""Splitting a stream into whole events."""

import re
from dataclasses import dataclass

from rainsail.http.client import AnswerHead, Framing
from rainsail.relay.stream_beginnings import FirstEvent, Unnumbered

STATUS_OK = 200
EVENT_STREAM = b"text/event-stream"
LINE_ENDS = b"\r\n"
BLANK_LINE = b"\n\n"
ANY_BLANK_LINE = re.compile(rb"\n\r?\n|\r\r")
MAX_BLANK_LINE_BYTES = 3
BYTE_ORDER_MARK = "\ufeff"
REPLACEMENT_CHARACTER = "\ufffd"
"""Stands for bytes that are not UTF-8."""
MAX_EVENT_BYTES = 4 * 1024 * 1024
"""An event that is longer counts as broken.

Not measured; chosen far above any answer's event, to bound what a runner can make a gateway hold.
"""


@dataclass(frozen=True, slots=True)
class Event:
    """One whole event: its bytes as they came, its id as a number, its data."""

    raw: bytes
    number: int | None
    data: str
    is_spoilt: bool = False
    """The name of a field is not text, so that bytes of something else stand in its line."""


def leaves_gap(event: Event, last_event: int | None) -> bool:
    """Tell whether an event can't come next after the last one: something between is lost.

    Numbers rise by one: a run that goes on behind event n begins at n + 1. Data without a number
    among numbered events is what is left of an event that was spoilt on its way.
    """
    if last_event is None:
        return False
    if event.number is None:
        return bool(event.data)
    return event.number > last_event + 1


def is_part_of_stream(event: Event) -> bool:
    """Tell whether an event is one of those that are numbered: a comment or a blank is not."""
    return event.number is not None or bool(event.data) or event.is_spoilt


def first_event(event: Event) -> FirstEvent:
    """Return what a stream begins with whose first event is this one."""
    return Unnumbered.SPOILT if event.is_spoilt else event.number


def is_event_stream(head: AnswerHead) -> bool:
    """Tell whether an answer is a series of events, and a success."""
    return head.status == STATUS_OK and any(
        name.lower() == b"content-type" and value.lower().startswith(EVENT_STREAM)
        for name, value in head.headers
    )


class EventStream:
    """The events of one run's answer; ``rest`` is what has come of the next one."""

    def __init__(self, framing: Framing) -> None:
        self.rest = b""
        self._framing = framing
        self._has_events = False

    @property
    def is_overlong(self) -> bool:
        """Tell whether an event has no end in sight."""
        return len(self.rest) > MAX_EVENT_BYTES

    @property
    def may_end_here(self) -> bool:
        """Tell whether an end in order, at this point, ends the stream as a whole.

        Where only the connection's end marks it, a runner that dies looks like one that is done:
        before the first event, or inside of one, it is not the end.
        """
        if self._framing != Framing.CLOSE:
            return True
        return self._has_events and not self._is_inside_event

    @property
    def _is_inside_event(self) -> bool:
        return bool(self.rest.strip(LINE_ENDS))

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that ``data`` completes."""
        raw_events = _split(self.rest, data)
        self.rest = raw_events.pop()
        self._has_events = self._has_events or bool(raw_events)
        return [parse_event(raw) for raw in raw_events]

    def last_events(self) -> list[Event]:
        """Return what a declared end ends in the place of a blank line, an event or nothing."""
        return [parse_event(self.rest)] if self.rest else []


def _split(rest: bytes, data: bytes) -> list[bytes]:
    """Return the raw events in ``rest`` and ``data``, and what is left behind them."""
    gathered = rest + data
    if b"\r" in gathered:
        return _split_any(gathered, max(0, len(rest) - MAX_BLANK_LINE_BYTES))
    # Nearly all streams end lines in LF alone, and this is much faster.
    pieces = gathered.split(BLANK_LINE)
    left = pieces.pop()
    return [*(piece + BLANK_LINE for piece in pieces), left]


def _split_any(gathered: bytes, search_from: int) -> list[bytes]:
    ends = [match.end() for match in ANY_BLANK_LINE.finditer(gathered, search_from)]
    starts = [0, *ends]
    return [gathered[start:end] for start, end in zip(starts, [*ends, None], strict=True)]


def parse_event(raw: bytes) -> Event:
    """Parse the fields of one event; fields that are not known are passed over."""
    number: int | None = None
    data: list[str] = []
    is_spoilt = False
    text = raw.decode("utf-8", "replace").removeprefix(BYTE_ORDER_MARK)
    for line in text.replace("\r\n", "\n").replace("\r", "\n").split("\n"):
        name, _, value = line.partition(":")
        is_spoilt = is_spoilt or REPLACEMENT_CHARACTER in name
        value = value.removeprefix(" ")
        if name == "id" and value.isascii() and value.isdigit():
            number = int(value)
        elif name == "data":
            data.append(value)
    return Event(raw, number, "\n".join(data), is_spoilt)
