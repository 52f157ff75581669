"""Random commands against the ledger, checked against a simple model of its guarantees."""

from dataclasses import dataclass, field
from random import Random

from features.support.state import SERVICE, Driver, bodies, job_spec
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from rainsail.state.commands import (
    AddItems,
    CancelJob,
    Command,
    CommitResults,
    CommitVerdict,
    ItemPhase,
    ItemRef,
    ItemResult,
    JobPhase,
    LeaseItems,
    OpenJob,
    ResultsCommitted,
    ReturnedItem,
    ReturnItems,
    RevokeLeases,
    SealJob,
)

HOLDERS = ("alpha", "beta", "gamma")
MAX_ATTEMPTS = 2


@dataclass
class ItemModel:
    """The expected state of one item."""

    end: ItemPhase | None = None
    text: str = ""
    lease: tuple[str, int] | None = None
    last_fence: int = 0
    failures: int = 0


@dataclass
class LedgerModel:
    """Expected state of all items, and the cancelled jobs."""

    items: dict[tuple[str, int], ItemModel] = field(default_factory=dict)
    cancelled: list[str] = field(default_factory=list)

    def leased(self, holder: str, ref: ItemRef) -> None:
        """Check and record a new lease."""
        item = self.items[ref.job_id, ref.index]
        assert item.end is None, f"{ref} was leased after its end"
        assert item.lease is None, f"{ref} was leased twice"
        assert ref.fence > item.last_fence, f"the fence of {ref} did not rise"
        item.lease = (holder, ref.fence)
        item.last_fence = ref.fence

    def committed(self, holder: str, result: ItemResult, verdict: CommitVerdict) -> None:
        """Check the verdict on a result and record its effect."""
        ref = result.ref
        item = self.items[ref.job_id, ref.index]
        if item.lease == (holder, ref.fence):
            expected = CommitVerdict.COMMITTED
            self._end(item, ItemPhase.COMPLETED, result.text)
        elif item.end is ItemPhase.COMPLETED:
            expected = CommitVerdict.ALREADY_COMMITTED
        elif item.end is ItemPhase.CANCELLED:
            expected = CommitVerdict.CANCELLED
        else:
            expected = CommitVerdict.FENCED
        assert verdict is expected, (ref, verdict, expected)

    def returned(self, holder: str, returned: ReturnedItem) -> None:
        """Record a returned item."""
        item = self.items[returned.ref.job_id, returned.ref.index]
        if item.lease != (holder, returned.ref.fence):
            return
        item.lease = None
        item.failures += bool(returned.failure)
        if item.failures >= MAX_ATTEMPTS:
            self._end(item, ItemPhase.SET_ASIDE, "")

    def revoked(self, holder: str) -> None:
        """Record that a holder's leases were revoked."""
        for item in self.items.values():
            if item.lease is not None and item.lease[0] == holder:
                item.lease = None

    def cancel(self, job_id: str) -> None:
        """Record the cancellation of an accepted job, unless all its items have ended."""
        own = [item for (job, _), item in self.items.items() if job == job_id]
        if all(item.end is not None for item in own):
            return
        self.cancelled.append(job_id)
        for item in own:
            if item.end is None:
                self._end(item, ItemPhase.CANCELLED, "")

    @staticmethod
    def _end(item: ItemModel, end: ItemPhase, text: str) -> None:
        assert item.end is None
        item.lease = None
        item.end = end
        item.text = text


