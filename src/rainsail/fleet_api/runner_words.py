"""What a runner says of itself, read strictly.

Words may come from other writers than runners: with fields missing, of another type, or out of
range. Such a word names no runner. A number that the wire between nodes can't carry would end the
push to every one of them.
"""

import json
from typing import Annotated, Any

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

from rainsail.cluster.messages import RunnerRecord, RunnerState
from rainsail.fleet_api.json_fields import A_WHOLE_NUMBER, FieldError
from rainsail.wire.address import parse_address

LONGEST_TEXT = 256
LARGEST_NUMBER = 2**63 - 1
MOST_SLOTS = 1_000_000
LONGEST_WARM_UP_S = 1e6


def _listening(address: str) -> str:
    if parse_address(address).port == 0:
        raise ValueError("nothing listens at port 0")
    return address


Text = Annotated[str, Field(min_length=1, max_length=LONGEST_TEXT)]
Whole = Annotated[int, Field(ge=0, le=LARGEST_NUMBER)]


class RunnerBody(BaseModel):
    """A runner's word about itself; ``born`` is in milliseconds since 1970, 0 where not told."""

    model_config = ConfigDict(frozen=True, extra="ignore", strict=True)

    service: Text
    address: Annotated[Text, AfterValidator(_listening)]
    zone: str = Field(default="", max_length=LONGEST_TEXT)
    slots: int = Field(default=1, ge=1, le=MOST_SLOTS)
    state: RunnerState = Field(default=RunnerState.READY, strict=False)
    warm_up_left_s: float = Field(default=0.0, ge=0, le=LONGEST_WARM_UP_S, allow_inf_nan=False)
    sequence: Whole
    born: Whole = 0


class LeaveBody(BaseModel):
    """A runner's last word; without ``born`` it stands for the life that is known."""

    model_config = ConfigDict(frozen=True, extra="ignore", strict=True)

    born: Whole | None = None


def read_word(runner: str, fields: Any) -> RunnerRecord:
    """Return what a runner says; raises one of ``json_fields.UNREADABLE``."""
    if not runner or len(runner) > LONGEST_TEXT:
        raise ValueError(f"the runner's id: expected 1 to {LONGEST_TEXT} characters")
    body = RunnerBody.model_validate(fields)
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


def read_leave(content: bytes) -> int | None:
    """Return when the life that leaves was born, None where it doesn't say; may raise."""
    if not content.strip():
        return None
    fields = json.loads(content)
    if isinstance(fields, dict) and "born" in fields and fields["born"] is None:
        raise FieldError("born", A_WHOLE_NUMBER, "null")
    return LeaveBody.model_validate(fields).born
