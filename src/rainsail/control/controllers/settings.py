"""Settings of the controllers."""

from pydantic import BaseModel, ConfigDict, Field


class ReconcilerSettings(BaseModel):
    """Periods in seconds and bounds of the reconcile loops; the same on every replica."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    placement_period_s: float = Field(
        1.0, gt=0, description="Longest time between two looks at services and runners."
    )
    retention_period_s: float = Field(
        30.0, gt=0, description="Time between two looks for jobs and gateways to forget."
    )
    replan_delay_s: float = Field(
        0.05, gt=0, description="How long changes gather before the placement looks again."
    )
    period_jitter_fraction: float = Field(
        0.1, ge=0, lt=1, description="Random part by which a period is lengthened or shortened."
    )
    propose_timeout_s: float = Field(
        10.0, gt=0, description="How long a round waits for its commands before it is given up."
    )
    max_commands_per_round: int = Field(
        200, gt=0, description="Most commands that one round of a loop proposes."
    )
    max_concurrent_loads: int = Field(
        2, gt=0, description="Loads under way at a time, for the weight store's rate."
    )
    load_stall_s: float = Field(
        600.0,
        gt=0,
        description="After this long a load no longer holds a place of max_concurrent_loads;"
        " its own service's roll-out still waits for it.",
    )
    adapter_pacing_s: float = Field(
        5.0, ge=0, description="How long a change of adapters holds a place of a load."
    )
    job_retention_s: float = Field(
        7 * 86_400.0, gt=0, description="How long results stay readable after a job has finished."
    )
    open_job_retention_s: float = Field(
        86_400.0, gt=0, description="After this long a job that was never accepted is forgotten."
    )
    gateway_retention_s: float = Field(
        3_600.0, gt=0, description="A gateway not heard of for this long loses its resource."
    )
