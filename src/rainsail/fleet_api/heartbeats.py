"""Strict parsing of runners' heartbeats and deregistrations from JSON.

Calls may come from other programs than runners: with fields missing, of a wrong type or out of
range. None of these may reach the registry: a number that the protocol between nodes cannot encode
would break the push to every node.
"""

import json
from dataclasses import dataclass
from typing import Annotated, Any

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from rainsail.cluster.messages import RunnerRecord, RunnerState
from rainsail.cluster.runner_versions import NO_VERSION
from rainsail.fleet_api.json_fields import A_WHOLE_NUMBER, FieldError
from rainsail.wire.address import parse_address

MAX_TEXT_LENGTH = 256
"""Maximum length of a name in characters, far above the names in use."""
MAX_NUMBER = 2**63 - 1
"""The largest number that the protocol between nodes can encode (an Avro long)."""
MAX_SLOTS = 1_000_000
"""Maximum slots of a runner, far above what an accelerator runs concurrently."""
MAX_WARM_UP_S = 1e6
"""Far above any warm-up, and small enough to be added to times."""


def _listening(address: str) -> str:
    if parse_address(address).port == 0:
        raise ValueError("nothing listens at port 0")
    return address


Text = Annotated[str, Field(min_length=1, max_length=MAX_TEXT_LENGTH)]
Whole = Annotated[int, Field(ge=0, le=MAX_NUMBER)]


class HeartbeatBody(BaseModel):
    """A heartbeat; ``born`` is the runner's start time in milliseconds since 1970, 0 if unknown."""

    model_config = ConfigDict(frozen=True, extra="ignore", strict=True)

    service: Text
    address: Annotated[Text, AfterValidator(_listening)]
    zone: str = Field(default="", max_length=MAX_TEXT_LENGTH)
    slots: int = Field(default=1, ge=1, le=MAX_SLOTS)
    state: RunnerState = Field(default=RunnerState.READY, strict=False)
    warm_up_left_s: float = Field(default=0.0, ge=0, le=MAX_WARM_UP_S, allow_inf_nan=False)
    sequence: Whole
    born: Whole = 0
    version: str = Field(default=NO_VERSION, max_length=MAX_TEXT_LENGTH)
    """The version of the runner's software, not of the weights that it serves."""


class DeregistrationBody(BaseModel):
    """A deregistration; without ``born`` it applies to the known incarnation."""

    model_config = ConfigDict(frozen=True, extra="ignore", strict=True)

    born: Whole | None = None


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """A runner's report, and the version of its software."""

    record: RunnerRecord
    version: str


def read_heartbeat(runner: str, fields: Any) -> Heartbeat:
    """Return the contents of a runner's heartbeat; raises one of ``json_fields.UNREADABLE``."""
    if not runner or len(runner) > MAX_TEXT_LENGTH:
        raise ValueError(f"the runner's id: expected 1 to {MAX_TEXT_LENGTH} characters")
    body = HeartbeatBody.model_validate(fields)
    record = RunnerRecord(
        runner,
        body.service,
        body.address,
        body.zone,
        body.slots,
        body.state,
        body.warm_up_left_s,
        body.sequence,
        born=body.born,
    )
    return Heartbeat(record, body.version)


def read_deregistration(content: bytes) -> int | None:
    """Return ``born`` of the incarnation that deregisters, None if it is not given.

    Raises one of ``json_fields.UNREADABLE``.
    """
    if not content.strip():
        return None
    fields = json.loads(content)
    if isinstance(fields, dict) and "born" in fields and fields["born"] is None:
        raise FieldError("born", A_WHOLE_NUMBER, "null")
    return DeregistrationBody.model_validate(fields).born
