"""Serves the control messages on a replica; a follower refuses them and names the leader."""

from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred

from rainsail.consensus.group_status import GroupStatusReply, GroupStatusRequest
from rainsail.consensus.interface import Group
from rainsail.control.faults import not_leader, unknown_group
from rainsail.control.group_control import GroupControl
from rainsail.control.listing import read_list
from rainsail.control.messages import (
    ConfigPoll,
    ConfigRelease,
    JobsReply,
    JobsRequest,
    ListReply,
    ListRequest,
    ProposeReply,
    ProposeRequest,
    QuotaReport,
    RenewItemLeases,
    ResultsReply,
    ResultsRequest,
    SessionRequest,
    SharedListReply,
)
from rainsail.control.settings import ControlSettings
from rainsail.errors import Fault, FaultCode
from rainsail.runtime.clock import Clock
from rainsail.state.commands import CommandOutcome, GroupId, SessionView
from rainsail.state.interface import ReplicatedReader
from rainsail.wire.messenger import Messenger
from rainsail.wire.names import wire_name

NO_MORE_ROWS = -1
"""``ResultsReply.next_index`` of the last page."""


class ControlService:
    """Answers gateways and operator APIs for every group of this replica."""

    def __init__(
        self,
        groups: dict[GroupId, Group],
        states: dict[GroupId, ReplicatedReader],
        messenger: Messenger,
        clock: Clock,
        settings: ControlSettings,
    ) -> None:
        self._messenger = messenger
        self._settings = settings
        self._controls = {
            number: GroupControl(group, states[number], clock, settings)
            for number, group in groups.items()
        }

    def start(self) -> None:
        """Serve the messages and start the leader's tasks of the groups that this replica leads."""
        handlers: list[tuple[type, Callable[[GroupControl, Any], Any]]] = [
            (ProposeRequest, self._propose),
            (ListRequest, self._list),
            (ConfigPoll, GroupControl.config_poll),
            (ConfigRelease, GroupControl.config_release),
            (RenewItemLeases, GroupControl.renew_item_leases),
            (QuotaReport, GroupControl.quota_report),
            (JobsRequest, self._jobs),
            (ResultsRequest, self._results),
            (SessionRequest, self._session),
            (GroupStatusRequest, self._status),
        ]
        for message_type, handler in handlers:
            self._messenger.serve(message_type, self._for_group(handler))
        for control in self._controls.values():
            control.start()

    def stop(self) -> None:
        """Stop the leader's tasks and refuse parked polls."""
        for control in self._controls.values():
            control.stop()

    def _for_group(self, handler: Callable[[GroupControl, Any], Any]) -> Callable[[str, Any], Any]:
        def handle(source: str, request: Any) -> Any:
            control = self._controls.get(request.group)
            if control is None:
                return unknown_group(f"control.{wire_name(type(request))}", request.group)
            answer = handler(control, request)
            return Deferred.fromCoroutine(answer) if hasattr(answer, "send") else answer

        return handle

    def _propose(self, control: GroupControl, request: ProposeRequest) -> Any:
        """Commit a command; uses callbacks, not a coroutine, as this is the most frequent call."""
        if not control.serving():
            return not_leader("control.propose", control.group)
        control.note_proposal(request.command)
        return control.group.propose(request.command).addCallback(_propose_reply)

    async def _list(
        self, control: GroupControl, request: ListRequest
    ) -> Result[ListReply | SharedListReply, Fault]:
        readable = await control.linearizable_read("control.list")
        if readable.is_error():
            return Error(readable.error)
        if request.shared:
            return Ok(control.shared_pages.reply(control.state, request))
        return Ok(read_list(control.state, request))

    async def _jobs(self, control: GroupControl, request: JobsRequest) -> Result[JobsReply, Fault]:
        readable = await control.linearizable_read("control.jobs")
        if readable.is_error():
            return Error(readable.error)
        if request.job_id:
            job = control.state.job(request.job_id)
            found = [] if job is None else [job]
        else:
            found = control.state.jobs()
        mine = [job for job in found if request.tenant in ("", job.spec.tenant)]
        return Ok(JobsReply(tuple(mine)))

    async def _results(
        self, control: GroupControl, request: ResultsRequest
    ) -> Result[ResultsReply, Fault]:
        readable = await control.linearizable_read("control.results")
        if readable.is_error():
            return Error(readable.error)
        if control.state.job(request.job_id) is None:
            return Error(Fault(FaultCode.NOT_FOUND, "control.results", request.job_id))
        limit = max(1, min(request.limit, self._settings.max_list_rows))
        rows = control.state.results(request.job_id, request.first_index, limit)
        next_index = rows[-1].index + 1 if len(rows) == limit else NO_MORE_ROWS
        return Ok(ResultsReply(tuple(rows), next_index))

    async def _session(
        self, control: GroupControl, request: SessionRequest
    ) -> Result[SessionView, Fault]:
        readable = await control.linearizable_read("control.session")
        if readable.is_error():
            return Error(readable.error)
        session = control.state.session(request.session)
        if session is None:
            return Error(Fault(FaultCode.NOT_FOUND, "control.session", request.session))
        return Ok(session)

    async def _status(self, control: GroupControl, request: GroupStatusRequest) -> GroupStatusReply:
        return control.group.status()


def _propose_reply(committed: Result[tuple[int, CommandOutcome], Fault]) -> ProposeReply | Fault:
    if committed.is_error():
        return committed.error
    index, outcome = committed.ok
    return ProposeReply(outcome, index)
