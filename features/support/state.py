"""Helpers that apply commands to a replicated state in steps."""

from dataclasses import dataclass, field

from rainsail.resources.specs import Kind, ResourceKey, TenantSpec
from rainsail.state.commands import (
    ANY_REVISION,
    AddItems,
    Command,
    CommandOutcome,
    CommitResults,
    ItemBody,
    ItemRef,
    ItemResult,
    ItemsLeased,
    JobSpec,
    JobView,
    LeasedItem,
    LeaseItems,
    OpenJob,
    PutResource,
    ResultsCommitted,
    SealJob,
)
from rainsail.state.machine import ReplicatedState
from rainsail.state.settings import StateSettings

SERVICE = "reports"
DEADLINE_UNIX_S = 1_800_000_000.0
PLENTY_OF_TOKENS = 10**9


@dataclass
class Driver:
    """A replicated state and all commands applied to it; their number is the log index."""

    state: ReplicatedState = field(default_factory=ReplicatedState)
    commands: list[Command] = field(default_factory=list)

    def apply(self, command: Command) -> CommandOutcome:
        """Apply the next command."""
        self.commands.append(command)
        return self.state.apply(len(self.commands), command)

    def restart(self, settings: StateSettings | None = None) -> None:
        """Replace the state by one restored from its snapshot."""
        chunks = list(self.state.snapshot())
        self.state = ReplicatedState(settings)
        self.state.restore(chunks)

    def accept(self, job_id: str, items: int, **fields: object) -> JobView:
        """Open, fill and seal a job."""
        self.apply(OpenJob(job_id, job_spec(job_id, items, **fields)))
        self.apply(AddItems(job_id, 0, bodies(0, items)))
        outcome = self.apply(SealJob(job_id))
        assert isinstance(outcome, JobView), outcome
        return outcome

    def lease(self, holder: str, request_id: str, items: int) -> tuple[LeasedItem, ...]:
        """Lease items of the service."""
        command = LeaseItems(holder, request_id, SERVICE, items, PLENTY_OF_TOKENS)
        outcome = self.apply(command)
        assert isinstance(outcome, ItemsLeased), outcome
        return outcome.items

    def commit(self, holder: str, ref: ItemRef, text: str) -> str:
        """Commit one result and return the verdict."""
        outcome = self.apply(CommitResults(holder, (ItemResult(ref, text, 3),)))
        assert isinstance(outcome, ResultsCommitted), outcome
        return str(outcome.verdicts[0])


def job_spec(name: str, items: int, **fields: object) -> JobSpec:
    """Return a job's spec; its key and content digest follow from name and count."""
    values: dict[str, object] = {
        "job_key": name,
        "tenant": "north",
        "service": SERVICE,
        "item_count": items,
        "content_digest": f"digest-{name}-{items}",
        "deadline_unix_s": DEADLINE_UNIX_S,
    }
    values.update(fields)
    return JobSpec(**values)  # type: ignore[arg-type]


def body(index: int) -> ItemBody:
    """Return the body of an item."""
    return ItemBody(f"item-{index}", f"summarise {index}", 16)


def bodies(first: int, count: int) -> tuple[ItemBody, ...]:
    """Return consecutive bodies."""
    return tuple(body(index) for index in range(first, first + count))


def put_tenant(change_id: str, weight: float, expected: int = ANY_REVISION) -> PutResource:
    """Return a change of the tenant ``north`` to a weight."""
    key = ResourceKey(Kind.TENANT, "north")
    return PutResource(change_id, key, TenantSpec(100.0, 200.0, weight), expected)
