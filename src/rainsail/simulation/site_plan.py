"""The sites at their sizes of today, and one with many groups, as plans of a simulated fleet.

The sizes and distances are those that the operators gave; the rates of traffic are chosen so
that two minutes hold hundreds of online requests and hundreds of batch items.
"""

from dataclasses import dataclass, replace

from rainsail.batch.settings import LATENCY_BATCH_WEIGHT, THROUGHPUT_BATCH_WEIGHT
from rainsail.emulator.settings import EngineSettings
from rainsail.resources.specs import RequestClass
from rainsail.simulation.actors.callers import CallerMix
from rainsail.simulation.actors.job_clients import JobMix
from rainsail.state.commands import ROOT_GROUP, GroupId

USER_ONE_WAY_S = 0.004
WEIGHT_BYTES = 2_000_000_000


SMALL_ENGINE = EngineSettings.language_model(tokens_per_chunk=4, max_running=6)
"""Few places in the batch, so that a heap of jobs fills every engine."""


@dataclass(frozen=True, slots=True)
class RunnerPlan:
    """A group of like runners of one service."""

    service: str
    count: int
    engine: EngineSettings
    batch_slots: int


@dataclass(frozen=True, slots=True)
class SitePlan:
    """A site: its zones, processes, runners and traffic."""

    name: str
    region: str
    zones: tuple[str, ...]
    zone_one_way_s: float
    replica_zones: tuple[int, ...]
    runners: tuple[RunnerPlan, ...]
    callers: tuple[CallerMix, ...]
    jobs: JobMix
    tenants: tuple[str, ...]
    batch_weight: float
    operator_gap_s: float = 3.0
    ledger_groups: tuple[GroupId, ...] = (ROOT_GROUP,)


def _zones(region: str) -> tuple[str, ...]:
    return tuple(f"{region}-{letter}" for letter in "abc")


def guayaquil() -> SitePlan:
    """The container trackers: a report-writing language model and a position service."""
    return SitePlan(
        name="guayaquil",
        region="gye",
        zones=_zones("gye"),
        zone_one_way_s=0.001,
        replica_zones=(0, 0, 1, 1, 2),
        runners=(
            RunnerPlan("reports", 6, SMALL_ENGINE, SMALL_ENGINE.max_running),
            RunnerPlan("positions", 3, EngineSettings.position(), 0),
        ),
        callers=(
            CallerMix("alarm", "reports", RequestClass.ONLINE, 0.5, 600, 48),
            CallerMix("history", "reports", RequestClass.ONLINE, 2.0, 3000, 120),
            CallerMix("ping", "positions", RequestClass.NON_REPEATABLE, 0.5, 96, 6),
        ),
        jobs=JobMix("reports", 10.0, 3, 12, 800, 60, 0.15, 3600.0),
        tenants=("tenant-exporter", "tenant-broker", "tenant-agent"),
        batch_weight=THROUGHPUT_BATCH_WEIGHT,
    )


def taoyuan() -> SitePlan:
    """The linen division: an assistant and a dock confirmation service."""
    return SitePlan(
        name="taoyuan",
        region="tyn",
        zones=_zones("tyn"),
        zone_one_way_s=0.0005,
        replica_zones=(0, 0, 1, 1, 2),
        runners=(
            RunnerPlan("assistant", 9, SMALL_ENGINE, SMALL_ENGINE.max_running),
            RunnerPlan("dock", 3, EngineSettings.position(), 0),
        ),
        callers=(
            CallerMix("question", "assistant", RequestClass.ONLINE, 0.4, 500, 40),
            CallerMix("clauses", "assistant", RequestClass.ONLINE, 2.5, 4000, 150),
            CallerMix("scan", "dock", RequestClass.NON_REPEATABLE, 0.5, 96, 4),
        ),
        jobs=JobMix("assistant", 10.0, 3, 12, 700, 50, 0.15, 3600.0),
        tenants=("tenant-north", "tenant-city", "tenant-dock"),
        batch_weight=LATENCY_BATCH_WEIGHT,
    )


def many_groups() -> SitePlan:
    """Taoyuan with nine replicas and its ledgers in three groups of five, apart from the root."""
    return replace(
        taoyuan(),
        name="many_groups",
        replica_zones=(0, 1, 2) * 3,
        ledger_groups=(1, 2, 3),
    )


SITES = {"guayaquil": guayaquil, "taoyuan": taoyuan, "many_groups": many_groups}
