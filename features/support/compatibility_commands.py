"""Commands of every kind, for data folders that later versions must still read.

Each function runs one round of commands against a state: ``apply`` applies the next command and
returns its outcome. Two rounds with different names follow one another, one before a folder's
snapshot and one behind it.
"""

from collections.abc import Callable
from typing import Any

from rainsail.errors import Outcome
from rainsail.resources.specs import (
    AdapterSpec,
    Condition,
    GatewaySpec,
    Kind,
    ModelVersionSpec,
    ReplicaSpec,
    RequestClass,
    ResourceKey,
    RunnerRole,
    RunnerSpec,
    RunnerStatus,
    ServiceSpec,
    ServiceStatus,
    SessionSpec,
    TenantSpec,
)
from rainsail.state.cluster_commands import (
    FoundLedger,
    HoldRequest,
    ReleaseNode,
    ReleaseRequest,
    ReplaceTable,
    SetZoneDrain,
)
from rainsail.state.commands import (
    MUST_NOT_EXIST,
    AddItems,
    AppendTurn,
    AttachSession,
    CancelJob,
    ClaimRequest,
    CommitResults,
    DeleteResource,
    FinishRequest,
    ForgetJob,
    ItemBody,
    ItemResult,
    JobSpec,
    LeaseItems,
    MarkInForce,
    NoOperation,
    OpenJob,
    PutResource,
    PutStatus,
    ReturnedItem,
    ReturnItems,
    RevokeLeases,
    SealJob,
    Turn,
)
from rainsail.state.job_commands import (
    AcceptJob,
    DropRelayedJob,
    EndRelayedJob,
    ItemHeader,
    ItemNote,
    ItemOutcome,
    ListOutcomes,
    NoteProgress,
    RelayedItem,
)

Apply = Callable[[Any], Any]

DEADLINE_UNIX_S = 1_800_000_000.0
MOST_TOKENS = 1_000_000


def apply_root_commands(apply: Apply, name: str) -> None:
    """Run one round of every command of a native replica's state; ``name`` marks its objects."""
    apply_resource_commands(apply, name)
    apply_claims_and_sessions(apply, name)
    apply_ledger_commands(apply, name)


def apply_resource_commands(apply: Apply, name: str) -> None:
    """Declare a resource of every kind, report statuses, delete one and lose a race."""
    specs = {
        Kind.TENANT: TenantSpec(1200.0, 5000.0, 2.5, ("ab" * 32,), operator=True),
        Kind.SERVICE: ServiceSpec(f"version-{name}", 2, RequestClass.BATCH, 0.75),
        Kind.MODEL_VERSION: ModelVersionSpec(f"service-{name}", f"weights-{name}", 7_000_000),
        Kind.ADAPTER: AdapterSpec(f"service-{name}", f"adapter-weights-{name}", 40_000),
        Kind.SESSION: SessionSpec(f"tenant-{name}", f"service-{name}", f"adapter-{name}"),
        Kind.RUNNER: RunnerSpec(
            "http://10.0.0.7:8000",
            "south",
            "south-a",
            f"service-{name}",
            True,
            RunnerRole.MIXED,
            12,
        ),
        Kind.GATEWAY: GatewaySpec("south", "south-a", f"incarnation-{name}", drain=True),
        Kind.REPLICA: ReplicaSpec("south", "south-b", drain=True),
    }
    for kind, spec in specs.items():
        object_name = f"{kind.value.lower()}-{name}"
        change = f"put-{object_name}"
        apply(PutResource(change, ResourceKey(kind, object_name), spec, MUST_NOT_EXIST))
    service = ResourceKey(Kind.SERVICE, f"service-{name}")
    apply(PutResource(f"lost-race-{name}", service, specs[Kind.SERVICE], MUST_NOT_EXIST))
    condition = Condition("Ready", True, "weights are loaded", 3)
    runner_status = RunnerStatus(
        f"version-{name}", f"next-{name}", (f"adapter-{name}",), 9, True, False
    )
    runner = ResourceKey(Kind.RUNNER, f"runner-{name}")
    apply(PutStatus(runner, runner_status, (condition,)))
    apply(PutStatus(service, ServiceStatus(2, f"version-{name}"), ()))
    replica = ResourceKey(Kind.REPLICA, f"replica-{name}")
    apply(DeleteResource(f"delete-replica-{name}", replica))
    apply(MarkInForce(5))
    apply(NoOperation())


