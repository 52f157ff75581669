"""Bounds of the replicated state. Every replica of a group must run with the same values."""

from pydantic import BaseModel, ConfigDict, Field


class StateSettings(BaseModel):
    """Windows and limits of one group's state.

    They are counts, not times, so that applying a command needs no clock.
    """

    model_config = ConfigDict(frozen=True)

    change_window_count: int = Field(
        default=10_000,
        ge=1,
        description="Changes by change id whose first answer is kept for a re-sent change.",
    )
    event_window_count: int = Field(
        default=10_000,
        ge=1,
        description="Latest resource events kept for watches; older ones are compacted.",
    )
    finished_claim_window_count: int = Field(
        default=100_000,
        ge=1,
        description="Finished request claims kept, oldest finish dropped first.",
    )
    open_claim_window_count: int = Field(
        default=100_000,
        ge=1,
        description="Unfinished request claims kept, oldest claim dropped first.",
    )
    lease_requests_per_holder_count: int = Field(
        default=64,
        ge=1,
        description="Lease requests per holder whose lease is returned again when re-sent.",
    )
    lease_holder_window_count: int = Field(
        default=4_096,
        ge=1,
        description="Holders whose lease requests are remembered, least recent dropped first.",
    )
    max_job_items_count: int = Field(
        default=1_000_000,
        ge=1,
        description="Items that one job may have.",
    )
    max_attempts_count: int = Field(
        default=100,
        ge=1,
        description="Upper bound of a job's max_attempts.",
    )
    snapshot_chunk_bytes: int = Field(
        default=262_144,
        ge=1_024,
        description="Size in bytes at which a snapshot chunk is closed.",
    )
