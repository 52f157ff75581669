"""The course of the demonstration: traffic, a drain, a replica's stop and start, the reading."""

from collections.abc import Generator
from dataclasses import dataclass
from random import Random
from typing import Any

from expression import Ok, Result
from twisted.internet.defer import Deferred, gatherResults, inlineCallbacks, succeed

from rainsail.assembly.embedded import EmbeddedFleet
from rainsail.assembly.process import Process
from rainsail.demo.batch_clients import DemoJobClient, GatewaysInTurn
from rainsail.demo.callers import CallerSeams, OnlineCaller, SessionCaller
from rainsail.demo.journal import AcceptedJournal
from rainsail.demo.operator import Operator
from rainsail.demo.outcome import DemoOutcome, judge
from rainsail.demo.site import (
    REPORTS,
    SITE,
    TENANTS,
    DemoSite,
    declared_resources,
    session_resource,
)
from rainsail.demo.traffic_plan import (
    BURST_PERIOD_S,
    BURST_QUESTIONS,
    DOCUMENT_GAP_S,
    FIRST_HEAP_S,
    HEAP_PERIOD_S,
    PING_GAP_S,
    QUESTION_GAP_S,
    SESSION_GAP_S,
    PlannedRequest,
    TrafficPlan,
)
from rainsail.errors import Fault
from rainsail.experiment.engine_events import with_executions
from rainsail.experiment.history import DrainDeclared, FaultsEnded, History, RunEnded
from rainsail.experiment.http_calls import HttpCaller
from rainsail.runtime.clock import MonotonicClock, sleep

DRAINED_RUNNER = f"{REPORTS}-2"
DRAIN_AT = 0.35
REPLICA_STOP_AT = 0.5
REPLICA_START_AT = 0.7
"""Shares of the traffic's time."""
SETTLE_LIMIT_S = 30.0
"""After the traffic's end, what is still open counts as lost or broken."""
START_LIMIT_S = 40.0
STARTING = "starting the fleet"
DONE = "done"


@dataclass(frozen=True, slots=True)
class DemoOptions:
    """How long users start new work, and the seed of everything drawn."""

    traffic_s: float
    seed: int


