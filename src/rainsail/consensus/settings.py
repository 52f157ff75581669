"""Settings of a replicated group."""

from pydantic import BaseModel, ConfigDict, Field


class ConsensusSettings(BaseModel):
    """Times, sizes and limits of one replicated group; every member should have the same."""

    model_config = ConfigDict(frozen=True)

    heartbeat_period_s: float = Field(
        0.15, gt=0, description="Seconds between two heartbeat rounds of a leader."
    )
    election_timeout_s: float = Field(
        0.9,
        gt=0,
        description="Seconds without a leader before a voter campaigns at the earliest, and for "
        "which a voter that has heard a leader refuses its vote to others.",
    )
    election_timeout_spread: float = Field(
        0.8, ge=0, description="Random part of the election timeout, as a share of it."
    )
    clock_rate_margin: float = Field(
        0.1,
        ge=0,
        lt=1,
        description="Share by which two replicas' monotonic clocks may differ in rate; the "
        "leader's read lease is shorter than the election timeout by it.",
    )
    sync_stall_s: float = Field(
        1.0,
        gt=0,
        description="A leader whose disk has been at one sync for this long hands leadership over.",
    )
    max_batch_bytes: int = Field(
        256 * 1024, gt=0, description="Payload bytes in one append message at most."
    )
    max_in_flight_bytes: int = Field(
        2 * 1024 * 1024,
        gt=0,
        description="Payload bytes on their way to one follower and not acknowledged, at most.",
    )
    snapshot_log_bytes: int = Field(
        16 * 1024 * 1024,
        gt=0,
        description="A snapshot is taken when the log since the last one holds this many bytes.",
    )
    snapshot_log_entries: int = Field(
        20_000,
        gt=0,
        description="A snapshot is taken when the log since the last one holds this many entries.",
    )
    snapshot_chunk_bytes: int = Field(
        128 * 1024,
        gt=0,
        description="Accepted and not used: `state.snapshot_chunk_bytes` bounds a chunk.",
    )
    retained_entries: int = Field(
        5_000,
        ge=0,
        description="Entries kept in memory behind a snapshot, for followers a little behind.",
    )
    retained_bytes: int = Field(
        16 * 1024 * 1024,
        ge=0,
        description="Payload bytes kept in memory behind a snapshot at most; with fewer entries "
        "than that a follower that is behind gets the snapshot.",
    )
    max_waiting_proposals: int = Field(
        20_000, gt=0, description="Proposals under way before new ones are refused as overloaded."
    )
    max_apply_batch: int = Field(
        500, gt=0, description="Entries applied before the reactor gets its turn."
    )
    unreachable_after_s: float = Field(
        2.0, gt=0, description="A member not heard of for this long shows as not reachable."
    )
    caught_up_entries: int = Field(
        1_000, ge=0, description="Entries a voter may be behind the commit and count as sound."
    )
    promotion_lag_entries: int = Field(
        100, ge=0, description="Entries a learner may be behind the commit when it is promoted."
    )
    repair_after_s: float = Field(
        5.0,
        gt=0,
        description="A member not reachable for this long is replaced when a replica of its name "
        "returns with an empty disk.",
    )
    hello_period_s: float = Field(
        0.5, gt=0, description="Seconds between two calls of a replica that has no group yet."
    )

    @property
    def lease_s(self) -> float:
        """The read lease in seconds from the moment that a heartbeat round was sent."""
        return self.election_timeout_s * (1 - self.clock_rate_margin)
