"""A ``ControlClient`` over one replicated state in the same process, with modelled latencies.

It stands for a healthy group of replicas: every command is applied in order after the time of
a commit, and leases of batch items are kept as the leader keeps them. It models no election and
no loss of replicas; the simulator does.
"""

from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field
from twisted.internet.defer import Deferred, succeed

from rainsail.control.config_leases import LeaseTerms
from rainsail.control.item_leases import ItemLeaseTable
from rainsail.control.messages import (
    JobsReply,
    JobsRequest,
    QuotaReport,
    QuotaShares,
    RenewItemLeases,
    RenewItemLeasesReply,
    ResultsReply,
    ResultsRequest,
    SessionRequest,
)
from rainsail.control.stale_items import items_to_stop
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.resources.specs import Kind, ResourceKey, Spec
from rainsail.runtime.clock import Clock
from rainsail.state.commands import (
    Command,
    CommandOutcome,
    GroupId,
    PutResource,
    RevokeLeases,
    SessionView,
)
from rainsail.state.machine import ReplicatedState


class LocalControlSettings(BaseModel):
    """Latencies of the modelled group."""

    model_config = ConfigDict(frozen=True)

    commit_s: float = Field(
        default=0.004, gt=0, description="Seconds from a proposal to its answer: one quorum sync."
    )
    read_s: float = Field(default=0.002, gt=0, description="Seconds of a read at the leader.")
    item_lease_s: float = Field(default=5.0, gt=0, description="Length of an item lease.")
    lease_check_period_s: float = Field(
        default=0.5, gt=0, description="Seconds between looks for lapsed item leases."
    )


CLOCK_RATE_MARGIN = 0.01
"""Largest relative difference of two clocks that the modelled leader allows for."""


def lose_nothing(request: Any) -> bool:
    """Lose no answer: the hook of a sound control plane."""
    return False


class LocalControl:
    """Applies commands and answers requests of every group from one state per group."""

    def __init__(
        self,
        states: dict[GroupId, ReplicatedState],
        clock: Clock,
        settings: LocalControlSettings | None = None,
    ) -> None:
        self.states = states
        self.lose_answer: Callable[[Any], bool] = lose_nothing
        self.commands: list[Command] = []
        self._clock = clock
        self._settings = settings or LocalControlSettings()
        self._index = 0
        lease_s = self._settings.item_lease_s
        terms = LeaseTerms(lease_s, CLOCK_RATE_MARGIN)
        self._leases = {group: ItemLeaseTable(terms) for group in states}
        self._handlers: dict[type, Callable[[Any, ReplicatedState], Any]] = {
            RenewItemLeases: self._renew,
            JobsRequest: self._read_jobs,
            ResultsRequest: self._read_results,
            QuotaReport: self._lend_nothing,
            SessionRequest: self._read_session,
        }

    def start(self) -> None:
        """Begin to look for lapsed leases."""
        self._clock.callLater(self._settings.lease_check_period_s, self._check_leases)

    def apply(self, command: Command, group: GroupId = 0) -> CommandOutcome:
        """Apply a command now."""
        self._index += 1
        self.commands.append(command)
        return self.states[group].apply(self._index, command)

    def put(self, kind: Kind, name: str, spec: Spec) -> None:
        """Put one resource of the root group now; the change's id is its kind and name."""
        self.apply(PutResource(f"{kind}/{name}", ResourceKey(kind, name), spec))

    def propose(
        self, command: Command, timeout_s: float, group: GroupId = 0
    ) -> "Deferred[Result[CommandOutcome, Fault]]":
        """Apply a command after half of the commit latency and answer after the other half."""
        done: Deferred[Result[CommandOutcome, Fault]] = Deferred()
        half_s = self._settings.commit_s / 2
        self._clock.callLater(half_s, self._commit, command, timeout_s, group, done)
        return done

    def _commit(
        self, command: Command, timeout_s: float, group: GroupId, done: "Deferred[Any]"
    ) -> None:
        outcome = self.apply(command, group)
        if self.lose_answer(command):
            fault = Fault(FaultCode.TIMEOUT, "control.propose", "lost", outcome=Outcome.UNKNOWN)
            self._clock.callLater(timeout_s, done.callback, Error(fault))
            return
        answer: Result[Any, Fault] = Error(outcome) if isinstance(outcome, Fault) else Ok(outcome)
        self._clock.callLater(self._settings.commit_s / 2, done.callback, answer)

    def call(self, request: Any, timeout_s: float) -> "Deferred[Result[Any, Fault]]":
        """Answer a request from the state after the latency of a read."""
        handler = self._handlers.get(type(request))
        if handler is None:
            detail = f"{type(request).__name__} is not modelled"
            return succeed(Error(Fault(FaultCode.INVALID, "control.call", detail)))
        done: Deferred[Result[Any, Fault]] = Deferred()
        self._clock.callLater(self._settings.read_s, self._answer, handler, request, done)
        if self.lose_answer(request):
            fault = Fault(FaultCode.TIMEOUT, "control.call", "lost", outcome=Outcome.UNKNOWN)
            done = Deferred()
            self._clock.callLater(timeout_s, done.callback, Error(fault))
        return done

    def _answer(
        self,
        handler: Callable[[Any, ReplicatedState], Any],
        request: Any,
        done: "Deferred[Any]",
    ) -> None:
        answer = handler(request, self.states[request.group])
        done.callback(Error(answer) if isinstance(answer, Fault) else Ok(answer))

    def _renew(self, request: RenewItemLeases, state: ReplicatedState) -> RenewItemLeasesReply:
        now_s = self._clock.seconds()
        lease_s = self._leases[request.group].renew(request.holder, now_s)
        stop = items_to_stop(state, request.holder, request.running)
        services = [resource.key.name for resource in state.list_resources(Kind.SERVICE)]
        backlog = {service: state.backlog(service) for service in services}
        return RenewItemLeasesReply(stop, lease_s, backlog)

    def _read_jobs(self, request: JobsRequest, state: ReplicatedState) -> JobsReply:
        if request.job_id:
            view = state.job(request.job_id)
            return JobsReply((view,) if view is not None else ())
        return JobsReply(tuple(state.jobs()))

    def _read_results(self, request: ResultsRequest, state: ReplicatedState) -> ResultsReply:
        rows = tuple(state.results(request.job_id, request.first_index, request.limit))
        more = len(rows) == request.limit
        return ResultsReply(rows, rows[-1].index + 1 if more else -1)

    def _read_session(self, request: SessionRequest, state: ReplicatedState) -> SessionView | Fault:
        view = state.session(request.session)
        if view is None:
            return Fault(FaultCode.NOT_FOUND, "control.call", f"no session {request.session}")
        return view

    def _lend_nothing(self, request: QuotaReport, state: ReplicatedState) -> QuotaShares:
        return QuotaShares((), request.period_s)

    def _check_leases(self) -> None:
        now_s = self._clock.seconds()
        for group, state in self.states.items():
            for holder in self._leases[group].lapsed(state.holders(), now_s):
                self.apply(RevokeLeases(holder), group)
        self._clock.callLater(self._settings.lease_check_period_s, self._check_leases)
