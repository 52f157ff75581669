"""Settings of the caller API."""

from pydantic import BaseModel, ConfigDict, Field


class CallerApiSettings(BaseModel):
    """Bounds and defaults of the caller API."""

    model_config = ConfigDict(frozen=True)

    max_request_bytes: int = Field(
        default=1024 * 1024, gt=0, description="Longest JSON body taken, in bytes."
    )
    max_file_bytes: int = Field(
        default=256 * 1024 * 1024, gt=0, description="Longest uploaded file taken, in bytes."
    )
    max_stored_file_bytes: int = Field(
        default=512 * 1024 * 1024,
        gt=0,
        description="Most bytes of uploaded files kept at once; the oldest go first.",
    )
    file_retention_s: float = Field(
        default=86_400.0, gt=0, description="How long an uploaded file is kept, in seconds."
    )
    max_prompt_characters: int = Field(
        default=400_000, gt=0, description="Longest prompt taken, in characters."
    )
    default_max_tokens: int = Field(
        default=256, gt=0, description="Bound on generated tokens when a chat names none."
    )
    max_tokens_limit: int = Field(
        default=8192, gt=0, description="Highest bound on generated tokens taken."
    )
    max_batch_items: int = Field(
        default=530_000, gt=0, description="Most items taken in one batch."
    )
    batch_lines_per_slice: int = Field(
        default=25,
        gt=0,
        description="Batch lines parsed before other work of the process gets its turn.",
    )
    results_page_items: int = Field(
        default=500, gt=0, description="Results read from the ledger at a time for a download."
    )
