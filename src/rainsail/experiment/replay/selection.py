"""Which requests and jobs an outcome is stated of."""

from dataclasses import dataclass

from rainsail.experiment.replay.observations import (
    JobObservation,
    Observations,
    RequestObservation,
)
from rainsail.experiment.replay.outcomes import Selection
from rainsail.experiment.trace.records import TracedJob, TracedRequest
from rainsail.resources.specs import RequestClass


@dataclass(frozen=True, slots=True)
class Selected:
    """What was selected, in order of arrival; ``missing`` are named ids without an entry."""

    requests: tuple[RequestObservation, ...]
    jobs: tuple[JobObservation, ...]
    missing: tuple[str, ...]


def select(selection: Selection, observed: Observations) -> Selected:
    """Return what matches every key of a selection.

    The class ``batch`` stands for the jobs that nobody cancels in the trace; a cancelled one is
    selected by its key only.
    """
    missing = [name for name in selection.requests if name not in observed.requests]
    missing += [name for name in selection.jobs if name not in observed.jobs]
    requests = [o for o in observed.requests.values() if _takes_request(selection, o.request)]
    jobs = [o for o in observed.jobs.values() if _takes_job(selection, o.job)]
    return Selected(tuple(requests), tuple(jobs), tuple(missing))


def _takes_request(selection: Selection, request: TracedRequest) -> bool:
    if selection.jobs or (selection.requests and request.request_id not in selection.requests):
        return False
    if selection.class_ is not None and request.class_ != selection.class_:
        return False
    return _takes_caller(selection, request.service, request.tenant)


def _takes_job(selection: Selection, job: TracedJob) -> bool:
    if selection.requests or (selection.jobs and job.job_key not in selection.jobs):
        return False
    if not selection.jobs and (selection.class_ != RequestClass.BATCH or job.cancel_after_s):
        return False
    return _takes_caller(selection, job.service, job.tenant)


def _takes_caller(selection: Selection, service: str, tenant: str) -> bool:
    same_service = selection.service in (None, service)
    return same_service and selection.tenant in (None, tenant)