class DemoCourse:
    """Runs beside the fleet as a role of its process, and stops the process at the end."""

    name = "demo"

    def __init__(
        self,
        site: DemoSite,
        fleet: EmbeddedFleet,
        process: Process,
        journal: AcceptedJournal,
        options: DemoOptions,
        reactor: Any,
    ) -> None:
        self.history = History()
        self.clock = MonotonicClock(reactor)
        self.fleet = fleet
        self.journal = journal
        self.clients: list[DemoJobClient] = []
        self.phase = STARTING
        self.stopped_replica = ""
        self.replica_down = False
        self.drained_runner = ""
        self.failure = ""
        self._process = process
        self._options = options
        draw = Random(f"{options.seed}/{journal.run}")
        self._http = HttpCaller(reactor)
        self._seams = CallerSeams(
            self._http, self.clock, draw, self.history, site.caller_apis, site.tenant_keys
        )
        self._site = site
        self._plan = TrafficPlan(journal.run, draw)
        self._operator = Operator(site, self._seams)
        self._gateways = GatewaysInTurn(self._seams)
        self._open: list[Deferred[Any]] = []
        self._traffic_on = False

    # --- a role of the process ------------------------------------------------------------

    def start(self) -> "Deferred[Result[None, Fault]]":
        """Begin; the process goes on starting."""
        course = self._run()
        course.addErrback(self._failed)
        course.addCallback(lambda _: self._process.stop())
        return succeed(Ok(None))

    def planned_stop(self) -> "Deferred[None]":
        """Stop the traffic and close the users' connections."""
        self._traffic_on = False
        return self._http.close()

    def _failed(self, failure: Any) -> None:
        self.failure = failure.getErrorMessage()
        if failure.check(TimeoutError) is None:
            self.failure = failure.getTraceback()
        elif self.phase == STARTING:
            self.failure += f"; waiting for {self._operator.waiting_for}"

    # --- the course -----------------------------------------------------------------------

    @inlineCallbacks
    def _run(self) -> Generator[Deferred[Any], Any, None]:
        yield self._limited(self._prepare(), START_LIMIT_S, "the fleet is not ready")
        self.phase = "traffic"
        self._traffic_on = True
        self._follow_earlier_jobs()
        self._start_traffic()
        yield gatherResults([self._drain(), self._stop_and_start_replica(), self._traffic_time()])
        self._traffic_on = False
        self.phase = "finishing"
        yield self._settle()
        self.history.record(FaultsEnded(self.clock.seconds()))
        self.phase = "reading every result again"
        yield self._read_again()
        self.history.record(RunEnded(self.clock.seconds(), True))
        self.phase = DONE

    @inlineCallbacks
    def _prepare(self) -> Generator[Deferred[Any], Any, None]:
        for name, tenant in self._sessions():
            yield self._operator.put(session_resource(name, tenant))
        for resource in declared_resources(self._site):
            yield self._operator.put(resource)
        yield self._operator.wait_until_ready()

    def _sessions(self) -> list[tuple[str, str]]:
        count = max(1, int(self._options.traffic_s / SESSION_GAP_S) - 1)
        names = self._plan.session_names(count)
        return [(name, TENANTS[number % len(TENANTS)]) for number, name in enumerate(names)]

    def _limited(self, course: "Deferred[Any]", limit_s: float, what: str) -> "Deferred[Any]":
        def timed_out(_: Any, limit_s: float) -> None:
            raise TimeoutError(f"{what} within {limit_s:g} s")

        return course.addTimeout(limit_s, self.clock, timed_out)  # type: ignore[arg-type]

    # --- traffic --------------------------------------------------------------------------

    def _start_traffic(self) -> None:
        self._keep_asking(QUESTION_GAP_S, self._plan.question)
        self._keep_asking(DOCUMENT_GAP_S, self._plan.document)
        self._keep_asking(PING_GAP_S, self._plan.ping)
        self.clock.callLater(BURST_PERIOD_S / 2, self._burst)
        self.clock.callLater(FIRST_HEAP_S, self._heap)
        for number, (name, tenant) in enumerate(self._sessions()):
            self.clock.callLater(number * SESSION_GAP_S, self._session, name, tenant)

    def _keep_asking(self, mean_gap_s: float, plan: Any) -> None:
        gap_s = self._seams.draw.expovariate(1 / mean_gap_s)
        self.clock.callLater(gap_s, self._ask_and_go_on, mean_gap_s, plan)

    def _ask_and_go_on(self, mean_gap_s: float, plan: Any) -> None:
        if not self._traffic_on:
            return
        self._ask(plan())
        self._keep_asking(mean_gap_s, plan)

    def _ask(self, request: PlannedRequest) -> None:
        self._watch(OnlineCaller(self._seams, request).run())

    def _session(self, name: str, tenant: str) -> None:
        if self._traffic_on:
            self._watch(SessionCaller(self._seams, self._plan, name, tenant).run())

    def _burst(self) -> None:
        if not self._traffic_on:
            return
        for _ in range(BURST_QUESTIONS):
            self._ask(self._plan.question())
        self.clock.callLater(BURST_PERIOD_S, self._burst)

    def _heap(self) -> None:
        if not self._traffic_on:
            return
        for planned in self._plan.heap():
            client = DemoJobClient(self._seams, self._gateways)
            self.clients.append(client)
            self._watch(client.run(planned, self.journal))
        self.clock.callLater(HEAP_PERIOD_S, self._heap)

    def _follow_earlier_jobs(self) -> None:
        for noted in self.journal.earlier_jobs:
            client = DemoJobClient(self._seams, self._gateways)
            client.count(noted)
            self.clients.append(client)
            self._watch(client.follow())

    def _watch(self, course: "Deferred[Any]") -> None:
        """Keep an open course until it ends; a crash of a user's own code fails the run."""
        self._open.append(course)
        course.addErrback(self._failed)
        course.addCallback(lambda _: self._open.remove(course))

    # --- what happens mid-way ---------------------------------------------------------------

    def _traffic_time(self) -> "Deferred[None]":
        return sleep(self.clock, self._options.traffic_s)

    @inlineCallbacks
    def _drain(self) -> Generator[Deferred[Any], Any, None]:
        yield sleep(self.clock, self._options.traffic_s * DRAIN_AT)
        yield self._operator.drain(DRAINED_RUNNER)
        self.drained_runner = DRAINED_RUNNER
        self.history.record(DrainDeclared(self.clock.seconds(), DRAINED_RUNNER, True))

    @inlineCallbacks
    def _stop_and_start_replica(self) -> Generator[Deferred[Any], Any, None]:
        traffic_s = self._options.traffic_s
        yield sleep(self.clock, traffic_s * REPLICA_STOP_AT)
        name = yield self._operator.leader()
        self.stopped_replica = name
        self.replica_down = True
        role = self.fleet.replicas[name]
        self._process.roles.remove(role)
        yield role.abrupt_stop()
        yield sleep(self.clock, traffic_s * (REPLICA_START_AT - REPLICA_STOP_AT))
        again = self.fleet.make_replica(name)
        again.node.on_fatal(self._process.fail)
        self.fleet.replicas[name] = again
        self._process.roles.append(again)
        started = yield again.start()
        if started.is_error():
            raise RuntimeError(str(started.error))
        self.replica_down = False

    # --- the end --------------------------------------------------------------------------

    @inlineCallbacks
    def _settle(self) -> Generator[Deferred[Any], Any, None]:
        limit_s = self.clock.seconds() + SETTLE_LIMIT_S
        while self._open and self.clock.seconds() < limit_s:
            yield sleep(self.clock, 0.1)

    @inlineCallbacks
    def _read_again(self) -> Generator[Deferred[Any], Any, None]:
        """Read every job once more; what was lost since the first reading shows."""
        readings = [client.read_results() for client in self.clients if client.finished]
        reading = gatherResults(readings)
        yield self._limited(reading, SETTLE_LIMIT_S, "results could not be read")

    def merged_history(self) -> History:
        """Return what users saw with the engines' executions put in at their times."""
        return with_executions(self.history, self.fleet.emulator.engines.values())

    def outcome(self, history: History) -> DemoOutcome:
        """Judge the run by its merged history."""
        earlier = frozenset(job.job_id for job in self.journal.earlier_jobs)
        return judge(history, SITE, self.journal.run, earlier, self.stopped_replica)
