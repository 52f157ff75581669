"""One run of the rig: it takes a site, a seed and a plan, and returns a history and its check."""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace
from functools import partial
from pathlib import Path
from typing import Any

from twisted.internet.defer import Deferred, FirstError, gatherResults

from rainsail.errors import Outcome
from rainsail.experiment.checkers.interface import Violation
from rainsail.experiment.checkers.suite import check_history
from rainsail.experiment.history import (
    AnswerReceived,
    EngineFinished,
    EngineStarted,
    Event,
    FaultEnded,
    FaultInjected,
    FaultsEnded,
    History,
    RequestSent,
    RunEnded,
    history_in_order,
    write_history,
)
from rainsail.experiment.item_counts import count_items
from rainsail.resources.specs import RequestClass
from rainsail.runtime.clock import MonotonicClock, sleep
from rainsail.simulation.site_plan import SITES
from rig.callers import RigCallerTraffic
from rig.evidence import describe_violations
from rig.fleet import NotReached, RigFleet
from rig.http import RigHttpClient
from rig.injector import Injector
from rig.jobs import RigJobTraffic
from rig.layout import SiteLayout
from rig.operators import RigOperatorTraffic
from rig.plan import Lane, RunPlan, lanes
from rig.rotation import KeyRotation
from rig.sessions import SessionTraffic
from rig.traffic import Traffic, Users

COLD_START = "cold_start"
"""The start of all processes counts as a failure: a new leader waits for old leases to expire."""


@dataclass(frozen=True, slots=True)
class RigResult:
    """The result of a run; printed as the command's last line."""

    site: str
    seed: int
    processes: int
    violations: tuple[Violation, ...]
    faults: dict[str, int]
    starts: int
    accepted_items: int
    completed_items: int
    cancelled_items: int
    online_requests: int
    non_repeatable_requests: int
    session_turns: int
    completed_requests: int
    not_run: int
    unknown: int
    changes: int
    configuration_probes: int
    configuration_probes_taken: int
    took_s: float


