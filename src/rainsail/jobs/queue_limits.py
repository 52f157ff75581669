"""Whether a job fits its tenant's limit of waiting tokens on a route."""

from rainsail.errors import Fault, FaultCode
from rainsail.jobs.job_ids import client_id
from rainsail.jobs.job_state import JobState
from rainsail.jobs.messages import SubmitRelayedJob
from rainsail.logs import logger


class QueueLimits:
    """Counts the tokens of accepted jobs, and of those whose acceptance is under way."""

    def __init__(self, state: JobState) -> None:
        self._state = state
        self._proposed: dict[str, SubmitRelayedJob] = {}

    def begin(self, message: SubmitRelayedJob) -> None:
        """Count a job as accepted from when its acceptance is proposed."""
        self._proposed[message.job] = message

    def end(self, job: str) -> None:
        """Count a job by the state alone: its proposal is over, whatever came of it."""
        self._proposed.pop(job, None)

    def refusal(self, message: SubmitRelayedJob) -> Fault | None:
        """Return the fault of a job that does not fit, None when it does.

        The fault promises that the job was not accepted and will not be. That holds although the
        job may have been proposed to a leader before: all that came before this leader's term is
        applied, so its log holds no other proposal of the job.
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
        """Return the tokens that wait already of the same tenant on the same route."""
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
