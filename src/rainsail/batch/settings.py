"""Settings of batch work: intake, leases, commits and the dispatch policy."""

from pydantic import BaseModel, ConfigDict, Field

THROUGHPUT_BATCH_WEIGHT = 0.8
"""Preset that favours throughput, for sites whose batch jobs must all finish overnight."""
LATENCY_BATCH_WEIGHT = 0.2
"""Preset that favours online tail latency, for sites whose users wait for each answer."""


class BatchSettings(BaseModel):
    """How batch jobs are submitted and how their items run on idle capacity."""

    model_config = ConfigDict(frozen=True)

    groups: tuple[int, ...] = Field(
        default=(0,),
        min_length=1,
        description="Replicated groups that store batch ledgers; a job's group is chosen by hash.",
    )
    range_bytes: int = Field(
        default=256 * 1024, gt=0, description="Maximum bytes of items in one ledger command."
    )
    range_items: int = Field(
        default=1000, gt=0, description="Maximum items in one ledger command of the intake."
    )
    max_job_items: int = Field(default=600_000, gt=0, description="Maximum items in one job.")
    concurrent_submissions: int = Field(
        default=4, gt=0, description="Jobs whose items one gateway stores concurrently."
    )
    command_timeout_s: float = Field(
        default=5.0,
        gt=0,
        description="Timeout in seconds of one ledger command, including retries.",
    )
    retry_delay_s: float = Field(
        default=0.2,
        gt=0,
        description="Mean delay in seconds before a failed ledger command is retried.",
    )
    submit_attempts: int = Field(
        default=5,
        gt=0,
        description="Attempts of the intake to send one command before it gives up.",
    )
    lease_renewal_period_s: float = Field(
        default=1.0, gt=0, description="Seconds between renewals of the item leases."
    )
    item_lease_s: float = Field(
        default=5.0,
        gt=0,
        description="Duration in seconds of an item lease until a renewal sets another.",
    )
    prefetch_items_per_runner: int = Field(
        default=4, ge=0, description="Leased items kept ready per owned runner."
    )
    lease_max_items: int = Field(
        default=256, gt=0, description="Maximum items requested in one lease command."
    )
    lease_max_tokens: int = Field(
        default=1_000_000, gt=0, description="Maximum tokens requested in one lease command."
    )
    hold_s: float = Field(
        default=3.0, gt=0, description="Seconds that a leased item may wait before it is returned."
    )
    commit_period_s: float = Field(
        default=0.05, gt=0, description="Seconds that a result may wait to be batched with others."
    )
    commit_max_items: int = Field(
        default=128, gt=0, description="Maximum results or returned items in one ledger command."
    )
    refill_delay_s: float = Field(
        default=0.1, ge=0, description="Seconds without new items on a runner after a preemption."
    )
    tick_s: float = Field(
        default=0.05, gt=0, description="Seconds between periodic evaluations of all runners."
    )
    policy: str = Field(default="preemptive", description="Name of the dispatch policy.")
    batch_weight: float = Field(
        default=0.5,
        ge=0.0,
        le=1.0,
        description="Share of a runner's slots in use, including online work, during prefill of an "
        "online prompt of 1000 tokens. 0: lowest online tail latency; 1: highest throughput.",
    )
