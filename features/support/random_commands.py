"""Random commands of all types from a seed; many of them conflict with or repeat earlier ones."""

import sys
from random import Random

import xxhash
from features.support.state import SERVICE, bodies, job_spec, put_tenant

from rainsail.errors import Outcome
from rainsail.resources.specs import (
    Kind,
    ResourceKey,
    RunnerSpec,
    RunnerStatus,
    SessionSpec,
)
from rainsail.state.commands import (
    AddItems,
    AppendTurn,
    AttachSession,
    CancelJob,
    ClaimRequest,
    Command,
    CommandOutcome,
    CommitResults,
    DeleteResource,
    FinishRequest,
    ForgetJob,
    ItemRef,
    ItemResult,
    ItemsLeased,
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
from rainsail.state.machine import ReplicatedState
from rainsail.state.settings import StateSettings

SMALL_WINDOWS = StateSettings(
    change_window_count=6,
    event_window_count=8,
    finished_claim_window_count=4,
    open_claim_window_count=4,
    lease_requests_per_holder_count=2,
    lease_holder_window_count=2,
    snapshot_chunk_bytes=1_024,
)
RUNNER = ResourceKey(Kind.RUNNER, "engine-1")
SESSION = ResourceKey(Kind.SESSION, "chat")


class CommandSource:
    """Generates commands; equal seeds give equal commands."""

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._leased: list[tuple[str, ItemRef]] = []
        self._planned: list[Command] = []

    def observe(self, command: Command, outcome: CommandOutcome) -> None:
        """Record the leased items, so that later commands can refer to them."""
        if isinstance(command, LeaseItems) and isinstance(outcome, ItemsLeased):
            self._leased += [(command.holder, item.ref) for item in outcome.items]

    def draw(self) -> Command:
        """Return the next command."""
        if self._planned:
            return self._planned.pop(0)
        makers = [
            self._resource_command,
            self._job_command,
            self._item_command,
            self._item_command,
            self._claim_command,
            self._session_command,
        ]
        return self._random.choice(makers)()

    def _number(self, bound: int) -> int:
        return self._random.randrange(bound)

    def _holder(self) -> str:
        return f"holder-{self._number(3)}"

    def _job_id(self) -> str:
        return f"job-{self._number(4)}"

    def _resource_command(self) -> Command:
        change_id = f"change-{self._number(12)}"
        status = RunnerStatus(fence=self._number(3))
        runner = RunnerSpec("http://127.0.0.1:9", "south", "south-a", SERVICE)
        choices: list[Command] = [
            NoOperation(),
            put_tenant(change_id, 1.0 + self._number(3), self._number(6) - 1),
            PutResource(change_id, RUNNER, runner),
            DeleteResource(change_id, RUNNER),
            PutStatus(RUNNER, status, (), self._number(12) - 1),
            MarkInForce(self._number(20)),
        ]
        return self._random.choice(choices)

    def _job_command(self) -> Command:
        job_id = self._job_id()
        count = 2 * int(job_id[-1])
        spec = job_spec(job_id, count, tenant=f"tenant-{self._number(2)}", max_attempts=2)
        whole = [OpenJob(job_id, spec), AddItems(job_id, 0, bodies(0, count)), SealJob(job_id)]
        if self._number(3) == 0:
            self._planned += whole
        choices: list[Command] = [
            *whole,
            AddItems(job_id, self._number(4), bodies(self._number(4), 2)),
            CancelJob(job_id, f"change-{self._number(12)}"),
            ForgetJob(job_id),
        ]
        return self._random.choice(choices)

    def _item_command(self) -> Command:
        holder = self._holder()
        ref = ItemRef(self._job_id(), self._number(6), 1 + self._number(20))
        if self._leased and self._number(5):
            holder, ref = self._random.choice(self._leased[-6:])
        failure = self._random.choice(("", "failed"))
        request_id = f"request-{self._number(6)}"
        choices: list[Command] = [
            LeaseItems(holder, request_id, SERVICE, 1 + self._number(4), 60),
            LeaseItems(holder, request_id, SERVICE, 1 + self._number(4), 60),
            CommitResults(holder, (ItemResult(ref, f"text {self._number(9)}", 2),)),
            CommitResults(holder, (ItemResult(ref, f"text {self._number(9)}", 2),)),
            ReturnItems(holder, (ReturnedItem(ref, "so far", failure),)),
            RevokeLeases(holder),
        ]
        return self._random.choice(choices)

    def _claim_command(self) -> Command:
        request_id = f"ping-{self._number(8)}"
        gateway = f"gateway-{self._number(2)}"
        outcome = self._random.choice(list(Outcome))
        choices: list[Command] = [
            ClaimRequest("north", request_id, f"digest-{self._number(2)}", gateway),
            FinishRequest("north", request_id, gateway, outcome, "pong"),
        ]
        return self._random.choice(choices)

    def _session_command(self) -> Command:
        fence = self._number(5)
        gateway = f"gateway-{self._number(2)}"
        turn = Turn("where?", f"answer {self._number(3)}")
        change_id = f"session-change-{self._number(30)}"
        choices: list[Command] = [
            PutResource(change_id, SESSION, SessionSpec("north", SERVICE)),
            DeleteResource(change_id, SESSION),
            AttachSession("chat", gateway, "engine-1", fence),
            AppendTurn("chat", fence, self._number(3), turn),
        ]
        return self._random.choice(choices)


def snapshot_digest(seed: int, count: int) -> str:
    """Return the digest of the snapshot after ``count`` random commands."""
    state = ReplicatedState(SMALL_WINDOWS)
    source = CommandSource(seed)
    for index in range(1, count + 1):
        command = source.draw()
        source.observe(command, state.apply(index, command))
    digest = xxhash.xxh3_128()
    for chunk in state.snapshot():
        digest.update(chunk)
    return digest.hexdigest()


if __name__ == "__main__":
    print(snapshot_digest(int(sys.argv[1]), int(sys.argv[2])))
