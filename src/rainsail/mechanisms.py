"""Policies that can be turned off individually, to measure the effect of each (ablation).

Fleets run with the defaults below. ``tools/ablation.py`` flips one switch at a time through the
``mechanisms`` section of the settings file.
"""

from pydantic import BaseModel, ConfigDict, Field


class Mechanisms(BaseModel):
    """One switch for each policy."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    placement: bool = Field(
        default=True,
        description="While a service is busy, the ledger's leader places its requests",
    )
    admission: bool = Field(
        default=True,
        description="Requests that would wait too long are rejected at once, with a retry time",
    )
    prompt_homes: bool = Field(
        default=True,
        description="Each long shared prompt prefix has one preferred runner fleet-wide",
    )
    prefix_memory: bool = Field(
        default=True,
        description="Gateways remember which runner has probably cached which part of a prompt",
    )
    reading_clock: bool = Field(
        default=True, description="Runners that are still prefilling long prompts are skipped"
    )
    silence: bool = Field(
        default=True,
        description="Runners that owe an answer but send nothing until a timeout are abandoned",
    )
    ejection: bool = Field(
        default=True, description="Runners that break off answers are ejected for a while"
    )
    overload_order: bool = Field(
        default=True,
        description="Under overload, as few batch items as possible miss their deadlines",
    )
    batch_reserve: bool = Field(
        default=True,
        description="Batch items with time to spare leave slots free for online requests",
    )
    yield_pause: bool = Field(
        default=True,
        description="After preempting a batch item, a runner starts no other for a while",
    )
    foreign_load: bool = Field(
        default=True,
        description="Load from other callers of a runner counts when batch items start",
    )
    progress_notes: bool = Field(
        default=True, description="The ledger records the progress of batch items"
    )


DEFAULTS = Mechanisms()
