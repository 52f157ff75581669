"""What stands above and below the gateway's core.

The core (``rainsail.gateway.core.GatewayCore``) takes typed requests and answers through a
``ResponseSink``; ``rainsail.gateway.http_api`` is the thin HTTP adapter above it, a simulated
caller another. Nothing above the core knows engines, nothing below knows HTTP.
"""

from dataclasses import dataclass
from typing import Protocol

from rainsail.errors import Fault, Outcome
from rainsail.resources.specs import RequestClass


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One caller's request as the core takes it, already authenticated.

    ``request_id`` is the caller's idempotency key, or made by the adapter. ``class_`` is None
    when the caller named none: the service's default is taken.
    """

    request_id: str
    tenant: str
    model: str
    prompt: str
    max_tokens: int
    class_: RequestClass | None = None
    session: str = ""
    adapter: str = ""
    deadline_s: float = 0.0
    seed: int = 0


@dataclass(frozen=True, slots=True)
class Answer:
    """The end of a completed request; ``text`` is whole, whether or not it was streamed."""

    request_id: str
    outcome: Outcome
    text: str
    finish_reason: str
    prompt_tokens: int
    generated_tokens: int
    runner: str


class ResponseSink(Protocol):
    """Receives one request's answer: any number of parts, then exactly one end."""

    def on_part(self, text: str, tokens: int) -> None:
        """Take the next part of the answer, in order and without gaps."""
        ...

    def on_answer(self, answer: Answer) -> None:
        """The request completed."""
        ...

    def on_fault(self, fault: Fault) -> None:
        """The request ended without a whole answer; ``fault.outcome`` says whether it ran."""
        ...


class RequestHandle(Protocol):
    """Controls a request that is under way."""

    def abandon(self) -> None:
        """The caller has left: cancel at the engine; the sink hears nothing more."""
        ...

    def pause(self) -> None:
        """The caller reads slowly: stop reading from the engine."""
        ...

    def unpause(self) -> None:
        """The caller reads again."""
        ...


class Gateway(Protocol):
    """The core as the adapters see it."""

    def submit(self, request: CallerRequest, sink: ResponseSink) -> RequestHandle:
        """Start a request."""
        ...