def apply_claims_and_sessions(apply: Apply, name: str) -> None:
    """Claim two requests and finish one; move a session, add a turn and remove another session."""
    tenant = f"tenant-{name}"
    apply(ClaimRequest(tenant, f"finished-{name}", "digest-1", "gateway-a/1"))
    apply(ClaimRequest(tenant, f"open-{name}", "digest-2", "gateway-a/2"))
    response = '{"text": "done"}'
    apply(FinishRequest(tenant, f"finished-{name}", "gateway-a/1", Outcome.COMPLETED, response))
    session = f"session-{name}"
    apply(AttachSession(session, "gateway-a", f"runner-{name}", 0))
    fence = apply(AttachSession(session, "gateway-b", f"runner-{name}", 1)).fence
    apply(AppendTurn(session, fence, 0, Turn("How are you?", "Well.", f"request-{name}")))
    removed = f"removed-session-{name}"
    key = ResourceKey(Kind.SESSION, removed)
    apply(PutResource(f"put-{removed}", key, SessionSpec(tenant, f"service-{name}")))
    apply(AttachSession(removed, "gateway-a", f"runner-{name}", 0))
    apply(DeleteResource(f"delete-{removed}", key))


def apply_ledger_commands(apply: Apply, name: str) -> None:
    """Run batch jobs: one half done, one cancelled, one forgotten."""
    _apply_half_done_job(apply, name)
    _accept_job(apply, f"cancelled-{name}", name, ("one", "two"))
    apply(CancelJob(f"cancelled-{name}", f"cancel-{name}"))
    _accept_job(apply, f"forgotten-{name}", name, ())
    apply(ForgetJob(f"forgotten-{name}"))
    apply(NoOperation())


def _apply_half_done_job(apply: Apply, name: str) -> None:
    """Leave items of each phase: finished, set aside, waiting with a prefix, and leased."""
    job = f"job-{name}"
    holder = f"gateway-a/{name}"
    service = f"service-{name}"
    _accept_job(apply, job, name, ("done", "given up", "interrupted", "held", "revoked"))
    leased = apply(LeaseItems(holder, f"lease-{name}", service, 4, MOST_TOKENS)).items
    done, given_up, interrupted, _ = (item.ref for item in leased)
    apply(CommitResults(holder, (ItemResult(done, "the whole text", 3),)))
    returned = (
        ReturnedItem(given_up, "", "the engine refused the prompt"),
        ReturnedItem(interrupted, "the first half"),
    )
    apply(ReturnItems(holder, returned))
    revoked_holder = f"gateway-b/{name}"
    apply(LeaseItems(revoked_holder, f"lease-{name}", service, 1, MOST_TOKENS))
    apply(RevokeLeases(revoked_holder))


def _accept_job(apply: Apply, job: str, name: str, items: tuple[str, ...]) -> None:
    spec = JobSpec(
        f"key-of-{job}",
        f"tenant-{name}",
        f"service-{name}",
        len(items),
        f"digest-of-{job}",
        DEADLINE_UNIX_S,
        f"adapter-{name}",
        1,
        2.5,
    )
    apply(OpenJob(job, spec))
    bodies = tuple(ItemBody(f"item {text}", f"Prompt of {text}", 64) for text in items)
    apply(AddItems(job, 0, bodies))
    apply(SealJob(job))


def apply_fleet_commands(apply: Apply, name: str) -> None:
    """Run one round of every command of a relaying fleet's root group."""
    number = 1 if name == "first" else 2
    table = f'{{"version": {number}, "services": []}}'.encode()
    apply(NoOperation())
    apply(ReplaceTable(number, table))
    apply(FoundLedger((f"10.0.{number}.1:7000", f"10.0.{number}.2:7000")))
    apply(ReleaseNode(f"10.0.{number}.3:7000"))
    apply(SetZoneDrain(f"zone-{name}", True, 0))
    apply(SetZoneDrain(f"zone-{name}", False, 0))
    apply(SetZoneDrain("zone-of-both", number == 1, number - 1))
    held, released, forgotten = (f"{name} request {part}".encode().ljust(32) for part in range(3))
    for fingerprint in (held, released, forgotten):
        apply(HoldRequest(fingerprint))
    apply(ReleaseRequest(released, 1, False))
    apply(ReleaseRequest(forgotten, 1, True))


def apply_relayed_job_commands(apply: Apply, name: str) -> None:
    """Run one round of every command of a relaying fleet's ledger."""
    at_s = 100.5 if name == "first" else 200.25
    apply(NoOperation())
    for job in (f"open-{name}", f"ended-{name}", f"dropped-{name}"):
        apply(AcceptJob(job, f"tenant-{name}", "model.example", "/v1", _relayed_items(), at_s))
        apply(ListOutcomes(job, (ItemOutcome(0, True, "first\nsecond"), ItemOutcome(3, False, ""))))
    job = f"open-{name}"
    apply(NoteProgress((ItemNote(job, 1, -1, 1, ("one", "two")),), at_s + 1))
    apply(NoteProgress((ItemNote(job, 1, 1, 2, ("three",)), ItemNote(job, 2, -1, 0, ("a",))), at_s))
    apply(EndRelayedJob(f"ended-{name}"))
    apply(DropRelayedJob(f"dropped-{name}"))


def _relayed_items() -> tuple[RelayedItem, ...]:
    headers = (ItemHeader("content-type", "application/json"), ItemHeader("x-item", "yes"))
    return tuple(
        RelayedItem(f"item-{number}", "/v1/chat", headers, f"body {number}".encode(), 30 + number)
        for number in range(4)
    )
