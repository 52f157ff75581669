"""Replay against a simulated fleet of the trace's site, on the virtual clock."""

import dataclasses
from collections.abc import Callable
from random import Random

from expression import Error, Ok, Result

from rainsail.errors import Fault, FaultCode
from rainsail.experiment.replay.judge import judge_all
from rainsail.experiment.replay.observations import observe
from rainsail.experiment.replay.outcomes import OutcomesFile
from rainsail.experiment.replay.report import Replayed
from rainsail.experiment.replay.start_gate import StartGate
from rainsail.experiment.replay.traced_users import TracedCallers, TracedJobs, TracedOperators
from rainsail.experiment.trace.records import Trace, TracedJob, TracedRequest
from rainsail.simulation.fault_plan import FaultPlan
from rainsail.simulation.run import TRAFFIC_AT_S, SimulationRun
from rainsail.simulation.site_plan import SITES, SitePlan

STEP = "replay.simulated"
AGAINST = "simulated"
AFTER_LAST_ARRIVAL_S = 10.0
"""Virtual time after the trace's end in which requests that arrived last are answered."""
BATCH_TENANT = "tenant-batch"
"""Declared by every simulated run; a trace may use it too."""


def replay_simulated(
    trace: Trace,
    outcomes: OutcomesFile,
    seed: int,
    plan: FaultPlan | None = None,
    progress: Callable[[float], None] = lambda seconds: None,
) -> Result[Replayed, Fault]:
    """Run the trace under a fault plan and judge it; ``progress`` hears virtual seconds done.

    ``seed`` draws the network and the engines; the traffic is the trace's.
    """
    site = _site_of(trace)
    if site.is_error():
        return Error(site.error)
    run = SimulationRun(site.ok, seed, duration_s(trace) / 60.0)
    gate = StartGate(run.fleet)
    operators = _install_users(run, trace, gate)
    result = run.run(plan or FaultPlan(), progress)
    observed = observe(trace, run.history, gate.opened_s, 1.0, True)
    return Ok(
        Replayed(
            trace,
            AGAINST,
            run.history,
            tuple(judge_all(outcomes, observed)),
            result.violations,
            operators.changes_sent,
        )
    )


def duration_s(trace: Trace) -> float:
    """Return the virtual seconds of a replay, without the time to settle."""
    return TRAFFIC_AT_S + trace.origin.duration_s + AFTER_LAST_ARRIVAL_S


def _site_of(trace: Trace) -> Result[SitePlan, Fault]:
    make = SITES.get(trace.origin.site)
    if make is None:
        detail = f"site: expected one of {', '.join(SITES)}, got {trace.origin.site!r}"
        return Error(Fault(FaultCode.INVALID, STEP, detail))
    site = make()
    known = [plan.service for plan in site.runners]
    arrivals: list[TracedRequest | TracedJob] = [*trace.requests, *trace.jobs]
    for entry in arrivals:
        if entry.service not in known:
            detail = f"service {entry.service!r} is none of {site.name}: {', '.join(known)}"
            return Error(Fault(FaultCode.INVALID, STEP, detail))
    named = dict.fromkeys(entry.tenant for entry in arrivals)
    tenants = tuple(tenant for tenant in named if tenant != BATCH_TENANT)
    return Ok(dataclasses.replace(site, tenants=tenants))


def _install_users(run: SimulationRun, trace: Trace, gate: StartGate) -> TracedOperators:
    fleet = run.fleet
    gateways = tuple(fleet.gateways)
    fleet.callers = TracedCallers(trace, gateways, fleet.user_link("callers"), fleet.history, gate)
    fleet.jobs = TracedJobs(trace, gateways, fleet.user_link("jobs"), fleet.history, gate)
    first, watcher = fleet.operators.first, fleet.operators.watcher
    operators = TracedOperators(trace, first, watcher, fleet.clock, Random(0), gate)
    fleet.operators = operators
    return operators
