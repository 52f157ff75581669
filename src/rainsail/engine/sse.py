"""An incremental parser of server-sent events, written for many small frames.

Frames of one ``data:`` line and a blank line, as engines send them, take a fast path. All other
forms of the WHATWG specification (CR line ends, comments, event names, several data lines) are
supported as well.
"""

from dataclasses import dataclass

DEFAULT_MAX_FRAME_BYTES = 4 * 1024 * 1024
BLANK_LINE = b"\n\n"
_DATA_PREFIX = b"data: "
_DATA_PREFIX_LENGTH = len(_DATA_PREFIX)


@dataclass(frozen=True, slots=True)
class ServerSentEvent:
    """One event: its name (``message`` if it has none) and its data."""

    name: str
    data: bytes


class SseError(ValueError):
    """A frame exceeds the maximum length."""


class SseParser:
    """Parses received bytes into events, independently of the boundaries of the reads."""

    def __init__(self, max_frame_bytes: int = DEFAULT_MAX_FRAME_BYTES) -> None:
        self._max_frame_bytes = max_frame_bytes
        self._pending = bytearray()
        """The received part of the next frame, its line ends replaced by LF."""
        self._holds_cr = False
        """A CR was received last: it ends a line, by itself or with an LF that follows."""

    @property
    def pending_bytes(self) -> int:
        """Bytes of a frame that is not complete yet."""
        return len(self._pending) + self._holds_cr

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Parse bytes; return the events that they complete. Raises ``SseError``."""
        return [event for frame in self._frames(data) if (event := _parse_frame(frame)) is not None]

    def feed_data(self, data: bytes) -> list[bytes]:
        """Parse bytes; return only the data of the events that they complete (the fast path)."""
        found = []
        for frame in self._frames(data):
            if frame.startswith(_DATA_PREFIX) and b"\n" not in frame:
                found.append(frame[_DATA_PREFIX_LENGTH:])
                continue
            event = _parse_frame(frame)
            if event is not None:
                found.append(event.data)
        return found

    def _frames(self, data: bytes) -> list[bytes]:
        if self._holds_cr or b"\r" in data:
            data = self._normalise(data)
        if self._pending:
            frames = self._continue_frame(data)
        else:
            frames = data.split(BLANK_LINE)
            if rest := frames.pop():
                self._pending += rest
        if len(self._pending) + self._holds_cr > self._max_frame_bytes:
            raise SseError(f"a frame is longer than {self._max_frame_bytes} bytes")
        return frames

    def _normalise(self, data: bytes) -> bytes:
        """Replace all line ends by LF; a final CR waits for the next read, as LF may follow."""
        if self._holds_cr:
            data = b"\r" + data
        self._holds_cr = data.endswith(b"\r")
        body = data[:-1] if self._holds_cr else data
        return body.replace(b"\r\n", b"\n").replace(b"\r", b"\n")

    def _continue_frame(self, data: bytes) -> list[bytes]:
        """Append to the pending frame; return the frames that are complete then.

        What was pending before holds no blank line, and is neither copied nor searched again.
        """
        pending = self._pending
        search_from = max(0, len(pending) - 1)
        pending += data
        end = pending.find(BLANK_LINE, search_from)
        if end < 0:
            return []
        with memoryview(pending) as view:
            first = bytes(view[:end])
            rest = bytes(view[end + len(BLANK_LINE) :])
        frames = [first, *rest.split(BLANK_LINE)]
        self._pending = bytearray(frames.pop())
        return frames


def _parse_frame(frame: bytes) -> ServerSentEvent | None:
    name = "message"
    lines = []
    for line in frame.split(b"\n"):
        field, _, value = line.partition(b":")
        if value.startswith(b" "):
            value = value[1:]
        if field == b"data":
            lines.append(value)
        elif field == b"event":
            name = value.decode("utf-8", "replace")
    return ServerSentEvent(name, b"\n".join(lines)) if lines else None
