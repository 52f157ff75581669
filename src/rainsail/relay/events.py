"""Parsing of server-sent event streams into complete events."""

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
"""What the decoder puts in the place of bytes that are not UTF-8."""
MAX_EVENT_BYTES = 4 * 1024 * 1024
"""A longer event counts as broken.

Far above any real event; bounds how much a runner can make a gateway buffer.
"""


@dataclass(frozen=True, slots=True)
class Event:
    """One complete event: its bytes as received, its ``id`` as a number, its data."""

    raw: bytes
    number: int | None
    data: str
    is_spoilt: bool = False
    """The name of a field is not valid UTF-8, so the line holds foreign bytes."""


def leaves_gap(event: Event, last_event: int | None) -> bool:
    """Tell whether events are missing between the last event and this one.

    Numbers increase by one: a run that resumes after event n begins at n + 1. Data without a number
    among numbered events is the rest of an event that was corrupted in transit.
    """
    if last_event is None:
        return False
    if event.number is None:
        return bool(event.data)
    return event.number > last_event + 1


def is_part_of_stream(event: Event) -> bool:
    """Tell whether an event counts as content: comments and blank events do not."""
    return event.number is not None or bool(event.data) or event.is_spoilt


def first_event(event: Event) -> FirstEvent:
    """Return the beginning of a stream whose first event is this one."""
    return Unnumbered.SPOILT if event.is_spoilt else event.number


def is_event_stream(head: AnswerHead) -> bool:
    """Tell whether an answer is a successful event stream; the answer to a HEAD has no events."""
    return (
        not head.is_to_head
        and head.status == STATUS_OK
        and any(
            name.lower() == b"content-type" and value.lower().startswith(EVENT_STREAM)
            for name, value in head.headers
        )
    )


class EventStream:
    """The events of one runner's answer, and the received part of the next one."""

    def __init__(self, framing: Framing) -> None:
        self._pending = bytearray()
        self._framing = framing
        self._has_events = False

    @property
    def rest(self) -> bytes:
        """A copy of the received part of the next event."""
        return bytes(self._pending)

    @property
    def pending_bytes(self) -> int:
        """The size of the received part of the next event."""
        return len(self._pending)

    @property
    def is_overlong(self) -> bool:
        """Tell whether the pending event exceeds ``MAX_EVENT_BYTES``."""
        return len(self._pending) > MAX_EVENT_BYTES

    @property
    def may_end_here(self) -> bool:
        """Tell whether an orderly end of the answer at this point may complete the stream.

        Where only the connection's close marks the end, a crashed runner looks like one that has
        finished: a close before the first event or inside an event is not the end.
        """
        if self._framing != Framing.CLOSE:
            return True
        return self._has_events and not self._is_inside_event

    @property
    def is_empty(self) -> bool:
        """Tell whether neither an event nor a part of one has arrived."""
        return not self._has_events and not self._is_inside_event

    @property
    def is_cut_by_length(self) -> bool:
        """Tell whether an end at this point would be that of a length, and inside an event.

        Who states a length knows the whole stream, and a stream ends with a blank line. An end
        in chunks may come without one, as some servers leave out the last.
        """
        return self._framing == Framing.LENGTH and self._is_inside_event

    @property
    def _is_inside_event(self) -> bool:
        return bool(self._pending.strip(LINE_ENDS))

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that ``data`` completes."""
        raw_events = self._continue_event(data) if self._pending else self._split(data)
        self._has_events = self._has_events or bool(raw_events)
        return [parse_event(raw) for raw in raw_events]

    def last_events(self) -> list[Event]:
        """Take the pending event, if any: a framed end completes it without a blank line."""
        events = [parse_event(bytes(self._pending))] if self._pending else []
        self.drop_pending()
        return events

    def drop_pending(self) -> None:
        """Drop the pending event: the answer has been given up."""
        self._pending = bytearray()

    def _split(self, data: bytes) -> list[bytes]:
        """Return the raw events in ``data``; the incomplete remainder becomes pending."""
        if b"\r" in data:
            return self._continue_event(data)
        # Nearly all streams end lines with LF alone; for these ``split`` is much faster.
        pieces = data.split(BLANK_LINE)
        self._pending += pieces.pop()
        return [piece + BLANK_LINE for piece in pieces]

    def _continue_event(self, data: bytes) -> list[bytes]:
        """Append ``data`` to the pending event; return the raw events that are complete then.

        What was pending before holds no blank line, and is neither copied nor searched again.
        """
        pending = self._pending
        search_from = max(0, len(pending) - MAX_BLANK_LINE_BYTES)
        pending += data
        ends = [match.end() for match in ANY_BLANK_LINE.finditer(pending, search_from)]
        if not ends:
            return []
        with memoryview(pending) as view:
            starts = [0, *ends]
            raw_events = [bytes(view[a:b]) for a, b in zip(starts, ends, strict=False)]
        del pending[: ends[-1]]
        return raw_events


def parse_event(raw: bytes) -> Event:
    """Parse the fields of one event; unknown fields are ignored."""
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
