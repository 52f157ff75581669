"""Records a complete answer before its caller gets the end: session turn first, then claim."""

from expression import Ok, Result
from twisted.internet.defer import Deferred, succeed

from rainsail.errors import Fault, Outcome
from rainsail.gateway.claims import RequestClaim
from rainsail.gateway.interface import CallerRequest
from rainsail.gateway.session_order import SessionTurn
from rainsail.gateway.sessions import SessionKeeper
from rainsail.state.commands import Turn


class AnswerRecorder:
    """Records the answer of one request. Requests without session and claim record nothing."""

    def __init__(self, sessions: SessionKeeper, claim: RequestClaim, caller: CallerRequest) -> None:
        self._sessions = sessions
        self._claim = claim
        self._caller = caller

    def record(self, turn: SessionTurn | None, text: str) -> "Deferred[Result[None, Fault]]":
        """Record the answer.

        A fault means that the session's turn was not recorded; a failure to finish the claim is
        ignored.
        """
        if turn is None:
            return self._record_claim(Ok(None), text)
        exchange = Turn(self._caller.prompt, text, self._caller.request_id)
        done = self._sessions.finish(turn, exchange)
        return done.addCallback(self._record_claim, text)

    def _record_claim(
        self, recorded: Result[None, Fault], text: str
    ) -> "Deferred[Result[None, Fault]]":
        if recorded.is_error():
            return succeed(recorded)
        return self._claim.end(Outcome.COMPLETED, text).addCallback(lambda _: recorded)
