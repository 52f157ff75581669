"""Delivers an answer to its caller and collects its text."""

from rainsail.engine.prefix import count_tokens
from rainsail.errors import Fault, Outcome
from rainsail.gateway.interface import Answer, CallerRequest, ResponseSink


class AnswerDelivery:
    """Passes parts and one end to the caller's sink; collects the text for recording."""

    def __init__(self, caller: CallerRequest, sink: ResponseSink) -> None:
        self.prompt_tokens = count_tokens(caller.prompt)
        self.tokens = 0
        self._request_id = caller.request_id
        self._parts: list[str] = []
        self._sink: ResponseSink | None = sink

    @property
    def text(self) -> str:
        """The answer so far."""
        return "".join(self._parts)

    def add(self, text: str, tokens: int) -> None:
        """Deliver the next part. On the hot path: called for every chunk."""
        self._parts.append(text)
        self.tokens += tokens
        if self._sink is not None:
            self._sink.on_part(text, tokens)

    def answer(self, finish_reason: str, runner: str) -> None:
        """Deliver the end of a complete answer."""
        sink = self._take_sink()
        if sink is None:
            return
        sink.on_answer(
            Answer(
                self._request_id,
                Outcome.COMPLETED,
                self.text,
                finish_reason,
                self.prompt_tokens,
                self.tokens,
                runner,
            )
        )

    def fail(self, fault: Fault) -> None:
        """Deliver a fault as the end."""
        sink = self._take_sink()
        if sink is not None:
            sink.on_fault(fault)

    def detach_caller(self) -> None:
        """Deliver nothing more, because the caller has disconnected."""
        self._sink = None

    def _take_sink(self) -> ResponseSink | None:
        sink, self._sink = self._sink, None
        return sink
