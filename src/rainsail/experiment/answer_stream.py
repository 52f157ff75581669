"""Answers of the caller API as their callers read them: streams put together, and faults."""

import json
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from pydantic import TypeAdapter

from rainsail.engine.sse import SseParser
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.http.statuses import invalid_status, is_final_status

STEP = "caller.http"
MAX_ANSWER_CHARACTERS = 16 * 1024 * 1024
LONGEST_PAUSE_S = 3600.0

_FAULT = TypeAdapter(Fault)


@dataclass(slots=True)
class StreamEnd:
    """How one send of a request ended; ``fault`` is None for a whole answer."""

    text: str = ""
    first_part_s: float = -1.0
    fault: Fault | None = None
    lost: bool = False

    def lose(self, fault: Fault) -> None:
        """Note that no end came; a fault that the server stated before goes first."""
        if self.fault is None:
            self.fault = fault
            self.lost = fault.outcome != Outcome.NOT_RUN


class AnswerStream:
    """Puts a stream's parts together and notes its end."""

    def __init__(self, end: StreamEnd, seconds: Callable[[], float]) -> None:
        self.texts: list[str] = []
        self.done = False
        self._end = end
        self._seconds = seconds
        self._parser = SseParser()
        self._characters = 0

    def feed(self, data: bytes) -> None:
        """Take the next bytes; raises ``ValueError`` for what is no stream of an answer."""
        for event in self._parser.feed_data(data):
            if event == b"[DONE]":
                self.done = True
                continue
            self._take_frame(event)

    def finish(self) -> None:
        """Take the end of the bytes; raises ``ValueError`` when the answer's end is missing."""
        if not self.done and self._end.fault is None:
            raise ValueError("the stream broke off before its end")

    def _take_frame(self, event: bytes) -> None:
        try:
            frame = json.loads(event)
            if "error" in frame:
                self._end.fault = fault_of(500, event)
                return
            texts = [_text_of(choice) for choice in frame["choices"]]
        except (AttributeError, KeyError, TypeError, RecursionError) as error:
            raise ValueError(f"no frame of an answer: {error!r}") from error
        for text in texts:
            self._take(text)

    def _take(self, text: str) -> None:
        if not isinstance(text, str):
            raise ValueError("no frame of an answer: its text is none")
        if not text:
            return
        if self._end.first_part_s < 0:
            self._end.first_part_s = self._seconds()
        self._characters += len(text)
        if self._characters > MAX_ANSWER_CHARACTERS:
            raise ValueError(f"an answer is longer than {MAX_ANSWER_CHARACTERS} characters")
        self.texts.append(text)


def _text_of(choice: Any) -> Any:
    """Return the text of a choice of a completion or of a chat, whose first part has none."""
    return choice["delta"].get("content", "") if "delta" in choice else choice["text"]


def fault_of(status: int, content: bytes) -> Fault:
    """Return the typed fault of an error answer; one without is of unknown outcome.

    The operator API's error object is the fault itself, the caller API's holds it.
    """
    if not is_final_status(status):
        detail = invalid_status(status)
        return Fault(FaultCode.INTERNAL, STEP, detail, outcome=Outcome.UNKNOWN)
    try:
        error = json.loads(content)["error"]
        fault = _FAULT.validate_python(error.get("rainsail", error), strict=False)
    except (AttributeError, ValueError, KeyError, TypeError, RecursionError):
        detail = f"HTTP status {status}: {content[:200]!r}"
        return Fault(FaultCode.INTERNAL, STEP, detail, outcome=Outcome.UNKNOWN)
    return replace(fault, step=fault.step or STEP, retry_after_s=_pause_s(fault.retry_after_s))


def _pause_s(stated_s: float | None) -> float | None:
    """Return a pause that makes sense; None when the server stated none, or nonsense."""
    if stated_s is None or not 0.0 <= stated_s <= LONGEST_PAUSE_S:
        return None
    return stated_s
