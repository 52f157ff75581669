"""Settings of a replicated consensus group."""

from pydantic import BaseModel, ConfigDict, Field


class ConsensusSettings(BaseModel):
    """Times, sizes and limits of one replicated group; all members should use the same values."""

    model_config = ConfigDict(frozen=True)

    heartbeat_period_s: float = Field(
        0.15, gt=0, description="Seconds between two heartbeat rounds of a leader."
    )
    election_timeout_s: float = Field(
        0.9,
        gt=0,
        description="Minimum seconds without a heartbeat before a voter campaigns. A voter that "
        "has heard from a leader refuses its vote to other candidates for as long.",
    )
    election_timeout_spread: float = Field(
        0.8,
        ge=0,
        description="Random addition to the election timeout, at most this fraction of it.",
    )
    clock_rate_margin: float = Field(
        0.1,
        ge=0,
        lt=1,
        description="Fraction by which the monotonic clocks of two replicas may differ in rate. "
        "The leader's read lease is shorter than the election timeout by this fraction.",
    )
    sync_stall_s: float = Field(
        1.0,
        gt=0,
        description="Seconds after which a leader with an unfinished disk sync transfers its "
        "leadership.",
    )
    max_batch_bytes: int = Field(
        256 * 1024,
        gt=0,
        description="Maximum payload bytes in one append message; a larger entry is sent alone.",
    )
    max_entry_bytes: int = Field(
        7 * 1024 * 1024,
        gt=0,
        description="Payload bytes of an entry beyond which a proposal is refused. Less than a "
        "message holds (`wire.max_frame_bytes`): no follower could get a larger one.",
    )
    max_in_flight_bytes: int = Field(
        2 * 1024 * 1024,
        gt=0,
        description="Payload bytes sent to one follower and not yet acknowledged at which the "
        "leader stops sending.",
    )
    snapshot_log_bytes: int = Field(
        16 * 1024 * 1024,
        gt=0,
        description="Payload bytes in the log since the last snapshot at which the next is taken.",
    )
    snapshot_log_entries: int = Field(
        20_000,
        gt=0,
        description="Entries in the log since the last snapshot at which the next is taken.",
    )
    snapshot_chunk_bytes: int = Field(
        128 * 1024,
        gt=0,
        description="Accepted but not used: `state.snapshot_chunk_bytes` limits the chunk size.",
    )
    snapshot_part_bytes: int = Field(
        1024 * 1024,
        gt=0,
        description="Maximum bytes of a snapshot in one message; larger chunks are sent in parts.",
    )
    retained_entries: int = Field(
        5_000,
        ge=0,
        description="Maximum entries covered by a snapshot that stay in memory, for followers "
        "slightly behind.",
    )
    retained_bytes: int = Field(
        16 * 1024 * 1024,
        ge=0,
        description="Maximum payload bytes of entries covered by a snapshot that stay in memory. "
        "A follower that needs older entries gets the snapshot.",
    )
    max_waiting_proposals: int = Field(
        20_000, gt=0, description="Pending proposals at which new ones are refused as overloaded."
    )
    max_apply_batch: int = Field(500, gt=0, description="Maximum entries applied per reactor turn.")
    unreachable_after_s: float = Field(
        2.0, gt=0, description="Seconds without an answer after which a member is unreachable."
    )
    caught_up_entries: int = Field(
        1_000,
        ge=0,
        description="Entries a voter may lag behind the commit index and still count as healthy.",
    )
    promotion_lag_entries: int = Field(
        100,
        ge=0,
        description="Entries a learner may lag behind the commit index when it is promoted.",
    )
    repair_after_s: float = Field(
        5.0,
        gt=0,
        description="Seconds a member must be unreachable before a replica of its name that "
        "returns with an empty disk replaces it.",
    )
    hello_period_s: float = Field(
        0.5, gt=0, description="Seconds between two Hello messages of a replica outside the group."
    )

    @property
    def lease_s(self) -> float:
        """Return the read lease in seconds, counted from the sending of a heartbeat round."""
        return self.election_timeout_s * (1 - self.clock_rate_margin)