class RigRun:
    """Starts a site's daemons, applies load and failures, and checks the history."""

    def __init__(self, layout: SiteLayout, seed: int, plan: RunPlan, limit_s: float) -> None:
        from twisted.internet import reactor

        self.history = History()
        self._seed = seed
        self._plan = plan
        self._clock = MonotonicClock(reactor)
        http = RigHttpClient(reactor)
        self.fleet = RigFleet(layout, self._clock, http, limit_s)
        self._users = Users(layout, http, self._clock, self.history, self._draw("users"))
        self._failures: list[str] = []
        self._make_traffic(layout)
        hold = plan.hold
        draw = self._draw("faults")
        self._injector = Injector(self.fleet, self._operators.first, self.history, draw, hold)

    def _draw(self, purpose: str) -> random.Random:
        return random.Random(f"{self.fleet.layout.site}/{self._seed}/{purpose}")

    def _make_traffic(self, layout: SiteLayout) -> None:
        site = SITES[layout.site]()
        mixes = tuple(
            replace(mix, mean_gap_s=mix.mean_gap_s * self._plan.mean_gap_factor)
            for mix in site.callers
        )
        jobs = replace(site.jobs, heap_period_s=self._plan.heap_period_s)
        self._mixes = mixes
        self._callers = RigCallerTraffic(self._users, mixes, self._failed)
        self._jobs = RigJobTraffic(self._users, jobs, self._failed)
        self._operators = RigOperatorTraffic(self._users, self._failed)
        self._rotation = KeyRotation(self._users, self._operators.first, jobs.service, self._failed)
        self._sessions = SessionTraffic(
            self._users, self._operators.first, jobs.service, self._plan.sessions, self._failed
        )

    def _traffic(self) -> tuple[Traffic, ...]:
        return (self._callers, self._jobs, self._operators, self._sessions, self._rotation)

    def _failed(self, failure: Any) -> None:
        """Record a failure of the rig's own clients, which invalidates the run."""
        self._failures.append(failure.getTraceback())

    # --- phases of a run --------------------------------------------------------------

    async def run(self, say: Callable[[str], None]) -> RigResult:
        """Run to the end; the processes are killed in any case."""
        begun_s = self._clock.seconds()
        complete = False
        try:
            await self._set_up(say)
            await self._run_load_and_failures(say)
            await self._settle(say)
            complete = True
        except NotReached as error:
            self._injector.violations.append(Violation("rig.progress", str(error)))
        finally:
            self.fleet.end()
        self.history.record(RunEnded(self._clock.seconds(), complete))
        return self._result(self._clock.seconds() - begun_s)

    async def _set_up(self, say: Callable[[str], None]) -> None:
        """Start every process in an order that the seed determines, then declare the site."""
        self.fleet.prepare()
        daemons = list(self.fleet.daemons.values())
        order = self._draw("order").sample(daemons, len(daemons))
        say("starting " + ", ".join(daemon.name for daemon in order))
        self.history.record(FaultInjected(self._clock.seconds(), COLD_START, "fleet"))
        for daemon in order:
            daemon.start()
        await self.fleet.until_ready(order)
        await self._injector.until_fully_redundant()
        self.history.record(FaultEnded(self._clock.seconds(), COLD_START, "fleet"))
        say("declaring")
        self._operators.watch()
        for each in self.fleet.layout.resources():
            await self._operators.first.declare(each.kind, each.name, each.spec)
        say("waiting for answers")
        await self._answer_everywhere()

    async def _answer_everywhere(self) -> None:
        """Wait until every gateway completes a request of every mix."""
        waits = [
            self.fleet.until(
                f"gateway {number} completes a {mix.name}", partial(self._completes, number, mix)
            )
            for number in range(len(self.fleet.gateways()))
            for mix in self._mixes
        ]
        await _gather(waits)

    async def _completes(self, gateway: int, mix: Any) -> bool:
        planned = self._callers.plan(mix)
        return await self._callers.call(planned, gateway) == Outcome.COMPLETED

    async def _run_load_and_failures(self, say: Callable[[str], None]) -> None:
        traffic = self._traffic()
        for each in traffic:
            each.start()
        await self._run_round(self._plan.opening, float("inf"), say)
        begun_s = self._clock.seconds()
        await _gather([self._run_lane(number, begun_s, say) for number in range(2)])
        for each in traffic:
            each.stop()

    async def _run_lane(self, lane: int, begun_s: float, say: Callable[[str], None]) -> None:
        """Inject one lane's failures, round after round, until the time is over."""
        draw = self._draw(f"lane/{lane}")
        until_s = begun_s + self._plan.failures_s
        again = True
        while again:
            await self._run_round(lanes(self._plan, draw)[lane], until_s, say)
            again = self._clock.seconds() < until_s

    async def _run_round(self, lane: Lane, until_s: float, say: Callable[[str], None]) -> None:
        for failure in lane:
            if self._plan.failures_s and self._clock.seconds() >= until_s:
                return
            say(getattr(failure, "__name__", "failure"))
            await failure(self._injector)

    async def _settle(self, say: Callable[[str], None]) -> None:
        """Wait until all accepted work is finished, and read the results again."""
        say("settling")
        await self.fleet.until_ready(list(self.fleet.daemons.values()))
        await self._injector.until_fully_redundant()
        self.history.record(FaultsEnded(self._clock.seconds()))
        self._jobs.read_again()
        await self.fleet.until("everything accepted is finished", self._settled)
        await self._answer_everywhere()
        self._operators.end()
        await sleep(self._clock, 1.0)

    async def _settled(self) -> bool:
        if self._failures:
            raise RuntimeError(self._failures[0])
        return all(part.settled() for part in self._traffic())

    # --- results --------------------------------------------------------------------

    def _merge(self) -> History:
        """Return the history with the engines' execution records merged in by time."""
        events: list[Event] = list(self.history.events)
        for each in self.fleet.executions():
            place = (each.runner, each.request_id, each.attempt_id)
            if each.ended_s is None:
                batch = "/" in each.request_id
                events.append(EngineStarted(each.started_s, *place, batch))
            else:
                events.append(EngineFinished(each.ended_s, *place))
        return history_in_order(events)

    def _result(self, took_s: float) -> RigResult:
        if self._failures:
            raise RuntimeError(self._failures[0])
        self.history = history = self._merge()
        items = count_items(history)
        answers = history.of_type(AnswerReceived)
        outcomes = Counter(event.outcome for event in answers)
        classes = Counter(event.class_ for event in history.of_type(RequestSent))
        daemons = self.fleet.daemons.values()
        return RigResult(
            site=self.fleet.layout.site,
            seed=self._seed,
            processes=len(daemons),
            violations=(*self._injector.violations, *check_history(history)),
            faults=dict(sorted(self._injector.counts.items())),
            starts=sum(daemon.starts for daemon in daemons),
            accepted_items=items.accepted,
            completed_items=items.completed,
            cancelled_items=items.cancelled,
            online_requests=classes[RequestClass.ONLINE],
            non_repeatable_requests=classes[RequestClass.NON_REPEATABLE],
            session_turns=self._sessions.turns_completed,
            completed_requests=outcomes[Outcome.COMPLETED],
            not_run=outcomes[Outcome.NOT_RUN],
            unknown=outcomes[Outcome.UNKNOWN],
            changes=self._operators.first.changes,
            configuration_probes=self._rotation.probes,
            configuration_probes_taken=self._rotation.taken,
            took_s=round(took_s, 1),
        )

    def evidence(self, result: RigResult) -> list[str]:
        """Return evidence for the violations of a run that has ended."""
        log_folder = self.fleet.log_folder
        return describe_violations(result.violations, self.history, self._users.reads, log_folder)

    def write(self, path: Path) -> None:
        """Write the merged history."""
        write_history(path, self.history)


async def _gather(work: list[Any]) -> None:
    """Run coroutines concurrently; raise the first failure."""
    begun = [Deferred.fromCoroutine(each) for each in work]
    try:
        await gatherResults(begun, consumeErrors=True)
    except FirstError as error:
        error.subFailure.raiseException()


def result_tree(result: RigResult) -> dict[str, Any]:
    """Return a result as the JSON object of the command's last line."""
    return asdict(result)
