"""Settings of the caller API."""

from pydantic import BaseModel, ConfigDict, Field


class CallerApiSettings(BaseModel):
    """Limits and defaults of the caller API."""

    model_config = ConfigDict(frozen=True)

    max_request_bytes: int = Field(
        default=1024 * 1024, gt=0, description="Maximum size of a JSON body, in bytes."
    )
    max_file_bytes: int = Field(
        default=256 * 1024 * 1024, gt=0, description="Maximum size of an uploaded file, in bytes."
    )
    max_stored_file_bytes: int = Field(
        default=512 * 1024 * 1024,
        gt=0,
        description="Maximum total size of stored files, in bytes; the oldest are evicted first.",
    )
    file_retention_s: float = Field(
        default=86_400.0, gt=0, description="How long an uploaded file is kept, in seconds."
    )
    max_prompt_characters: int = Field(
        default=400_000, gt=0, description="Maximum length of a prompt, in characters."
    )
    default_max_tokens: int = Field(
        default=256, gt=0, description="Maximum generated tokens of a chat that does not set it."
    )
    max_tokens_limit: int = Field(
        default=8192, gt=0, description="Highest value of max_tokens that is accepted."
    )
    max_batch_items: int = Field(default=530_000, gt=0, description="Maximum items of one batch.")
    batch_lines_per_slice: int = Field(
        default=25,
        gt=0,
        description="Lines of a batch file parsed before the event loop runs other work.",
    )
    results_page_items: int = Field(
        default=500, gt=0, description="Results read from the ledger per page of a download."
    )
