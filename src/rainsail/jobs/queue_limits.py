"""Admission of jobs by the tenant's limit of waiting tokens on a route."""

from rainsail.errors import Fault, FaultCode
from rainsail.jobs.job_ids import client_id
from rainsail.jobs.job_state import JobState
from rainsail.jobs.messages import SubmitRelayedJob
from rainsail.logs import logger


class QueueLimits:
    """Counts the waiting tokens of accepted jobs and of pending proposals."""

    def __init__(self, state: JobState) -> None:
        self._state = state
        self._proposed: dict[str, SubmitRelayedJob] = {}

    def begin(self, message: SubmitRelayedJob) -> None:
        """Count a job from the moment that its acceptance is proposed."""
        self._proposed[message.job] = message

    def end(self, job: str) -> None:
        """Stop counting a proposal that has ended; from now on the replicated state counts."""
        self._proposed.pop(job, None)

    def refusal(self, message: SubmitRelayedJob) -> Fault | None:
        """Return the fault of a job that exceeds the limit, None if it fits.

        The fault guarantees that the job was not accepted and will not be. This holds even if the
        job was proposed to an earlier leader: this leader has applied all entries from before its
        term, so its log has no other proposal of the job.
        """
        limit = message.limit
        if not limit.tokens or message.job in self._proposed:
            return None
        waiting = self._waiting_tokens(message)
        asked = _tokens(message)
        if waiting + asked <= limit.tokens:
            return None
        job = client_id(message.tenant, message.job)
        log = logger.bind(job=job, tenant=message.tenant, waiting=waiting, limit=limit.tokens)
        log.info("job_over_limit")
        detail = f"{waiting} tokens wait, {asked} more don't fit {limit.tokens}"
        return Fault(FaultCode.OVER_LIMIT, "jobs.submit", detail)

    def _waiting_tokens(self, message: SubmitRelayedJob) -> int:
        """Return the tokens that already wait for the same tenant on the same route."""
        prefix = message.limit.prefix
        proposed = sum(
            _tokens(each)
            for each in self._proposed.values()
            if (each.tenant, each.host) == (message.tenant, message.host)
            and each.path.startswith(prefix)
        )
        return proposed + self._state.waiting_tokens(message.tenant, message.host, prefix)


def _tokens(message: SubmitRelayedJob) -> int:
    return sum(item.tokens for item in message.items)
