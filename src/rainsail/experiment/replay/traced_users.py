"""Simulated users that do what a trace says: callers, clients of jobs, operators."""

from collections.abc import Generator
from random import Random
from typing import Any

import xxhash
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.python.failure import Failure

from rainsail.experiment.history import History
from rainsail.experiment.replay.start_gate import StartGate
from rainsail.experiment.trace.prompts import prompt_of
from rainsail.experiment.trace.records import Trace, TracedChange, TracedJob, TracedRequest
from rainsail.gateway.interface import CallerRequest
from rainsail.resources.specs import Kind, ResourceKey, SessionSpec, TenantSpec
from rainsail.runtime.clock import sleep
from rainsail.simulation.actors import job_clients
from rainsail.simulation.actors.callers import CallerTraffic, SimulatedCaller, SimulatedRequest
from rainsail.simulation.actors.job_clients import (
    READ_PERIOD_S,
    READS_AFTER_CANCEL,
    JobMix,
    JobTraffic,
    SimulatedJobClient,
)
from rainsail.simulation.actors.links import UserLink
from rainsail.simulation.actors.operators import POLL_PERIOD_S, OperatorTraffic, SimulatedOperator
from rainsail.simulation.clock import VirtualClock
from rainsail.state.commands import MUST_NOT_EXIST, ItemBody


def home_gateway(origin: str, name: str, gateways: tuple[str, ...]) -> str:
    """Return the gateway of the zone that an arrival came in at, else one chosen by its name."""
    in_zone = f"gateway-{origin}"
    if in_zone in gateways:
        return in_zone
    return gateways[xxhash.xxh64_intdigest(name.encode()) % len(gateways)]


def caller_request(request: TracedRequest) -> CallerRequest:
    """Return a traced request as a gateway takes it."""
    return CallerRequest(
        request_id=request.request_id,
        tenant=request.tenant,
        model=request.service,
        prompt=prompt_of(request.prompt, request.request_id),
        max_tokens=request.max_tokens,
        class_=request.class_,
        session=request.session,
        adapter=request.adapter,
        deadline_s=request.deadline_s,
        seed=request.seed,
    )


def item_bodies(job: TracedJob) -> tuple[ItemBody, ...]:
    """Return a traced job's items as an intake takes them; kept items repeat in turn."""
    return tuple(_item_body(job, index) for index in range(job.item_count))


def _item_body(job: TracedJob, index: int) -> ItemBody:
    item = job.items[index % len(job.items)]
    kept = index < len(job.items)
    custom_id = item.custom_id if kept else f"{item.custom_id}-{index}"
    return ItemBody(custom_id, prompt_of(item.prompt, f"{job.job_key} {index}"), item.max_tokens)


class TracedCallers(CallerTraffic):
    """Starts a caller at each traced request's time."""

    def __init__(
        self,
        trace: Trace,
        gateways: tuple[str, ...],
        link: UserLink,
        history: History,
        gate: StartGate,
    ) -> None:
        super().__init__((), (), gateways, link, history, link.draw)
        self._trace = trace
        self._gate = gate
        self._to_start = len(trace.requests)

    def start(self) -> None:
        """Schedule every request from the moment on at which the fleet is ready."""
        self._gate.when_ready(self._schedule_all)

    def _schedule_all(self) -> None:
        for request in self._trace.requests:
            self._link.clock.callLater(request.at_s, self._start_traced, request)

    def _start_traced(self, request: TracedRequest) -> None:
        self._to_start -= 1
        home = home_gateway(request.origin, request.request_id, self._gateways)
        planned = SimulatedRequest(caller_request(request), request.class_, home)
        caller = SimulatedCaller(planned, self._gateways, self._link, self._history)
        self.callers.append(caller)
        caller.start()

    def settled(self) -> bool:
        """Tell whether every caller has started and has its answer."""
        return super().settled() and not self._to_start


