"""Claims of non-repeatable requests: committed before anything is sent, finished after the end.

The claimant's name is unique for each submission. A retried claim command therefore gets the
result of the first one, whereas a second submission of the same request id, at any gateway, gets
what is recorded for the first submission.
"""

import hashlib
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, succeed

from rainsail.control.interface import ControlClient
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.gateway.interface import CallerRequest
from rainsail.gateway.settings import RetrySettings
from rainsail.state.commands import ClaimRequest, ClaimResult, CommandOutcome, FinishRequest

STEP = "gateway.claim"


def content_digest(request: CallerRequest) -> str:
    """Return the hex SHA-256 of the content of a request."""
    digest = hashlib.sha256()
    for part in (request.model, request.adapter, str(request.max_tokens), request.prompt):
        digest.update(part.encode())
        digest.update(b"\0")
    return digest.hexdigest()


class ClaimClient:
    """Claims and finishes non-repeatable requests through control."""

    def __init__(self, control: ControlClient, settings: RetrySettings) -> None:
        self._control = control
        self._settings = settings

    def claim(
        self, request: CallerRequest, claimant: str
    ) -> "Deferred[Result[ClaimResult, Fault]]":
        """Claim a request's id. A fault has the outcome NOT_RUN, because nothing has been sent."""
        command = ClaimRequest(
            request.tenant, request.request_id, content_digest(request), claimant
        )
        done = self._control.propose(command, self._settings.claim_timeout_s)
        return done.addCallback(self._on_claim_reply, request, claimant)

    def _on_claim_reply(
        self, reply: Result[object, Fault], request: CallerRequest, claimant: str
    ) -> Result[ClaimResult, Fault]:
        if reply.is_ok() and isinstance(reply.ok, ClaimResult):
            return Ok(reply.ok)
        if reply.is_ok():
            return Error(Fault(FaultCode.INTERNAL, STEP, "unexpected reply to a claim"))
        cause = reply.error
        if cause.outcome == Outcome.UNKNOWN:
            self.finish(request, claimant, Outcome.NOT_RUN)
        retry_s = cause.retry_after_s or self._settings.claim_timeout_s
        return Error(
            Fault(
                cause.code,
                STEP,
                cause.detail,
                cause.peer,
                Outcome.NOT_RUN,
                None if cause.code == FaultCode.CONFLICT else retry_s,
            )
        )

    def finish(
        self, request: CallerRequest, claimant: str, outcome: Outcome, response: str = ""
    ) -> "Deferred[Result[CommandOutcome, Fault]]":
        """Record the outcome of a claimed request; NOT_RUN releases the claim."""
        command = FinishRequest(request.tenant, request.request_id, claimant, outcome, response)
        return self._control.propose(command, self._settings.claim_timeout_s)


class RequestClaim:
    """The claim of one request; it is claimed and finished at most once."""

    def __init__(self, client: ClaimClient, request: CallerRequest, claimant: str) -> None:
        self._client = client
        self._request = request
        self._claimant = claimant
        self._held = False

    def claim(self) -> "Deferred[Result[ClaimResult, Fault]]":
        """Claim the request's id."""
        return self._client.claim(self._request, self._claimant).addCallback(self._on_claimed)

    def _on_claimed(self, reply: Result[ClaimResult, Fault]) -> Result[ClaimResult, Fault]:
        self._held = reply.is_ok() and reply.ok.granted
        return reply

    def end(self, outcome: Outcome, response: str = "") -> "Deferred[Any]":
        """Finish the claim if it is held; fires when that has succeeded or failed."""
        if not self._held:
            return succeed(None)
        self._held = False
        return self._client.finish(self._request, self._claimant, outcome, response)
