"""Batch job operations of the operator API, independent of HTTP."""

import dataclasses
import json
from typing import Any

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from rainsail.batch.groups import group_of_job
from rainsail.batch.intake import JobIntake
from rainsail.batch.settings import BatchSettings
from rainsail.control.interface import ControlClient
from rainsail.control.messages import JobsRequest, ResultsReply, ResultsRequest
from rainsail.control.operator_auth import AuthenticatedCaller
from rainsail.control.operator_gate import may_use_tenant
from rainsail.control.resource_json import JsonObject
from rainsail.errors import Fault, FaultCode
from rainsail.state.commands import CancelJob, ItemBody, JobView

STEP = "operator_api.jobs"


class JobBody(BaseModel):
    """The body of ``POST /v1/jobs``; the deadline is in seconds from now."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    job_key: str = Field(min_length=1)
    tenant: str = ""
    service: str = Field(min_length=1)
    deadline_s: float = Field(gt=0)
    adapter: str = ""
    items: tuple[ItemBody, ...] = Field(min_length=1)


class JobEndpoints:
    """Submits, reads and cancels jobs; a tenant's key gives access to that tenant's jobs only."""

    def __init__(
        self,
        client: ControlClient,
        intake: JobIntake,
        batch: BatchSettings,
        wall_clock: Any,
        timeout_s: float,
    ) -> None:
        self._client = client
        self._intake = intake
        self._batch = batch
        self._wall_clock = wall_clock
        self._timeout_s = timeout_s

    async def submit(self, caller: AuthenticatedCaller, body: JsonObject) -> Result[JobView, Fault]:
        """Store and accept a job; resubmitting the same key and content returns the same job."""
        try:
            job = JobBody.model_validate_json(json.dumps(body), strict=True)
        except ValidationError as error:
            first = error.errors()[0]
            where = ".".join(str(part) for part in first["loc"])
            return Error(Fault(FaultCode.INVALID, STEP, f"{where}: {first['msg']}"))
        tenant = job.tenant or caller.tenant
        if not may_use_tenant(caller, tenant):
            return Error(Fault(FaultCode.FORBIDDEN, STEP, f"tenant: not a key of {tenant!r}"))
        deadline_unix_s = self._wall_clock() + job.deadline_s
        return await self._intake.submit(
            tenant, job.job_key, job.service, job.items, deadline_unix_s, job.adapter
        )

    async def read_all(self, caller: AuthenticatedCaller) -> Result[list[JobView], Fault]:
        """Read all jobs that the caller may see, in id order."""
        tenant = "" if caller.operator else caller.tenant
        found: list[JobView] = []
        for group in self._batch.groups:
            reply = await self._client.call(JobsRequest(group, "", tenant), self._timeout_s)
            if reply.is_error():
                return Error(reply.error)
            found += reply.ok.jobs
        return Ok(sorted(found, key=lambda job: job.job_id))

    async def read_one(self, caller: AuthenticatedCaller, job_id: str) -> Result[JobView, Fault]:
        """Read one job; NOT_FOUND also when the caller may not see it."""
        request = JobsRequest(group_of_job(job_id, self._batch.groups), job_id)
        reply = await self._client.call(request, self._timeout_s)
        if reply.is_error():
            return Error(reply.error)
        for job in reply.ok.jobs:
            if may_use_tenant(caller, job.spec.tenant):
                return Ok(job)
        return Error(Fault(FaultCode.NOT_FOUND, STEP, f"no job {job_id!r}"))

    async def results(
        self, caller: AuthenticatedCaller, job_id: str, first_index: int, limit: int
    ) -> Result[ResultsReply, Fault]:
        """Read a page of finished items."""
        job = await self.read_one(caller, job_id)
        if job.is_error():
            return Error(job.error)
        group = group_of_job(job_id, self._batch.groups)
        request = ResultsRequest(group, job_id, first_index, limit)
        return await self._client.call(request, self._timeout_s)

    async def cancel(
        self, caller: AuthenticatedCaller, job_id: str, change_id: str
    ) -> Result[JobView, Fault]:
        """Cancel a job; the operation is idempotent."""
        job = await self.read_one(caller, job_id)
        if job.is_error():
            return job
        group = group_of_job(job_id, self._batch.groups)
        command = CancelJob(job_id, change_id or f"cancel/{job_id}")
        cancelled: Result[Any, Fault] = await self._client.propose(command, self._timeout_s, group)
        return cancelled


def job_to_json(job: JobView) -> JsonObject:
    """Return a job as a JSON object in which its spec's fields and its counts are one level."""
    flat = dataclasses.asdict(job)
    spec = flat.pop("spec")
    return {**spec, **flat}


def results_to_json(reply: ResultsReply) -> JsonObject:
    """Return a page of results as a JSON object."""
    return dataclasses.asdict(reply)
