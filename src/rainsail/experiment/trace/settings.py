"""Settings of the recording of traces by a gateway."""

from pydantic import BaseModel, ConfigDict, Field


class RecordingSettings(BaseModel):
    """What a gateway records of its callers; nothing unless it is switched on."""

    model_config = ConfigDict(frozen=True)

    enabled: bool = Field(
        default=False,
        description="Record arrivals under DATA_FOLDER/recordings, one file per start.",
    )
    keep_prompts: bool = Field(
        default=False, description="Keep the texts of prompts; else only their lengths and sharing."
    )
    max_file_bytes: int = Field(
        default=64 * 1024 * 1024,
        gt=0,
        description="Recording ends when its file has grown to this size.",
    )
    max_items_kept: int = Field(
        default=500, gt=0, description="Items kept of a job; a replay repeats them in turn."
    )
    write_period_s: float = Field(
        default=1.0, gt=0, description="How long arrivals wait in memory before they are written."
    )
    max_waiting: int = Field(
        default=5_000, gt=0, description="Arrivals held in memory; more are counted as dropped."
    )