class RandomRun:
    """One run of random commands, each checked against the model."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.driver = Driver()
        self.model = LedgerModel()
        self.refs: list[tuple[str, ItemRef]] = []
        self.leases: list[LeaseItems] = []
        self.jobs: list[str] = []

    def step(self) -> None:
        """Execute one random action and check the ledger."""
        actions = [
            *[self.accept] * 2,
            *[self.lease] * 5,
            *[self.commit] * 6,
            *[self.return_item] * 3,
            self.lease_again,
            self.revoke,
            self.cancel,
            self.resend,
            self.driver.restart,
        ]
        self.random.choice(actions)()
        self.check()

    def accept(self) -> None:
        """Accept a job, sometimes one that exists already."""
        job_id = f"job-{self.random.randrange(4)}"
        count = 1 + int(job_id[-1]) * 2
        spec = job_spec(job_id, count, tenant=f"tenant-{count % 2}", max_attempts=MAX_ATTEMPTS)
        self.driver.apply(OpenJob(job_id, spec))
        self.driver.apply(AddItems(job_id, 0, bodies(0, count)))
        self.driver.apply(SealJob(job_id))
        if job_id not in self.jobs:
            self.jobs.append(job_id)
            self.model.items.update({(job_id, index): ItemModel() for index in range(count)})

    def lease(self) -> None:
        """Lease a few items."""
        holder = self.random.choice(HOLDERS)
        request_id = f"request-{len(self.driver.commands)}"
        command = LeaseItems(holder, request_id, SERVICE, self.random.randrange(1, 5), 1000)
        outcome = self.driver.apply(command)
        self.leases.append(command)
        for item in outcome.items:
            self.model.leased(holder, item.ref)
            self.refs.append((holder, item.ref))

    def lease_again(self) -> None:
        """Repeat a lease request, which must not lease anything new."""
        if not self.leases:
            return
        command = self.random.choice(self.leases)
        outcome = self.driver.apply(command)
        for item in outcome.items:
            held = self.model.items[item.ref.job_id, item.ref.index].lease
            assert held == (command.holder, item.ref.fence), item

    def commit(self) -> None:
        """Commit a result under a current or an old lease, sometimes as another holder."""
        if not self.refs:
            return
        holder, ref = self.random.choice(self.refs[-8:])
        if self.random.random() < 0.1:
            holder = self.random.choice(HOLDERS)
        result = ItemResult(ref, f"text {self.random.random()}", 1)
        outcome = self.driver.apply(CommitResults(holder, (result, result)))
        assert isinstance(outcome, ResultsCommitted)
        for verdict in outcome.verdicts:
            self.model.committed(holder, result, verdict)

    def return_item(self) -> None:
        """Return an item as preempted or failed."""
        if not self.refs:
            return
        holder, ref = self.random.choice(self.refs[-8:])
        returned = ReturnedItem(ref, "so far", self.random.choice(("", "failed")))
        self.driver.apply(ReturnItems(holder, (returned,)))
        self.model.returned(holder, returned)

    def revoke(self) -> None:
        """Revoke a holder's leases."""
        holder = self.random.choice(HOLDERS)
        self.driver.apply(RevokeLeases(holder))
        self.model.revoked(holder)

    def cancel(self) -> None:
        """Cancel a job."""
        if not self.jobs:
            return
        job_id = self.random.choice(self.jobs)
        self.driver.apply(CancelJob(job_id, f"change-{len(self.driver.commands)}"))
        self.model.cancel(job_id)

    def resend(self) -> None:
        """Resend an old command that must not take effect twice."""
        once = (OpenJob, AddItems, SealJob, CancelJob)
        sent: list[Command] = [each for each in self.driver.commands if isinstance(each, once)]
        if sent:
            self.driver.apply(self.random.choice(sent))

    def check(self) -> None:
        """Compare the ledger's state with the model."""
        for job_id in self.jobs:
            self._check_job(job_id)
        holders = {item.lease[0]: None for item in self.model.items.values() if item.lease}
        assert self.driver.state.holders() == sorted(holders)

    def _check_job(self, job_id: str) -> None:
        own = {index: item for (job, index), item in self.model.items.items() if job == job_id}
        rows = self.driver.state.results(job_id, 0, 1000)
        shown = {row.index: (row.phase, row.text) for row in rows}
        ended = {index: (item.end, item.text) for index, item in own.items() if item.end}
        assert shown == ended, (job_id, shown, ended)
        view = self.driver.state.job(job_id)
        leased = sum(1 for item in own.values() if item.lease)
        pending = len(own) - len(ended) - leased
        assert (view.leased, view.pending) == (leased, pending), view
        assert view.completed + view.set_aside + view.cancelled == len(ended), view
        assert view.phase is self._phase(job_id, len(own) == len(ended)), view

    def _phase(self, job_id: str, all_ended: bool) -> JobPhase:
        if job_id in self.model.cancelled:
            return JobPhase.CANCELLED
        return JobPhase.COMPLETED if all_ended else JobPhase.SEALED


@settings(derandomize=True, max_examples=60, deadline=None, suppress_health_check=list(HealthCheck))
@given(seed=st.integers(0, 2**32), steps=st.integers(20, 120))
def check_random_commands(seed: int, steps: int) -> None:
    """Run random commands and compare the ledger with the model after each."""
    run = RandomRun(seed)
    for _ in range(steps):
        run.step()
