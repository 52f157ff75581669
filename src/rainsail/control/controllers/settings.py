"""Settings of the controllers."""

from pydantic import BaseModel, ConfigDict, Field


class ReconcilerSettings(BaseModel):
    """Periods (in seconds) and limits of the reconcile loops; the same on every replica."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    placement_period_s: float = Field(
        1.0,
        gt=0,
        description="Longest time between two placement rounds over services and runners.",
    )
    retention_period_s: float = Field(
        30.0, gt=0, description="Time between two scans for jobs and gateways past their retention."
    )
    replan_delay_s: float = Field(
        0.05, gt=0, description="How long changes are batched before the placement plans again."
    )
    period_jitter_fraction: float = Field(
        0.1,
        ge=0,
        lt=1,
        description="Largest random fraction by which a period is lengthened or shortened.",
    )
    propose_timeout_s: float = Field(
        10.0,
        gt=0,
        description="How long a round waits for the outcomes of its commands before it ends.",
    )
    max_commands_per_round: int = Field(
        200, gt=0, description="Maximum number of commands that one round of a loop proposes."
    )
    max_concurrent_loads: int = Field(
        2,
        gt=0,
        description="Maximum number of concurrent loads; limits the load on the weight store.",
    )
    load_stall_s: float = Field(
        600.0,
        gt=0,
        description="After this long a load no longer counts against max_concurrent_loads;"
        " its own service's roll-out still waits for it.",
    )
    adapter_pacing_s: float = Field(
        5.0, ge=0, description="How long a change of adapters counts against max_concurrent_loads."
    )
    job_retention_s: float = Field(
        7 * 86_400.0, gt=0, description="How long a finished job and its results are kept."
    )
    open_job_retention_s: float = Field(
        86_400.0, gt=0, description="How long a job that was never accepted is kept."
    )
    gateway_retention_s: float = Field(
        3_600.0,
        gt=0,
        description="A gateway that has made no contact for this long loses its resource.",
    )
