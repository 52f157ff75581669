"""Places and sends the attempts of one caller's request, one at a time.

It selects the runner by routing, or by the session's placement. It owns the running attempt and
the list of runners that have failed. Its owner, ``RequestRun``, decides what follows an attempt.
"""

from typing import Protocol

from expression import Result

from rainsail.engine.interface import EngineAttemptEnd
from rainsail.errors import Fault, FaultCode
from rainsail.gateway.answer_delivery import AnswerDelivery
from rainsail.gateway.attempt_sender import AttemptSender
from rainsail.gateway.attempts import AttemptResult, EngineAttempt
from rainsail.gateway.current_attempt import CurrentAttempt
from rainsail.gateway.interface import CallerRequest
from rainsail.gateway.refusals import lease_expired
from rainsail.gateway.request_decisions import (
    STEP,
    Failure,
    RecordedAnswer,
    decide_after_last_turn,
)
from rainsail.gateway.run_context import RunContext
from rainsail.gateway.session_order import SessionTurn
from rainsail.gateway.sessions import SessionPlace


class RequestAttemptsOwner(Protocol):
    """The request that the attempts belong to."""

    @property
    def ended(self) -> bool:
        """Whether the request has ended; no attempt is sent after that."""
        ...

    def on_sending(self) -> None:
        """Called before an attempt is sent."""
        ...

    def on_not_placed(self, failure: Failure) -> None:
        """Called when no attempt can be sent now."""
        ...

    def on_answered_before(self, found: RecordedAnswer | Fault) -> None:
        """Called with the answer or a conflict when the last turn has this request's id."""
        ...

    def on_complete_answer(self, runner: str, end: EngineAttemptEnd) -> None:
        """Called when an attempt has delivered the complete answer."""
        ...

    def on_failed_attempt(self, runner: str, end: EngineAttemptEnd) -> None:
        """Called when an attempt has ended without the complete answer."""
        ...


class RequestAttempts:
    """The attempts of one request; implements ``EngineAttemptOwner``."""

    def __init__(
        self,
        context: RunContext,
        caller: CallerRequest,
        sender: AttemptSender,
        delivery: AnswerDelivery,
        owner: RequestAttemptsOwner,
    ) -> None:
        self._context = context
        self._caller = caller
        self._sender = sender
        self._delivery = delivery
        self._owner = owner
        self.current = CurrentAttempt(context)

    def place(self, turn: SessionTurn | None) -> None:
        """Select a runner and send the next attempt to it; ``turn`` is None outside sessions."""
        if self._owner.ended:
            return
        if not self._context.config.lease_valid():
            refusal = lease_expired(STEP)
            failure = Failure(refusal.code, refusal.detail, retry_after_s=refusal.retry_after_s)
            self._owner.on_not_placed(failure)
        elif turn is not None:
            done = self._context.sessions.place(turn, self.current.failed_runners)
            done.addCallback(self._session_placed)
        else:
            self._route()

    def _route(self) -> None:
        decision = self._sender.route(self.current.failed_runners)
        if decision.runner:
            self._send(decision.runner, self._caller.prompt, 0)
            return
        detail = "no runner takes this request now"
        self._owner.on_not_placed(Failure(FaultCode.UNAVAILABLE, detail))

    def _session_placed(self, reply: Result[SessionPlace, Fault]) -> None:
        if self._owner.ended:
            return
        if reply.is_error():
            fault = reply.error
            failure = Failure(fault.code, fault.detail, fault.peer, fault.retry_after_s)
            self._owner.on_not_placed(failure)
            return
        place = reply.ok
        if not self._sender.sent:
            found = decide_after_last_turn(place.last_turn, self._caller)
            if found is not None:
                self._owner.on_answered_before(found)
                return
        self._send(place.runner, place.transcript + self._caller.prompt, place.fence)

    def _send(self, runner: str, prompt: str, fence: int) -> None:
        attempt = self._sender.prepare(self, runner, prompt, fence, self._delivery.text)
        if attempt is None:
            failure = Failure(FaultCode.UNAVAILABLE, "the runner is gone", runner)
            self._owner.on_not_placed(failure)
            return
        self._owner.on_sending()
        self.current.start(attempt)

    def on_part(self, text: str, tokens: int) -> None:
        """Deliver the next part to the caller. On the hot path: called for every chunk."""
        self._delivery.add(text, tokens)

    def on_attempt_ended(
        self, attempt: EngineAttempt, result: AttemptResult, end: EngineAttemptEnd
    ) -> None:
        """Record the attempt's end and report it, unless the attempt was replaced."""
        if not self.current.is_current(attempt):
            return
        self.current.end(attempt, result, end)
        if result == AttemptResult.COMPLETE:
            self._owner.on_complete_answer(attempt.runner, end)
        else:
            self._owner.on_failed_attempt(attempt.runner, end)
