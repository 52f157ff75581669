"""The outcomes file: what must become of a trace's requests and jobs, stated in TOML.

Each ``[[outcomes]]`` entry names what it is about (``of``) and one requirement (``require``).
"""

from pathlib import Path
from typing import Annotated, Any, Literal, Self

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.resources.specs import RequestClass
from rainsail.runtime.files import read_bounded
from rainsail.runtime.toml import parse_toml

STEP = "outcomes.read"
MAX_FILE_BYTES = 4 * 1024 * 1024
_STRICT = ConfigDict(frozen=True, extra="forbid")

Share = Annotated[float, Field(ge=0.0, le=1.0, allow_inf_nan=False)]
Seconds = Annotated[float, Field(gt=0.0, allow_inf_nan=False)]
Ids = tuple[Annotated[str, Field(min_length=1)], ...]


class Selection(BaseModel):
    """What an outcome is about: all that matches every key given."""

    model_config = _STRICT

    class_: RequestClass | None = Field(
        default=None, alias="class", description="online, non_repeatable, or batch for jobs."
    )
    service: str | None = Field(default=None, description="Service that is called.")
    tenant: str | None = Field(default=None, description="Tenant that calls.")
    requests: Ids = Field(default=(), description="Request ids; each must be in the trace.")
    jobs: Ids = Field(default=(), description="Job keys; each must be in the trace.")

    @model_validator(mode="after")
    def _check_named(self) -> Self:
        if self.requests and self.jobs:
            raise ValueError("requests and jobs: name one or the other")
        if not self.model_fields_set:
            raise ValueError("expected class, service, tenant, requests or jobs")
        return self


class _Stated(BaseModel):
    model_config = _STRICT

    name: str = Field(min_length=1, description="What is stated, in a few words.")
    of: Selection = Field(description="The requests or jobs that it is stated of.")


class EndsWith(_Stated):
    """At least ``least_share`` of them end with one of the outcomes named."""

    require: Literal["outcome"]
    outcome: Annotated[tuple[Outcome, ...], Field(min_length=1)] = Field(
        description="Final outcomes that are right: completed, not_run, unknown."
    )
    least_share: Share = Field(default=1.0, description="Share that must end so.")


class Whole(_Stated):
    """Every completed answer is the whole right one; what a broken one carried is a prefix."""

    require: Literal["whole"]


class Within(_Stated):
    """At the percentile the latency is at most the bound; what never completed counts as over."""

    require: Literal["latency"]
    measure: Literal["first_part", "answer"] = Field(
        default="answer", description="Time to the first part or to the end of the answer."
    )
    percentile: Annotated[float, Field(gt=0.0, le=100.0, allow_inf_nan=False)] = Field(
        description="Nearest-rank percentile, as in 99."
    )
    within_s: Seconds = Field(description="Bound in seconds from the first send.")


class InOrder(_Stated):
    """Answers end in the order of arrival, among the requests that share the key."""

    require: Literal["order"]
    per: Literal["session", "tenant", "selection"] = Field(
        default="session", description="Which requests are put in order among themselves."
    )


class AtMostOnce(_Stated):
    """Engines take each request up at most once; a job key is accepted as one job."""

    require: Literal["at_most_once"]


class CompletedBy(_Stated):
    """All complete by the deadline: the one in the trace, or ``within_s`` after arrival."""

    require: Literal["deadline"]
    within_s: Seconds | None = Field(
        default=None, description="Seconds from arrival; left out: the trace's own deadline."
    )
    least_share: Share = Field(default=1.0, description="Share that must complete in time.")


StatedOutcome = Annotated[
    EndsWith | Whole | Within | InOrder | AtMostOnce | CompletedBy, Field(discriminator="require")
]


class OutcomesFile(BaseModel):
    """A whole outcomes file."""

    model_config = _STRICT

    outcomes: Annotated[tuple[StatedOutcome, ...], Field(min_length=1)] = Field(
        description="What must hold."
    )

    @model_validator(mode="after")
    def _check_names(self) -> Self:
        seen: dict[str, None] = {}
        for outcome in self.outcomes:
            if outcome.name in seen:
                raise ValueError(f"the name {outcome.name!r} stands twice")
            seen[outcome.name] = None
        return self


def read_outcomes(path: Path) -> Result[OutcomesFile, Fault]:
    """Read an outcomes file; the fault names the file and the key path."""
    content = read_bounded(path, MAX_FILE_BYTES)
    if content.is_error():
        return _invalid(path, content.error)
    try:
        tree = parse_toml(content.ok.decode())
    except (ValueError, RecursionError) as error:
        return _invalid(path, f"expected TOML: {error}")
    try:
        return Ok(OutcomesFile.model_validate(tree))
    except ValidationError as error:
        return _invalid(path, _explain(error))


def _explain(error: ValidationError) -> str:
    first = error.errors(include_url=False)[0]
    place = _key_path(first["loc"])
    message = first["msg"].removeprefix("Value error, ")
    return f"{place}: {message}" if place else message


_REQUIREMENTS = ("outcome", "whole", "latency", "order", "at_most_once", "deadline")


def _key_path(location: tuple[int | str, ...]) -> str:
    """Return the path as in the file; pydantic adds the requirement's name after the index."""
    text = ""
    for number, part in enumerate(location):
        if number == 2 and part in _REQUIREMENTS:
            continue
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")


def _invalid(path: Path, detail: str) -> Result[Any, Fault]:
    return Error(Fault(FaultCode.INVALID, STEP, f"{path}: {detail}"))