class TracedJobClient(SimulatedJobClient):
    """One traced job: submitted, cancelled when the trace says so, read until finished."""

    def __init__(
        self, job: TracedJob, gateways: tuple[str, ...], link: UserLink, history: History
    ) -> None:
        mix = JobMix(job.service, 0.0, 0, job.item_count, 0, 0, 0.0, job.deadline_s)
        super().__init__(job.job_key, item_bodies(job), mix, gateways, link, history, False)
        self._job = job

    @property
    def _tenant(self) -> str:
        return self._job.tenant

    @inlineCallbacks
    def run(self) -> Generator[Deferred[Any], Any, None]:
        """Submit until accepted, perhaps cancel, then read until the job is finished."""
        while self.accepted is None:
            yield self._submit_once()
        if self._job.cancel_after_s:
            yield sleep(self._link.clock, self._job.cancel_after_s)
            yield self._cancel()
        while not self.finished:
            yield self._read_phase()
            yield sleep(self._link.clock, READ_PERIOD_S)
        for _ in range(READS_AFTER_CANCEL if self._job.cancel_after_s else 0):
            yield self._read_phase()
            yield sleep(self._link.clock, READ_PERIOD_S)
        yield self.read_results()
        self.settled = True


class TracedJobs(JobTraffic):
    """Submits each traced job at its time."""

    def __init__(
        self,
        trace: Trace,
        gateways: tuple[str, ...],
        link: UserLink,
        history: History,
        gate: StartGate,
    ) -> None:
        super().__init__(JobMix("", 0.0, 0, 0, 0, 0, 0.0, 0.0), gateways, link, history, link.draw)
        self._trace = trace
        self._gate = gate

    def start(self) -> None:
        """Schedule every job from the moment on at which the fleet is ready."""
        self._gate.when_ready(self._schedule_all)

    def _schedule_all(self) -> None:
        for job in self._trace.jobs:
            self._link.clock.callLater(job.at_s, self._submit_traced, job)

    def _submit_traced(self, job: TracedJob) -> None:
        first = self._gateways.index(home_gateway(job.origin, job.job_key, self._gateways))
        gateways = self._gateways[first:] + self._gateways[:first]
        client = TracedJobClient(job, gateways, self._link, self._history)
        self.clients.append(client)
        client.run().addErrback(_note_failure)

    def settled(self) -> bool:
        """Tell whether every job was submitted, is finished and has its results read."""
        return len(self.clients) == len(self._trace.jobs) and super().settled()


def _note_failure(failure: Failure) -> None:
    """Let the run fail: a user's own code did."""
    job_clients.FAILURES.append(failure.getTraceback())


class TracedOperators(OperatorTraffic):
    """Declares the traced changes, each upon the revision that its operator has just read."""

    def __init__(
        self,
        trace: Trace,
        first: SimulatedOperator,
        watcher: SimulatedOperator,
        clock: VirtualClock,
        draw: Random,
        gate: StartGate,
    ) -> None:
        super().__init__(first, first, watcher, clock, draw, 1.0)
        self._trace = trace
        self._gate = gate
        self.changes_sent = 0

    def start(self) -> None:
        """Watch what comes into force; act once the fleet is ready."""
        self._clock.callLater(POLL_PERIOD_S, self._watch)
        self._gate.when_ready(self._schedule_all)

    def _schedule_all(self) -> None:
        """Declare the traced sessions and schedule the changes."""
        sessions = {each.session: each for each in self._trace.requests if each.session}
        for name, request in sessions.items():
            spec = SessionSpec(request.tenant, request.service, request.adapter)
            self.first.put(ResourceKey(Kind.SESSION, name), spec, MUST_NOT_EXIST, name)
        for change in self._trace.changes:
            self._clock.callLater(change.at_s, self._declare_traced, change)

    @inlineCallbacks
    def _declare_traced(self, change: TracedChange) -> Generator[Deferred[Any], Any, None]:
        reply = yield self.first.list_resources((change.key.kind,))
        if reply is None:
            return
        found = [each for each in reply.resources if each.key == change.key]
        expected = found[0].revision if found else MUST_NOT_EXIST
        value = change.change_id
        if isinstance(change.spec, TenantSpec):
            value = str(change.spec.weight)
        self.changes_sent += 1
        yield self.first.put(change.key, change.spec, expected, value)
