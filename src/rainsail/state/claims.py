"""Claims on non-repeatable requests: only one gateway may send each request.

The outcome of a claimed request is stored, so that repeated requests get it as their answer. The
``gateway`` of a claim must name a single attempt to claim (for instance gateway incarnation and a
counter): a claim that is re-sent under the same name is granted again, because it may be the same
command after a lost answer. Retention is by count: at-most-once execution holds only for claims
within the windows of the settings.
"""

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, replace

from rainsail.errors import Fault, Outcome
from rainsail.state.commands import ClaimRequest, ClaimResult, Done, FinishRequest
from rainsail.state.faults import conflict, fenced, invalid, not_found
from rainsail.state.settings import StateSettings
from rainsail.wire.codec import wire_record


@wire_record("Claim")
@dataclass(frozen=True, slots=True)
class Claim:
    """One claimed request; ``finished`` is set once its outcome is recorded."""

    tenant: str
    request_id: str
    content_digest: str
    gateway: str
    finished: bool = False
    outcome: Outcome = Outcome.UNKNOWN
    response: str = ""


ClaimKey = tuple[str, str]


class ClaimStore:
    """Bounded windows of unfinished claims, by claim order, and finished ones, by finish order."""

    def __init__(self, settings: StateSettings) -> None:
        self._settings = settings
        self._open: OrderedDict[ClaimKey, Claim] = OrderedDict()
        self._finished: OrderedDict[ClaimKey, Claim] = OrderedDict()

    def claim(self, command: ClaimRequest) -> ClaimResult | Fault:
        """Grant the request to its first claimer; return its known outcome to others."""
        if not command.request_id:
            return invalid("claim_request", "a claim needs a request id")
        key = (command.tenant, command.request_id)
        known = self._open.get(key) or self._finished.get(key)
        if known is None:
            self._add_open(Claim(*key, command.content_digest, command.gateway))
            return ClaimResult(True, command.gateway, Outcome.UNKNOWN)
        if known.content_digest != command.content_digest:
            return conflict("claim_request", f"{command.request_id!r} was another request")
        granted = not known.finished and known.gateway == command.gateway
        return ClaimResult(granted, known.gateway, known.outcome, known.response)

    def finish(self, command: FinishRequest) -> Done | Fault:
        """Record the outcome of a claimed request; NOT_RUN releases the claim."""
        key = (command.tenant, command.request_id)
        known = self._open.get(key) or self._finished.get(key)
        if known is None:
            return self._finish_unclaimed(command)
        if known.gateway != command.gateway:
            return fenced("finish_request", f"claimed by {known.gateway!r}")
        if known.finished:
            return self._finish_again(known, command)
        del self._open[key]
        if command.outcome is not Outcome.NOT_RUN:
            ended = replace(
                known, finished=True, outcome=command.outcome, response=command.response
            )
            self._add_finished(ended)
        return Done()

    def _finish_unclaimed(self, command: FinishRequest) -> Done | Fault:
        if command.outcome is Outcome.NOT_RUN:
            return Done()
        return not_found("finish_request", f"{command.request_id!r} is not claimed")

    def _finish_again(self, known: Claim, command: FinishRequest) -> Done | Fault:
        if (known.outcome, known.response) == (command.outcome, command.response):
            return Done()
        return conflict("finish_request", f"{command.request_id!r} ended as {known.outcome}")

    def _add_open(self, claim: Claim) -> None:
        self._open[claim.tenant, claim.request_id] = claim
        if len(self._open) > self._settings.open_claim_window_count:
            self._open.popitem(last=False)

    def _add_finished(self, claim: Claim) -> None:
        self._finished[claim.tenant, claim.request_id] = claim
        if len(self._finished) > self._settings.finished_claim_window_count:
            self._finished.popitem(last=False)

    def records(self) -> Iterator[Claim]:
        """Yield all claims for a snapshot."""
        yield from self._open.values()
        yield from self._finished.values()

    def restore(self, claim: Claim) -> None:
        """Restore one record of a snapshot."""
        if claim.finished:
            self._add_finished(claim)
        else:
            self._add_open(claim)
