"""Settings of the emulated platform.

The rates are of the order published for 13-billion-parameter models on one data-centre
accelerator (Kwon et al., "PagedAttention", SOSP 2023; Agrawal et al., "Sarathi-Serve", OSDI
2024): 15 to 30 ms for a decode iteration and some 5,000 to 10,000 prefill tokens a second. They
are not measured here, as no accelerator is available to this project.
"""

from pydantic import BaseModel, ConfigDict, Field


class EngineSettings(BaseModel):
    """Rates, limits and delays of one emulated model engine."""

    model_config = ConfigDict(frozen=True)

    step_base_s: float = Field(
        default=0.018,
        gt=0,
        description="Base time of an iteration, in seconds; the module cites the sources.",
    )
    step_per_sequence_s: float = Field(
        default=0.0003,
        ge=0,
        description="Time added to an iteration for each decoding sequence, in seconds.",
    )
    prefill_token_s: float = Field(
        default=0.00012,
        ge=0,
        description="Time added to an iteration for each prefilled prompt token, in seconds.",
    )
    prefill_tokens_per_step: int = Field(
        default=256,
        gt=0,
        description="Maximum prompt tokens prefilled in one iteration (chunked prefill).",
    )
    max_running: int = Field(
        default=32, gt=0, description="Maximum sequences in the running batch."
    )
    max_waiting: int = Field(
        default=256,
        ge=0,
        description="Maximum waiting sequences; further requests are refused as not run.",
    )
    kv_tokens_total: int = Field(
        default=60_000,
        gt=0,
        description="KV cache capacity in tokens; a sequence reserves its prompt and token limit.",
    )
    cache_blocks: int = Field(
        default=2_000,
        ge=0,
        description="Prefix cache capacity in blocks of 16 tokens; eviction is LRU.",
    )
    tokens_per_chunk: int = Field(
        default=1,
        gt=0,
        description="Tokens per chunk; the first token is always a chunk of its own.",
    )
    retain_chunks_s: float = Field(
        default=30.0,
        ge=0,
        description="Time during which a stream can be resumed after its end, in seconds.",
    )
    detached_grace_s: float = Field(
        default=10.0,
        ge=0,
        description="Time until a stream without a reader is cancelled, in seconds.",
    )
    load_report_period_s: float = Field(
        default=0.5, gt=0, description="Time between two load reports, in seconds."
    )
    load_report_lag_s: float = Field(
        default=0.5, ge=0, description="Age of a load report when it is published, in seconds."
    )
    cache_event_delay_s: float = Field(
        default=0.5,
        ge=0,
        description="Time from a change of the prefix cache to its event, in seconds.",
    )
    cache_event_loss: float = Field(
        default=0.01,
        ge=0,
        le=1,
        description="Share of cache events that are lost; each leaves a gap in sequence numbers.",
    )
    cache_listing_period_s: float = Field(
        default=30.0,
        gt=0,
        description="Time between full listings of the prefix cache, in seconds.",
    )
    refusal_retry_after_s: float = Field(
        default=1.0, ge=0, description="Retry delay that a refusal suggests, in seconds."
    )

    @classmethod
    def language_model(cls, **overrides: object) -> "EngineSettings":
        """Return the preset of a language model (the defaults)."""
        return cls.model_validate(overrides)

    @classmethod
    def position(cls, **overrides: object) -> "EngineSettings":
        """Return the preset of a service with very short answers (positions, confirmations)."""
        preset = {
            "step_base_s": 0.004,
            "step_per_sequence_s": 0.0001,
            "prefill_token_s": 0.00002,
            "max_running": 64,
            "kv_tokens_total": 32_000,
            "cache_blocks": 500,
        }
        return cls.model_validate({**preset, **overrides})


class WeightStoreSettings(BaseModel):
    """The rate of the weight store."""

    model_config = ConfigDict(frozen=True)

    bytes_per_second: float = Field(
        default=2e9,
        gt=0,
        description="Rate shared equally by all loads in progress, in bytes per second.",
    )


class MachineListSettings(BaseModel):
    """The delay of the machine list."""

    model_config = ConfigDict(frozen=True)

    lag_s: float = Field(
        default=10.0,
        ge=0,
        description="Delay until a change of a machine shows in the list, in seconds.",
    )
