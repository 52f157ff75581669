"""Submits callers' jobs to the ledger, and reads and cancels them.

A job is accepted once it is sealed. Its id is derived from the tenant and the job key, so a client
that repeats a submission after a lost answer, through any gateway, continues the same job.
"""

import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, DeferredSemaphore

from rainsail.batch.content import ContentDigest, item_ranges
from rainsail.batch.groups import group_of_job, job_id_of
from rainsail.batch.settings import BatchSettings
from rainsail.control.interface import ControlClient
from rainsail.control.messages import JobsReply, JobsRequest, ResultsReply, ResultsRequest
from rainsail.errors import Fault, FaultCode
from rainsail.resources.specs import Kind, Resource, ResourceKey, TenantSpec
from rainsail.runtime.clock import Clock, sleep
from rainsail.state.commands import (
    AddItems,
    CancelJob,
    Command,
    GroupId,
    ItemBody,
    JobPhase,
    JobSpec,
    JobView,
    OpenJob,
    SealJob,
)
from rainsail.state.ledger_commands import DEFAULT_TENANT_WEIGHT

RETRIED_CODES = (
    FaultCode.TIMEOUT,
    FaultCode.UNAVAILABLE,
    FaultCode.OVERLOADED,
    FaultCode.NOT_LEADER,
)
"""Faults after which the intake retries a ledger command; all its commands are idempotent."""

SLICE_ITEMS = 1000
"""Items checked in one go; other work of the process runs between two slices."""
SLICE_PAUSE_S = 0.001


