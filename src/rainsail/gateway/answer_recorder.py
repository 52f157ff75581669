"""Recording a whole answer before its caller hears the end: the session's turn, then the claim."""

from expression import Ok, Result
from twisted.internet.defer import Deferred, succeed

from rainsail.errors import Fault, Outcome
from rainsail.gateway.claims import RequestClaim
from rainsail.gateway.session_order import SessionTurn
from rainsail.gateway.sessions import SessionKeeper


class AnswerRecorder:
    """Records one request's answer; most requests have nothing to record."""

    def __init__(self, sessions: SessionKeeper, claim: RequestClaim, prompt: str) -> None:
        self._sessions = sessions
        self._claim = claim
        self._prompt = prompt

    def record(self, turn: SessionTurn | None, text: str) -> "Deferred[Result[None, Fault]]":
        """Record; a fault says that the session's turn could not be (whatever the claim)."""
        if turn is None:
            return self._record_claim(Ok(None), text)
        done = self._sessions.finish(turn, self._prompt, text)
        return done.addCallback(self._record_claim, text)

    def _record_claim(
        self, recorded: Result[None, Fault], text: str
    ) -> "Deferred[Result[None, Fault]]":
        if recorded.is_error():
            return succeed(recorded)
        return self._claim.end(Outcome.COMPLETED, text).addCallback(lambda _: recorded)
