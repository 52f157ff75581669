"""Heartbeats and deregistrations of runners as JSON, read strictly.

They may come from other writers than runners: with fields missing, of another type, or out of
range. None of that may reach the registry: a number that the wire between nodes cannot carry would
end the push to every one of them.
"""

import json
from typing import Annotated, Any

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from rainsail.cluster.messages import RunnerRecord, RunnerState
from rainsail.fleet_api.json_fields import A_WHOLE_NUMBER, FieldError
from rainsail.wire.address import parse_address

MAX_TEXT_LENGTH = 256
"""Characters of a name. Not measured; chosen far above the names in use."""
MAX_NUMBER = 2**63 - 1
"""The largest number that the wire between nodes carries (a long of Avro)."""
MAX_SLOTS = 1_000_000
"""Slots of a runner. Not measured; chosen far above what an accelerator runs at once."""
MAX_WARM_UP_S = 1e6
"""Not measured; chosen far above any warm-up, and small enough for sums of times."""


def _listening(address: str) -> str:
    if parse_address(address).port == 0:
        raise ValueError("nothing listens at port 0")
    return address


Text = Annotated[str, Field(min_length=1, max_length=MAX_TEXT_LENGTH)]
Whole = Annotated[int, Field(ge=0, le=MAX_NUMBER)]


class HeartbeatBody(BaseModel):
    """A heartbeat; ``born`` is the runner's start in milliseconds since 1970, 0 if not known."""

    model_config = ConfigDict(frozen=True, extra="ignore", strict=True)

    service: Text
    address: Annotated[Text, AfterValidator(_listening)]
    zone: str = Field(default="", max_length=MAX_TEXT_LENGTH)
    slots: int = Field(default=1, ge=1, le=MAX_SLOTS)
    state: RunnerState = Field(default=RunnerState.READY, strict=False)
    warm_up_left_s: float = Field(default=0.0, ge=0, le=MAX_WARM_UP_S, allow_inf_nan=False)
    sequence: Whole
    born: Whole = 0


class DeregistrationBody(BaseModel):
    """A deregistration; without ``born`` it is of the incarnation that is known."""

    model_config = ConfigDict(frozen=True, extra="ignore", strict=True)

    born: Whole | None = None


def read_heartbeat(runner: str, fields: Any) -> RunnerRecord:
    """Return the record of a runner's heartbeat; raises one of ``json_fields.UNREADABLE``."""
    if not runner or len(runner) > MAX_TEXT_LENGTH:
        raise ValueError(f"the runner's id: expected 1 to {MAX_TEXT_LENGTH} characters")
    body = HeartbeatBody.model_validate(fields)
    return RunnerRecord(
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


def read_deregistration(content: bytes) -> int | None:
    """Return ``born`` of the incarnation that leaves, None if it is not given.

    Raises one of ``json_fields.UNREADABLE``.
    """
    if not content.strip():
        return None
    fields = json.loads(content)
    if isinstance(fields, dict) and "born" in fields and fields["born"] is None:
        raise FieldError("born", A_WHOLE_NUMBER, "null")
    return DeregistrationBody.model_validate(fields).born
