"""A gateway's core and intake with a recorder in front of them."""

from typing import Any

from twisted.internet.defer import Deferred

from rainsail.experiment.trace.recorder import TraceRecorder
from rainsail.gateway.interface import CallerRequest, Gateway, RequestHandle, ResponseSink
from rainsail.gateway.openai.job_intake import Intake
from rainsail.state.commands import ItemBody


class RecordingGateway:
    """Notes each request and hands it on; a ``Gateway``."""

    def __init__(self, core: Gateway, recorder: TraceRecorder) -> None:
        self._core = core
        self._recorder = recorder

    def submit(self, request: CallerRequest, sink: ResponseSink) -> RequestHandle:
        """Start a request."""
        self._recorder.request(request)
        return self._core.submit(request, sink)


class RecordingIntake:
    """Notes each job and each cancel and hands it on; an ``Intake``."""

    def __init__(self, intake: Intake, recorder: TraceRecorder) -> None:
        self._intake = intake
        self._recorder = recorder
        self.job = intake.job
        self.jobs = intake.jobs
        self.results = intake.results

    def submit(
        self,
        tenant: str,
        job_key: str,
        service: str,
        items: tuple[ItemBody, ...],
        deadline_unix_s: float,
        adapter: str = "",
    ) -> "Deferred[Any]":
        """Store a job and accept it."""
        self._recorder.job(tenant, job_key, service, items, deadline_unix_s, adapter)
        return self._intake.submit(tenant, job_key, service, items, deadline_unix_s, adapter)

    def cancel(self, tenant: str, job_id: str) -> "Deferred[Any]":
        """Cancel a job."""
        return self._intake.cancel(tenant, job_id).addCallback(self._recorder.cancelled)
