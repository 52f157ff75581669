"""Settings of the durable log."""

from pydantic import BaseModel, ConfigDict, Field

MEBIBYTE = 1024 * 1024


class StorageSettings(BaseModel):
    """How one group's log and snapshots are kept on disk and in memory."""

    model_config = ConfigDict(frozen=True)

    segment_bytes: int = Field(
        default=16 * MEBIBYTE,
        ge=1,
        lt=2**31,
        description="A segment that has reached this size is closed and the next one begun.",
    )
    cache_bytes: int = Field(
        default=16 * MEBIBYTE,
        ge=0,
        description="Payload bytes of the newest entries held in memory per group.",
    )
    retained_entries: int = Field(
        default=0,
        ge=0,
        description="Entries up to a snapshot that are kept for followers that lag behind it.",
    )
