"""Splitting a stream into whole events."""

from dataclasses import dataclass

BLANK_LINE = b"\n\n"
MAX_EVENT_BYTES = 4 * 1024 * 1024


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


class EventSplitter:
    """Gathers bytes and gives back whole events; ``rest`` is what has not ended yet."""

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that ``data`` completes."""
        pieces = (self.rest + data).split(BLANK_LINE)
        self.rest = pieces.pop()
        return [parse_event(piece + BLANK_LINE) for piece in pieces]


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
