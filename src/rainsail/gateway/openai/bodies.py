"""Models and validation of the request bodies of completions, chat completions and batches.

Sampling fields such as ``temperature`` are accepted and ignored, because an engine's answer depends
only on the prompt and the seed. Fields that would change the meaning of the answer (``n``,
``echo``, ``suffix``, ``stop``, ``tools``) are rejected unless they have no effect.
"""

from collections.abc import Callable
from typing import Annotated, Any, Literal, Protocol

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from rainsail.errors import Fault, FaultCode

_OPENAI_DEFAULT_MAX_TOKENS = 16
_SEED_BITS = 63
_MAX_SEED = (1 << _SEED_BITS) - 1

ModelName = Annotated[str, Field(min_length=1, max_length=253)]
TokenBound = Annotated[int, Field(gt=0)]
Seed = Annotated[int, Field(ge=-_MAX_SEED, le=_MAX_SEED)]
Unset = Literal[False, ""] | Annotated[list[Any], Field(max_length=0)] | None


class StreamOptions(BaseModel):
    """Options of a streamed answer."""

    model_config = ConfigDict(strict=True)

    include_usage: bool = False


class _Body(BaseModel):
    model_config = ConfigDict(strict=True, frozen=True)

    model: ModelName
    stream: bool = False
    stream_options: StreamOptions | None = None
    seed: Seed | None = None
    n: Literal[1] | None = None
    stop: Unset = None

    @property
    def includes_usage(self) -> bool:
        """Whether a stream ends with a usage chunk."""
        return self.stream_options is not None and self.stream_options.include_usage


class CompletionRequest(_Body):
    """Body of ``POST /v1/completions``."""

    prompt: str | Annotated[list[str], Field(min_length=1, max_length=1)]
    max_tokens: TokenBound | None = None
    echo: Literal[False] | None = None
    suffix: Literal[""] | None = None
    best_of: Literal[1] | None = None

    def text(self) -> str:
        """Return the prompt's text."""
        return self.prompt if isinstance(self.prompt, str) else self.prompt[0]

    def token_bound(self, default: int) -> int:
        """Return the bound on generated tokens."""
        return self.max_tokens or _OPENAI_DEFAULT_MAX_TOKENS


class TextPart(BaseModel):
    """A part of a message's content; only text is supported."""

    model_config = ConfigDict(strict=True, frozen=True)

    type: Literal["text"]
    text: str


class ChatMessage(BaseModel):
    """One message of a chat."""

    model_config = ConfigDict(strict=True, frozen=True)

    role: Literal["system", "developer", "user", "assistant"]
    content: str | list[TextPart]

    def text(self) -> str:
        """Return the content's text."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class ChatCompletionRequest(_Body):
    """Body of ``POST /v1/chat/completions``."""

    messages: Annotated[list[ChatMessage], Field(min_length=1)]
    max_tokens: TokenBound | None = None
    max_completion_tokens: TokenBound | None = None
    tools: Unset = None

    def text(self) -> str:
        """Return the prompt: each message after its role tag, then the assistant's tag."""
        turns = [f"<|{message.role}|>\n{message.text()}\n" for message in self.messages]
        return "".join(turns) + "<|assistant|>\n"

    def token_bound(self, default: int) -> int:
        """Return the bound on generated tokens."""
        return self.max_completion_tokens or self.max_tokens or default


class PromptBody(Protocol):
    """Common interface of completion and chat completion bodies."""

    model: str
    stream: bool
    seed: int | None

    def text(self) -> str:
        """Return the prompt's text."""
        ...

    def token_bound(self, default: int) -> int:
        """Return the bound on generated tokens."""
        ...


class BatchRequest(BaseModel):
    """Body of ``POST /v1/batches``."""

    model_config = ConfigDict(strict=True, frozen=True)

    input_file_id: Annotated[str, Field(min_length=1, max_length=128)]
    endpoint: Literal["/v1/completions", "/v1/chat/completions"]
    completion_window: Annotated[str, Field(pattern=r"^[1-9][0-9]{0,5}[hms]$")] = "24h"
    metadata: dict[str, str] | None = None

    def window_s(self) -> float:
        """Return the completion window in seconds."""
        unit_s = {"h": 3600.0, "m": 60.0, "s": 1.0}[self.completion_window[-1]]
        return int(self.completion_window[:-1]) * unit_s


class BatchLine(BaseModel):
    """One line of a batch's input file."""

    model_config = ConfigDict(strict=True, frozen=True)

    custom_id: Annotated[str, Field(min_length=1, max_length=512)]
    method: Literal["POST"]
    url: str
    body: dict[str, Any]


COMPLETION = TypeAdapter(CompletionRequest)
CHAT_COMPLETION = TypeAdapter(ChatCompletionRequest)
BATCH = TypeAdapter(BatchRequest)
BATCH_LINE = TypeAdapter(BatchLine)


def read_json(adapter: TypeAdapter[Any], data: bytes, step: str) -> Result[Any, Fault]:
    """Validate a JSON document; the fault names the first invalid field."""
    return _validated(lambda: adapter.validate_json(data), step)


def read_object(adapter: TypeAdapter[Any], value: Any, step: str) -> Result[Any, Fault]:
    """Validate a decoded JSON object; the fault names the first invalid field."""
    return _validated(lambda: adapter.validate_python(value), step)


def _validated(validate: Callable[[], Any], step: str) -> Result[Any, Fault]:
    try:
        return Ok(validate())
    except ValidationError as error:
        first = error.errors(include_url=False, include_input=False, include_context=False)[0]
        place = ".".join(str(part) for part in first["loc"])
        detail = f"{place}: {first['msg']}" if place else first["msg"]
        return Error(Fault(FaultCode.INVALID, step, detail))
