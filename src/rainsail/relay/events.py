"""Splitting a stream into whole events."""

import re
from dataclasses import dataclass

from rainsail.http.client import AnswerHead

STATUS_OK = 200
EVENT_STREAM = b"text/event-stream"
LINE_ENDS = b"\r\n"
BLANK_LINE = b"\n\n"
ANY_BLANK_LINE = re.compile(rb"\r?\n\r?\n")


@dataclass(frozen=True, slots=True)
class Event:
    """One whole event: its bytes as they came, its id as a number, its data."""

    raw: bytes
    number: int | None
    data: str


def leaves_hole(event: Event, last_event: int | None) -> bool:
    """Tell whether an event can't come next after the last one: something between is lost.

    Numbers rise by one: a run that goes on behind event n begins at n + 1. Data without a number
    among numbered events is what is left of an event that was spoilt on its way.
    """
    if last_event is None:
        return False
    if event.number is None:
        return bool(event.data)
    return event.number > last_event + 1


def is_event_stream(head: AnswerHead) -> bool:
    """Tell whether an answer is a series of events, and a success."""
    return head.status == STATUS_OK and any(
        name.lower() == b"content-type" and value.lower().startswith(EVENT_STREAM)
        for name, value in head.headers
    )


class EventSplitter:
    """Gathers bytes and gives back whole events; ``rest`` is what has not ended yet."""

    def __init__(self) -> None:
        self.rest = b""

    @property
    def is_inside_event(self) -> bool:
        """Tell whether an event has begun and not ended: a stream that ends here is not whole."""
        return bool(self.rest.strip(LINE_ENDS))

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that ``data`` completes."""
        gathered = self.rest + data
        raw_events = _split_any(gathered) if b"\r" in gathered else _split_plain(gathered)
        self.rest = raw_events.pop()
        return [parse_event(raw) for raw in raw_events]


def _split_plain(gathered: bytes) -> list[bytes]:
    """Split where lines end in LF alone: much faster, and nearly all streams are so."""
    pieces = gathered.split(BLANK_LINE)
    rest = pieces.pop()
    return [*(piece + BLANK_LINE for piece in pieces), rest]


def _split_any(gathered: bytes) -> list[bytes]:
    ends = [match.end() for match in ANY_BLANK_LINE.finditer(gathered)]
    starts = [0, *ends]
    return [gathered[start:end] for start, end in zip(starts, [*ends, None], strict=True)]


def parse_event(raw: bytes) -> Event:
    """Parse the fields of one event; fields that are not known are passed over."""
    number: int | None = None
    data: list[str] = []
    for line in raw.decode("utf-8", "replace").split("\n"):
        name, _, value = line.rstrip("\r").partition(":")
        value = value.removeprefix(" ")
        if name == "id" and value.isascii() and value.isdigit():
            number = int(value)
        elif name == "data":
            data.append(value)
    return Event(raw, number, "\n".join(data))
