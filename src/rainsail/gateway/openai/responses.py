"""Response bodies of completions and chat completions, streamed or not."""

import json
from dataclasses import dataclass
from typing import Any

from rainsail.gateway.interface import Answer

DONE_FRAME = b"data: [DONE]\n\n"

_encode_string = json.encoder.encode_basestring_ascii
_TEXT_PLACEHOLDER = "\x00"
"""Placeholder for a part's text in the template.

Its last occurrence is replaced, because a model's name may contain it too.
"""


def encode_json(value: Any) -> bytes:
    """Return compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()


def usage(answer: Answer) -> dict[str, int]:
    """Return OpenAI's usage object."""
    return {
        "prompt_tokens": answer.prompt_tokens,
        "completion_tokens": answer.generated_tokens,
        "total_tokens": answer.prompt_tokens + answer.generated_tokens,
    }


@dataclass(frozen=True, slots=True)
class AnswerShape:
    """Object names and layout of one endpoint's answers."""

    id_prefix: str
    whole_object: str
    part_object: str
    chat: bool

    def choice(self, text: str, finish_reason: str) -> dict[str, Any]:
        """Return the choice object of an answer that is not streamed."""
        choice: dict[str, Any] = {"index": 0, "logprobs": None, "finish_reason": finish_reason}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text, "refusal": None}
        else:
            choice["text"] = text
        return choice

    def part_choice(self, text: str, finish_reason: str | None) -> dict[str, Any]:
        """Return the choice object of a streamed part."""
        choice: dict[str, Any] = {"index": 0, "logprobs": None, "finish_reason": finish_reason}
        if not self.chat:
            choice["text"] = text
        else:
            choice["delta"] = {"content": text} if finish_reason is None else {}
        return choice


COMPLETION_SHAPE = AnswerShape("cmpl-", "text_completion", "text_completion", False)
CHAT_SHAPE = AnswerShape("chatcmpl-", "chat.completion", "chat.completion.chunk", True)


class AnswerWriter:
    """Encodes one request's answer; the constant bytes of a frame are encoded once."""

    def __init__(self, shape: AnswerShape, request_id: str, model: str, created: int) -> None:
        self._shape = shape
        self._head = {"id": f"{shape.id_prefix}{request_id}", "created": created, "model": model}
        template = self._part_json([shape.part_choice(_TEXT_PLACEHOLDER, None)])
        before, _, after = template.rpartition(_encode_string(_TEXT_PLACEHOLDER).encode())
        self._before = b"data: " + before
        self._after = after + b"\n\n"

    def _part_json(self, choices: list[dict[str, Any]], **more: Any) -> bytes:
        body = {**self._head, "object": self._shape.part_object, "choices": choices, **more}
        return encode_json(body)

    def first_frame(self) -> bytes:
        """Return the first frame of a stream: the role for a chat, otherwise nothing."""
        if not self._shape.chat:
            return b""
        choice = self._shape.part_choice("", None)
        choice["delta"] = {"role": "assistant", "content": ""}
        return b"data: " + self._part_json([choice]) + b"\n\n"

    def part_frame(self, text: str) -> bytes:
        """Return the server-sent event of a part."""
        return self._before + _encode_string(text).encode() + self._after

    def last_frames(self, answer: Answer, include_usage: bool) -> bytes:
        """Return the server-sent events that end a stream."""
        outcome = {"outcome": answer.outcome, "runner": answer.runner}
        choices = [self._shape.part_choice("", answer.finish_reason)]
        frames = b"data: " + self._part_json(choices, rainsail=outcome) + b"\n\n"
        if include_usage:
            frames += b"data: " + self._part_json([], usage=usage(answer)) + b"\n\n"
        return frames + DONE_FRAME

    def whole(self, answer: Answer) -> bytes:
        """Return the body of an answer that is not streamed."""
        body = {
            **self._head,
            "object": self._shape.whole_object,
            "choices": [self._shape.choice(answer.text, answer.finish_reason)],
            "usage": usage(answer),
        }
        return encode_json(body)
