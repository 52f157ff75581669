"""The records of a trace: requests, jobs and operators' changes with their arrival times.

Times are seconds from the start of the trace, deadlines seconds from the arrival. A trace keeps
the shape of a prompt, not its text, unless the recording was told to keep texts.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum

from rainsail.resources.specs import RequestClass, ResourceKey, Spec
from rainsail.wire.names import wire_type

SHORTEST_CANCEL_S = 0.001
"""A cancel seen before its job's arrival (on another gateway's clock) comes right after it."""


class TraceSource(StrEnum):
    """Where a trace comes from."""

    GENERATED = "generated"
    RECORDED = "recorded"


@wire_type("TraceOrigin")
@dataclass(frozen=True, slots=True)
class TraceOrigin:
    """The first record of a trace.

    ``seed`` is 0 for a recorded one, ``started_unix_s`` (when time 0 was) for a generated one.
    """

    site: str
    source: TraceSource
    seed: int
    duration_s: float
    started_unix_s: float = 0.0


@wire_type("PromptShape")
@dataclass(frozen=True, slots=True)
class PromptShape:
    """What a prompt costs and shares.

    Prompts with the same ``template`` begin with the same ``template_characters``;
    ``own_characters`` follow that no other prompt shares. ``text`` is empty unless texts were
    recorded.
    """

    template: str
    template_characters: int
    own_characters: int
    text: str = ""


@wire_type("TracedRequest")
@dataclass(frozen=True, slots=True)
class TracedRequest:
    """One request of a caller; ``origin`` is the zone that it came in at (empty: any)."""

    at_s: float
    request_id: str
    origin: str
    tenant: str
    service: str
    class_: RequestClass
    prompt: PromptShape
    max_tokens: int
    seed: int = 0
    deadline_s: float = 0.0
    session: str = ""
    adapter: str = ""


@wire_type("TracedItem")
@dataclass(frozen=True, slots=True)
class TracedItem:
    """One item of a job."""

    custom_id: str
    prompt: PromptShape
    max_tokens: int


@wire_type("TracedJob")
@dataclass(frozen=True, slots=True)
class TracedJob:
    """One batch job; ``cancel_after_s`` is 0 when nobody cancelled it.

    A job has ``item_count`` items, of which a recording keeps the first: the others repeat them
    in turn.
    """

    at_s: float
    job_key: str
    origin: str
    tenant: str
    service: str
    deadline_s: float
    items: tuple[TracedItem, ...]
    item_count: int
    cancel_after_s: float = 0.0
    adapter: str = ""


@wire_type("TracedCancel")
@dataclass(frozen=True, slots=True)
class TracedCancel:
    """A cancel that was answered as done; reading a trace puts it into its job."""

    at_s: float
    tenant: str
    job_key: str


@wire_type("TracedChange")
@dataclass(frozen=True, slots=True)
class TracedChange:
    """One change of a resource by an operator."""

    at_s: float
    change_id: str
    operator: str
    key: ResourceKey
    spec: Spec


TraceEntry = TracedRequest | TracedJob | TracedChange


@wire_type("TraceRecord")
@dataclass(frozen=True, slots=True)
class TraceRecord:
    """One record of a trace file."""

    entry: TraceOrigin | TracedRequest | TracedJob | TracedCancel | TracedChange


@dataclass(frozen=True, slots=True)
class Trace:
    """A whole trace; each kind in order of arrival."""

    origin: TraceOrigin
    requests: tuple[TracedRequest, ...] = ()
    jobs: tuple[TracedJob, ...] = ()
    changes: tuple[TracedChange, ...] = field(default=())

    def entries(self) -> list[TraceEntry]:
        """Return every entry in order of arrival."""
        both: list[TraceEntry] = [*self.requests, *self.jobs, *self.changes]
        return sorted(both, key=lambda entry: entry.at_s)


def make_trace(origin: TraceOrigin, entries: Iterable[TraceEntry | TracedCancel]) -> Trace:
    """Return a trace of entries in any order."""
    ordered = sorted(entries, key=lambda entry: entry.at_s)
    cancels = {(e.tenant, e.job_key): e.at_s for e in ordered if isinstance(e, TracedCancel)}
    return Trace(
        origin,
        tuple(entry for entry in ordered if isinstance(entry, TracedRequest)),
        tuple(_cancelled(entry, cancels) for entry in ordered if isinstance(entry, TracedJob)),
        tuple(entry for entry in ordered if isinstance(entry, TracedChange)),
    )


def _cancelled(job: TracedJob, cancels: dict[tuple[str, str], float]) -> TracedJob:
    cancelled_at_s = cancels.get((job.tenant, job.job_key))
    if cancelled_at_s is None:
        return job
    return replace(job, cancel_after_s=max(cancelled_at_s - job.at_s, SHORTEST_CANCEL_S))