class JobIntake:
    """Translates callers' operations on jobs into ledger commands and queries."""

    def __init__(
        self,
        control: ControlClient,
        clock: Clock,
        random: random.Random,
        settings: BatchSettings,
        wall_clock: Callable[[], float],
        resource_of: Callable[[ResourceKey], Resource | None] = lambda key: None,
    ) -> None:
        self._control = control
        self._clock = clock
        self._random = random
        self._settings = settings
        self._wall_clock = wall_clock
        self._resource_of = resource_of
        self._submissions = DeferredSemaphore(settings.concurrent_submissions)

    def submit(
        self,
        tenant: str,
        job_key: str,
        service: str,
        items: tuple[ItemBody, ...],
        deadline_unix_s: float,
        adapter: str = "",
    ) -> "Deferred[Result[JobView, Fault]]":
        """Store a job and accept it.

        The fault is CONFLICT if the tenant has used the key with other content. After any other
        fault the call may be repeated, and continues where the first one ended.
        """
        refusal = self._refusal(job_key, items, deadline_unix_s)
        if refusal is not None:
            return Deferred.fromCoroutine(_answer(Error(refusal)))
        spec = JobSpec(
            job_key=job_key,
            tenant=tenant,
            service=service,
            item_count=len(items),
            content_digest="",
            deadline_unix_s=deadline_unix_s,
            adapter=adapter,
            tenant_weight=self._tenant_weight(tenant),
        )
        return self._submissions.run(self._start_store, spec, items)

    def _tenant_weight(self, tenant: str) -> float:
        resource = self._resource_of(ResourceKey(Kind.TENANT, tenant))
        spec = None if resource is None else resource.spec
        return spec.weight if isinstance(spec, TenantSpec) else DEFAULT_TENANT_WEIGHT

    def _refusal(
        self, job_key: str, items: tuple[ItemBody, ...], deadline_unix_s: float
    ) -> Fault | None:
        if not job_key:
            return _invalid("the job key is empty")
        if not items:
            return _invalid("the job has no items")
        if len(items) > self._settings.max_job_items:
            limit = self._settings.max_job_items
            return Fault(FaultCode.TOO_LARGE, "batch.intake", f"more than {limit} items")
        if deadline_unix_s <= self._wall_clock():
            return _invalid("the deadline has passed")
        return None

    def _start_store(
        self, spec: JobSpec, items: tuple[ItemBody, ...]
    ) -> "Deferred[Result[JobView, Fault]]":
        return Deferred.fromCoroutine(self._check_and_store(spec, items))

    async def _check_and_store(
        self, spec: JobSpec, items: tuple[ItemBody, ...]
    ) -> "Result[JobView, Fault]":
        digest = await self._checked_digest(spec, items)
        if digest.is_error():
            return Error(digest.error)
        return await self._store(replace(spec, content_digest=digest.ok), items)

    async def _checked_digest(
        self, spec: JobSpec, items: tuple[ItemBody, ...]
    ) -> "Result[str, Fault]":
        """Validate all items, one slice at a time, and return the digest of the content."""
        digest = ContentDigest(spec.service, spec.adapter)
        custom_ids: set[str] = set()
        for start in range(0, len(items), SLICE_ITEMS):
            if start:
                await sleep(self._clock, SLICE_PAUSE_S)
            part = items[start : start + SLICE_ITEMS]
            if any(item.max_tokens <= 0 for item in part):
                return Error(_invalid("an item's max_tokens is not positive"))
            custom_ids.update(item.custom_id for item in part)
            digest.add(part)
        if len(custom_ids) < len(items):
            return Error(_invalid("two items have the same custom id"))
        return Ok(digest.hexdigest())

    async def _store(self, spec: JobSpec, items: tuple[ItemBody, ...]) -> "Result[JobView, Fault]":
        job_id = job_id_of(spec.tenant, spec.job_key)
        group = group_of_job(job_id, self._settings.groups)
        opened = await self._propose(OpenJob(job_id, spec), group)
        if opened.is_error():
            return Error(opened.error)
        view = opened.ok
        if isinstance(view, JobView):
            job_id = view.job_id
            if view.phase is not JobPhase.OPEN:
                return Ok(view)
        for first_index, part in item_ranges(
            items, self._settings.range_bytes, self._settings.range_items
        ):
            added = await self._propose(AddItems(job_id, first_index, part), group)
            if added.is_error():
                return Error(added.error)
        sealed = await self._propose(SealJob(job_id), group)
        if sealed.is_error():
            return Error(sealed.error)
        if isinstance(sealed.ok, JobView):
            return Ok(sealed.ok)
        return await self._read_job(spec.tenant, job_id)

    async def _propose(self, command: Command, group: GroupId) -> "Result[Any, Fault]":
        """Propose an idempotent command; retry it after transient faults."""
        attempt = 1
        while True:
            proposed: Result[Any, Fault] = await self._control.propose(
                command, self._settings.command_timeout_s, group
            )
            if proposed.is_ok() or proposed.error.code not in RETRIED_CODES:
                return proposed
            if attempt >= self._settings.submit_attempts:
                return proposed
            attempt += 1
            await sleep(self._clock, self._retry_delay_s(proposed.error))

    def _retry_delay_s(self, fault: Fault) -> float:
        base_s = fault.retry_after_s or self._settings.retry_delay_s
        return base_s * self._random.uniform(0.5, 1.5)

    def job(self, tenant: str, job_id: str) -> "Deferred[Result[JobView, Fault]]":
        """Read one job; NOT_FOUND also if it belongs to another tenant."""
        return Deferred.fromCoroutine(self._read_job(tenant, job_id))

    async def _read_job(self, tenant: str, job_id: str) -> "Result[JobView, Fault]":
        group = group_of_job(job_id, self._settings.groups)
        reply: Result[JobsReply, Fault] = await self._control.call(
            JobsRequest(group, job_id, tenant), self._settings.command_timeout_s
        )
        if reply.is_error():
            return Error(reply.error)
        for view in reply.ok.jobs:
            if view.job_id == job_id and view.spec.tenant == tenant:
                return Ok(view)
        return Error(Fault(FaultCode.NOT_FOUND, "batch.intake", f"no job {job_id}"))

    def jobs(self, tenant: str) -> "Deferred[Result[tuple[JobView, ...], Fault]]":
        """Read all jobs of a tenant from all groups, in order of id."""
        return Deferred.fromCoroutine(self._read_jobs(tenant))

    async def _read_jobs(self, tenant: str) -> "Result[tuple[JobView, ...], Fault]":
        views: list[JobView] = []
        for group in self._settings.groups:
            reply: Result[JobsReply, Fault] = await self._control.call(
                JobsRequest(group, "", tenant), self._settings.command_timeout_s
            )
            if reply.is_error():
                return Error(reply.error)
            views.extend(view for view in reply.ok.jobs if view.spec.tenant == tenant)
        return Ok(tuple(sorted(views, key=lambda view: view.job_id)))

    def cancel(self, tenant: str, job_id: str) -> "Deferred[Result[JobView, Fault]]":
        """Cancel a job: its leases are revoked, and engines are ordered to stop."""
        return Deferred.fromCoroutine(self._cancel(tenant, job_id))

    async def _cancel(self, tenant: str, job_id: str) -> "Result[JobView, Fault]":
        found = await self._read_job(tenant, job_id)
        if found.is_error():
            return found
        change_id = f"cancel-{job_id}-{self._random.getrandbits(64):016x}"
        group = group_of_job(job_id, self._settings.groups)
        cancelled = await self._propose(CancelJob(job_id, change_id), group)
        if cancelled.is_error():
            return Error(cancelled.error)
        if isinstance(cancelled.ok, JobView):
            return Ok(cancelled.ok)
        return await self._read_job(tenant, job_id)

    def results(
        self, tenant: str, job_id: str, first: int, limit: int
    ) -> "Deferred[Result[ResultsReply, Fault]]":
        """Read a page of finished items in order of index, from index ``first`` on."""
        return Deferred.fromCoroutine(self._read_results(tenant, job_id, first, limit))

    async def _read_results(
        self, tenant: str, job_id: str, first: int, limit: int
    ) -> "Result[ResultsReply, Fault]":
        found = await self._read_job(tenant, job_id)
        if found.is_error():
            return Error(found.error)
        group = group_of_job(job_id, self._settings.groups)
        reply: Result[ResultsReply, Fault] = await self._control.call(
            ResultsRequest(group, job_id, first, limit), self._settings.command_timeout_s
        )
        return reply


async def _answer(result: "Result[JobView, Fault]") -> "Result[JobView, Fault]":
    return result


def _invalid(detail: str) -> Fault:
    return Fault(FaultCode.INVALID, "batch.intake", detail)
