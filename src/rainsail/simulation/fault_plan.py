"""Fault plans: which failure hits which target, when and for how long.

A plan is drawn from a seed, written to and read from JSON, and shrunk by ``shrink``. All
failures of a drawn plan end by ``end_s``, so that the rest of the run shows recovery.
"""

import random
from enum import StrEnum
from pathlib import Path

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from rainsail.errors import Fault, FaultCode
from rainsail.runtime.files import read_bounded

MAX_FILE_BYTES = 16 * 1024 * 1024


class FaultKind(StrEnum):
    """The failures that a run can bring about."""

    ENGINE_CRASH = "engine_crash"
    POWER_LOSS = "power_loss"
    ENGINE_LINK_CUT = "engine_link_cut"
    ENGINE_REPLIES_LOST = "engine_replies_lost"
    REPLICA_CRASH = "replica_crash"
    REPLICA_DISK_LOSS = "replica_disk_loss"
    SECOND_LOSS_AFTER_REPAIR = "second_loss_after_repair"
    REPLICA_FREEZE = "replica_freeze"
    SYNC_FAILURE = "sync_failure"
    LEADER_SILENT_CUT = "leader_silent_cut"
    ZONE_CUT = "zone_cut"
    ONE_WAY_LOSS = "one_way_loss"
    DEGRADED_NETWORK = "degraded_network"
    GATEWAY_CRASH = "gateway_crash"
    GATEWAY_FREEZE = "gateway_freeze"
    LOST_ANSWERS = "lost_answers"
    WEIGHT_STORE_STARVED = "weight_store_starved"
    RUNNER_DRAIN = "runner_drain"
    MACHINE_LEAVES = "machine_leaves"
    GATEWAY_PLANNED_STOP = "gateway_planned_stop"
    REPLICA_PLANNED_STOP = "replica_planned_stop"


class FaultAction(BaseModel):
    """One failure. ``target`` is a process, runner or zone name; empty: the run picks it."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    kind: FaultKind = Field(description="What fails.")
    target: str = Field(description="Process, runner or zone; empty for the leader or for all.")
    start_s: float = Field(ge=0, description="Virtual seconds from the start of the run.")
    duration_s: float = Field(ge=0, description="How long it lasts, in virtual seconds.")


class FaultPlan(BaseModel):
    """The failures of one run, in order of their start."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    actions: tuple[FaultAction, ...] = Field(default=(), description="The failures.")


class FaultTargets(BaseModel):
    """What a plan can hit."""

    model_config = ConfigDict(frozen=True)

    replicas: tuple[str, ...]
    gateways: tuple[str, ...]
    runners: tuple[str, ...]
    zones: tuple[str, ...]


MEAN_GAP_S = 5.0
"""Mean virtual time between the starts of two failures of a drawn plan."""

FIRST_FAULT_S = 10.0
"""The fleet has this long to start before the first failure."""


def draw_plan(draw: random.Random, targets: FaultTargets, end_s: float) -> FaultPlan:
    """Draw failures of all kinds, alone and overlapping, that end by ``end_s``.

    Disks may be lost at any time; the injector leaves out what no group could bear.
    """
    actions = []
    start_s = FIRST_FAULT_S + draw.expovariate(1 / MEAN_GAP_S)
    while start_s < end_s - 2.0:
        kind = draw.choice(list(FaultKind))
        duration_s = min(draw_duration_s(draw, kind), end_s - start_s)
        target = draw_target(draw, kind, targets)
        actions.append(
            FaultAction(kind=kind, target=target, start_s=start_s, duration_s=duration_s)
        )
        start_s += draw.expovariate(1 / MEAN_GAP_S)
    return FaultPlan(actions=tuple(actions))


_LONG_KINDS = (
    FaultKind.LEADER_SILENT_CUT,
    FaultKind.ZONE_CUT,
    FaultKind.RUNNER_DRAIN,
    FaultKind.MACHINE_LEAVES,
)
"""Kinds that have to outlast the leases to show anything."""


def draw_duration_s(draw: random.Random, kind: FaultKind) -> float:
    """Draw how long a failure lasts, in virtual seconds."""
    if kind in _LONG_KINDS:
        return draw.uniform(12.0, 30.0)
    return draw.uniform(1.0, 30.0 if kind == FaultKind.REPLICA_CRASH else 12.0)


def draw_target(draw: random.Random, kind: FaultKind, targets: FaultTargets) -> str:
    """Draw what a failure hits; empty when the run picks it or it hits everything."""
    if kind in (FaultKind.LEADER_SILENT_CUT, FaultKind.DEGRADED_NETWORK, FaultKind.LOST_ANSWERS):
        return ""
    if kind in (FaultKind.WEIGHT_STORE_STARVED, FaultKind.POWER_LOSS):
        return ""
    if kind == FaultKind.ZONE_CUT:
        return draw.choice(targets.zones)
    if kind in (FaultKind.GATEWAY_CRASH, FaultKind.GATEWAY_FREEZE, FaultKind.GATEWAY_PLANNED_STOP):
        return draw.choice(targets.gateways)
    engine_kinds = (
        FaultKind.ENGINE_CRASH,
        FaultKind.ENGINE_LINK_CUT,
        FaultKind.ENGINE_REPLIES_LOST,
        FaultKind.RUNNER_DRAIN,
        FaultKind.MACHINE_LEAVES,
    )
    if kind in engine_kinds:
        return draw.choice(targets.runners)
    if kind == FaultKind.ONE_WAY_LOSS:
        return draw.choice(targets.replicas + targets.gateways)
    return draw.choice(targets.replicas)


def read_plan(path: Path) -> Result[FaultPlan, Fault]:
    """Read a plan from a JSON file."""
    content = read_bounded(path, MAX_FILE_BYTES)
    if content.is_error():
        return Error(Fault(FaultCode.INVALID, "faults.read", f"{path}: {content.error}"))
    try:
        return Ok(FaultPlan.model_validate_json(content.ok))
    except ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        return Error(Fault(FaultCode.INVALID, "faults.read", f"{path}: {place}: {first['msg']}"))


def write_plan(path: Path, plan: FaultPlan) -> None:
    """Write a plan as JSON that ``read_plan`` takes."""
    path.write_text(plan.model_dump_json(indent=2) + "\n")
