"""Checks of the gateway's invariants, and the defects that each check must detect."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from features.support.gateway import GatewayFleet

from rainsail.errors import Outcome
from rainsail.gateway import attempts, drain, request, retry, runner_state
from rainsail.resources.specs import Kind, RequestClass, ResourceKey


@dataclass(frozen=True)
class Defect:
    """A defect: ``module.name`` is replaced by ``broken``."""

    module: Any
    name: str
    broken: Callable[..., Any]


DEFECTS = {
    "no-attempt-check": Defect(attempts, "is_expected", lambda link, chunk: True),
    "refuse-after-send": Defect(request, "failure_outcome", lambda sent: Outcome.NOT_RUN),
    "retry-any": Defect(retry, "may_send_again", lambda repeatable, sent: True),
    "ignore-drain": Defect(runner_state, "is_leaving", lambda state, now_s: False),
    "stop-at-once": Defect(
        drain, "requests_to_abort", lambda running, waited, grace: tuple(running)
    ),
}


def check_whole_streams() -> list[str]:
    """Duplicate every chunk; return the callers that did not get exactly their own answer."""
    fleet = GatewayFleet(2)
    fleet.network.faults.chunk = lambda gateway, runner, chunk: (0.0, 0.02)
    for index in range(4):
        fleet.ask(f"request-{index}")
    fleet.run(5)
    return [each.request.request_id for each in fleet.callers if not each.is_complete()]


def _crash_during_ping() -> GatewayFleet:
    fleet = GatewayFleet(3)
    fleet.ask("ping", class_=RequestClass.NON_REPEATABLE)
    fleet.run(0.4)
    fleet.engines[fleet.runner_of("ping")].crash()
    fleet.run(5)
    return fleet


def check_refusals() -> list[str]:
    """Kill the engine of a running request; return requests refused as not run that ran."""
    fleet = _crash_during_ping()
    return [
        each.request.request_id
        for each in fleet.callers
        if any(fault.outcome == Outcome.NOT_RUN for fault in each.faults)
        and fleet.runs_of(each.request.request_id) > 0
    ]


def check_at_most_once() -> list[str]:
    """Kill the engine of a non-repeatable request; return those that ran more than once."""
    fleet = _crash_during_ping()
    return [
        each.request.request_id
        for each in fleet.callers
        if fleet.runs_of(each.request.request_id) > 1
    ]


def check_leaving_runners() -> list[str]:
    """Drain a runner; return the requests that it started more than two seconds later."""
    fleet = GatewayFleet(3)
    resource = fleet.state.get(ResourceKey(Kind.RUNNER, "runner-0"))
    assert resource is not None
    fleet.put(Kind.RUNNER, "runner-0", replace(resource.spec, drain=True))
    fleet.run(2)
    left_s = fleet.clock.seconds()
    for index in range(30):
        fleet.ask(f"request-{index}")
    fleet.run(5)
    runs = fleet.engines["runner-0"].executions
    return [record.request_id for record in runs if record.started_s > left_s]


def check_planned_stop() -> list[str]:
    """Stop a gateway under load; return the requests without a complete answer."""
    fleet = GatewayFleet(2)
    for index in range(10):
        fleet.ask(f"request-{index}")
    fleet.run(0.3)
    fleet.gateways[0].core.drain()
    fleet.run(5)
    return [each.request.request_id for each in fleet.callers if not each.is_complete()]


CHECKS = {
    "whole streams": check_whole_streams,
    "refusals are true": check_refusals,
    "at most once": check_at_most_once,
    "leaving runners left alone": check_leaving_runners,
    "planned stop cuts nothing": check_planned_stop,
}
