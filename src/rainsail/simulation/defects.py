"""Known-bad variants: each breaks one mechanism, and a checker has to notice.

A variant replaces functions of the product for the length of a run; nothing in the product
knows of it. ``rainsail defects`` lists them, ``rainsail simulate --defect NAME`` runs with one.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from typing import Any

from expression import Ok
from twisted.internet.defer import succeed

from rainsail.assembly.gateway import NativeGatewayNode
from rainsail.batch import preemption
from rainsail.batch.interface import BatchAllowance
from rainsail.batch.item_runner import LeasedItemRun
from rainsail.batch.policies.preemptive import PreemptivePolicy
from rainsail.control import config_view
from rainsail.control.config_leases import ConfigLeaseTable
from rainsail.control.config_view import ConfigView
from rainsail.control.group_control import GroupControl
from rainsail.control.item_leases import ItemLeaseTable
from rainsail.engine.interface import Priority
from rainsail.errors import Outcome
from rainsail.gateway import attempt_sender, attempts, retry, runner_state
from rainsail.gateway import request as request_machine
from rainsail.simulation.disk import SimulatedDisk
from rainsail.simulation.fault_plan import FaultAction, FaultKind
from rainsail.state.change_window import ChangeWindow
from rainsail.state.claims import ClaimStore
from rainsail.state.commands import ClaimResult, CommitVerdict, JobPhase
from rainsail.state.item_leases import ItemLeases
from rainsail.state.job_items import COMPLETED
from rainsail.state.ledger import BatchLedger

Replacement = Callable[[Any], Any]
"""Takes the original and returns what stands in for it."""


@dataclass(frozen=True, slots=True)
class Patch:
    """Replace ``owner.attribute`` by ``make(original)``."""

    owner: Any
    attribute: str
    make: Replacement


@dataclass(frozen=True, slots=True)
class Defect:
    """A known-bad variant and the checkers of which one has to notice it."""

    name: str
    checkers: tuple[str, ...]
    description: str
    patches: tuple[Patch, ...]
    demonstration: tuple[FaultAction, ...] = ()
    """Failures under which one short run shows the defect (none needed when empty)."""


def _fault(kind: FaultKind, target: str, start_s: float, duration_s: float) -> FaultAction:
    return FaultAction(kind=kind, target=target, start_s=start_s, duration_s=duration_s)


_POWER_LOSS = (_fault(FaultKind.POWER_LOSS, "", 24.0, 2.0),)
_DEGRADED_NETWORK = (_fault(FaultKind.DEGRADED_NETWORK, "", 10.0, 30.0),)
_ZONE_CUT = (_fault(FaultKind.ZONE_CUT, "gye-c", 12.0, 25.0),)
_LOST_ANSWERS = (_fault(FaultKind.LOST_ANSWERS, "", 12.0, 25.0),)
_RUNNER_DRAIN = (_fault(FaultKind.RUNNER_DRAIN, "reports-1", 12.0, 28.0),)
_MUTED_ENGINES = tuple(
    _fault(FaultKind.ENGINE_REPLIES_LOST, f"positions-{number}", 12.0, 15.0) for number in (1, 2)
)
_ENGINE_CRASHES = tuple(
    _fault(FaultKind.ENGINE_CRASH, f"reports-{number}", 14.0, 10.0) for number in (1, 2, 3)
)
_GATEWAY_CRASHES = tuple(
    _fault(FaultKind.GATEWAY_CRASH, f"gateway-gye-{zone}", 14.0, 5.0) for zone in "ab"
)
_GATEWAY_STOPS = tuple(
    _fault(FaultKind.GATEWAY_PLANNED_STOP, f"gateway-gye-{zone}", 20.0, 10.0) for zone in "ab"
)
_STALE_REPLICAS = (
    *_DEGRADED_NETWORK,
    _fault(FaultKind.ONE_WAY_LOSS, "replica-3", 12.0, 15.0),
    _fault(FaultKind.ZONE_CUT, "gye-c", 22.0, 16.0),
)


def _always(value: Any) -> Replacement:
    return lambda original: lambda *arguments, **keywords: value


# --- durability ----------------------------------------------------------------------------


def _sync_without_disk(original: Any) -> Any:
    """Report a sync as done although nothing reached the disk."""

    def start_sync(self: Any, step: str, path: str, settle: Any, file: Any = None) -> Any:
        return original(self, step, path, lambda: None, file)

    return start_sync


# --- batch ledger --------------------------------------------------------------------------


def _commit_without_fence(original: Any) -> Any:
    """Count every result that comes in, whoever sends it and how often."""

    def commit_one(self: Any, holder: str, result: Any) -> CommitVerdict:
        ref = result.ref
        job = self._jobs.get(ref.job_id)
        if job is None or (job.phase is JobPhase.SEALED and not _is_completed(job, ref.index)):
            return original(self, holder, result)
        if job.phase is not JobPhase.SEALED:
            return CommitVerdict.COMMITTED
        job.completed += 1
        self.complete_if_done(job)
        return CommitVerdict.COMMITTED

    return commit_one


def _is_completed(job: Any, index: int) -> bool:
    return bool(job.items.phases[index] == COMPLETED)


def _open_without_key(original: Any) -> Any:
    """Make a new job of every submission."""

    def open_job(self: Any, command: Any) -> Any:
        known = self._jobs.get(command.job_id)
        if known is None:
            return original(self, command)
        number = sum(1 for job_id in self._jobs if job_id.startswith(command.job_id))
        spec = replace(command.spec, job_key=f"{command.spec.job_key}+{number}")
        return original(self, replace(command, job_id=f"{command.job_id}+{number}", spec=spec))

    return open_job


def _cancel_in_name_only(original: Any) -> Any:
    """Answer a cancel as done and leave the job running."""

    def cancel(self: Any, command: Any) -> Any:
        job = self._jobs.get(command.job_id)
        if job is None or job.phase is not JobPhase.SEALED:
            return original(self, command)
        return replace(job.view(), phase=JobPhase.CANCELLED)

    return cancel


# --- online --------------------------------------------------------------------------------


def _take_every_chunk(original: Any) -> Any:
    """Pass every chunk on, whichever attempt or place it belongs to."""

    def on_chunk(self: Any, chunk: Any) -> None:
        self.attempt.next_sequence = max(self.attempt.next_sequence, chunk.sequence + 1)
        self.attempt.deliver(chunk.text, chunk.tokens)

    return on_chunk


def _start_as_online(original: Any) -> Any:
    def start(self: Any, priority: Priority) -> None:
        original(self, Priority.HIGH)

    return start


def _replay_without_prefix(original: Any) -> Any:
    def request(self: Any, prompt: str, fence: int, forced_prefix: str) -> Any:
        return original(self, prompt, fence, "")

    return request


def _ignore_drain(original: Any) -> Any:
    def takes_new_work(state: Any, now_s: float) -> bool:
        return bool(state.loaded_version())

    return takes_new_work


def _stop_at_once(original: Any) -> Any:
    def planned_stop(self: Any) -> Any:
        self.stop()
        return succeed(None)

    return planned_stop


# --- configuration -------------------------------------------------------------------------


async def _read_anywhere(self: Any, step: str) -> Any:
    return Ok(None)


def _forget_answers(original: Any) -> Any:
    return lambda self, command: None


def _grant_every_claim(original: Any) -> Any:
    def claim(self: Any, command: Any) -> Any:
        original(self, command)
        return ClaimResult(True, command.gateway, Outcome.UNKNOWN)

    return claim


_DEFECTS = (
    Defect(
        "ack-before-sync",
        ("exactly_once", "linearizable_read", "changes"),
        "replicas acknowledge writes that never reach the disk",
        (Patch(SimulatedDisk, "start_sync", _sync_without_disk),),
        _POWER_LOSS,
    ),
    Defect(
        "no-result-fence",
        ("exactly_once",),
        "a result that comes again is counted again",
        (Patch(ItemLeases, "_commit_one", _commit_without_fence),),
        _DEGRADED_NETWORK,
    ),
    Defect(
        "no-job-key",
        ("exactly_once",),
        "a re-sent job becomes another job",
        (Patch(BatchLedger, "open", _open_without_key),),
    ),
    Defect(
        "cancel-not-revoking",
        ("cancellation",),
        "a cancel is answered but the job's items run on",
        (Patch(BatchLedger, "cancel", _cancel_in_name_only),),
    ),
    Defect(
        "lease-never-lapses",
        ("exactly_once",),
        "items of a dead dispatcher are never handed out again",
        (Patch(ItemLeaseTable, "lapsed", _always([])),),
        _GATEWAY_CRASHES,
    ),
    Defect(
        "no-preemption",
        ("online_first",),
        "batch fills the engines like online work and never steps aside",
        (
            Patch(preemption, "choose_victims", _always([])),
            Patch(LeasedItemRun, "start", _start_as_online),
            Patch(PreemptivePolicy, "allowance", _always(BatchAllowance(64, "defect"))),
        ),
    ),
    Defect(
        "no-attempt-check",
        ("whole_answer",),
        "late, doubled and misplaced chunks are passed on to callers",
        (Patch(attempts.AttemptLink, "on_chunk", _take_every_chunk),),
        _DEGRADED_NETWORK,
    ),
    Defect(
        "replay-without-prefix",
        ("whole_answer",),
        "a replayed stream begins at its beginning again",
        (Patch(attempt_sender.AttemptSender, "_request", _replay_without_prefix),),
        _ENGINE_CRASHES,
    ),
    Defect(
        "refuse-after-send",
        ("refusal_truth",),
        "every failure is answered as not run",
        (Patch(request_machine, "failure_outcome", _always(Outcome.NOT_RUN)),),
        _MUTED_ENGINES,
    ),
    Defect(
        "retry-any",
        ("at_most_once",),
        "non-repeatable requests are sent again after a failure",
        (Patch(retry, "may_send_again", _always(True)),),
        _MUTED_ENGINES,
    ),
    Defect(
        "no-claim",
        ("at_most_once",),
        "a non-repeatable request that is re-sent to another gateway runs again",
        (Patch(ClaimStore, "claim", _grant_every_claim),),
        _LOST_ANSWERS,
    ),
    Defect(
        "ignore-drain",
        ("drain",),
        "gateways go on sending to runners that leave",
        (Patch(runner_state, "takes_new_work", _ignore_drain),),
        _RUNNER_DRAIN,
    ),
    Defect(
        "stop-at-once",
        ("planned_stop",),
        "a gateway asked to stop drops what is in progress",
        (Patch(NativeGatewayNode, "planned_stop", _stop_at_once),),
        _GATEWAY_STOPS,
    ),
    Defect(
        "no-config-lease",
        ("in_force",),
        "a gateway that is cut off goes on admitting work",
        (Patch(ConfigView, "lease_valid", lambda original: lambda self: self._listed),),
        _ZONE_CUT,
    ),
    Defect(
        "in-force-too-early",
        ("in_force",),
        "a revision is called in force before every gateway has it",
        (
            Patch(
                ConfigLeaseTable,
                "in_force_revision",
                lambda original: lambda self, revision, now_s: revision,
            ),
        ),
        _ZONE_CUT,
    ),
    Defect(
        "revision-may-fall",
        ("no_revert", "linearizable_read", "in_force"),
        "any replica answers reads from what it has, and gateways take lower revisions",
        (
            Patch(config_view, "revision_admitted", _always(True)),
            Patch(GroupControl, "serving", _always(True)),
            Patch(GroupControl, "linearizable_read", lambda original: _read_anywhere),
        ),
        _STALE_REPLICAS,
    ),
    Defect(
        "no-change-window",
        ("changes",),
        "a change re-sent after a lost answer is judged anew",
        (Patch(ChangeWindow, "first_answer", _forget_answers),),
    ),
)

DEFECTS: dict[str, Defect] = {defect.name: defect for defect in _DEFECTS}


@contextmanager
def applied_defect(name: str) -> Iterator[None]:
    """Run the block with a known-bad variant in place (none for an empty name)."""
    patches = DEFECTS[name].patches if name else ()
    originals = [getattr(patch.owner, patch.attribute) for patch in patches]
    for patch, original in zip(patches, originals, strict=True):
        setattr(patch.owner, patch.attribute, patch.make(original))
    try:
        yield
    finally:
        for patch, original in zip(patches, originals, strict=True):
            setattr(patch.owner, patch.attribute, original)
