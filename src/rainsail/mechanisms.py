"""The policies that can be turned off one by one, to measure what each of them is worth.

A fleet serves with these defaults. ``tools/ablation.py`` turns the switches over in turn; the
settings file has each in its ``mechanisms`` section.
"""

from pydantic import BaseModel, ConfigDict, Field


class Mechanisms(BaseModel):
    """One switch for each policy."""

    model_config = ConfigDict(frozen=True, extra="forbid")

    placement: bool = Field(
        default=True,
        description="While a service is busy the ledger's leader says where requests go",
    )
    admission: bool = Field(
        default=True,
        description="Requests that would wait too long are refused at once, to come back",
    )
    prompt_homes: bool = Field(
        default=True, description="Long shared parts of prompts have a runner that all agree on"
    )
    prefix_memory: bool = Field(
        default=True, description="Gateways remember which runner has read which part of a prompt"
    )
    reading_clock: bool = Field(
        default=True, description="Runners that still read long prompts are passed over"
    )
    silence: bool = Field(
        default=True, description="Runners that owe an answer and say nothing are left"
    )
    ejection: bool = Field(
        default=True, description="Runners that break answers off are left out for a while"
    )
    overload_order: bool = Field(
        default=True, description="The fewest items are given up when not all can be in time"
    )
    batch_reserve: bool = Field(
        default=True, description="Items that have time to spare leave slots to online work"
    )
    yield_pause: bool = Field(
        default=True, description="No item starts where one has just given way"
    )
    foreign_load: bool = Field(
        default=True, description="What runners run for others counts when items start"
    )
    progress_notes: bool = Field(
        default=True, description="The ledger keeps how far items have come"
    )


DEFAULTS = Mechanisms()
