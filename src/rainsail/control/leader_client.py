"""Finds the leader of a group, follows leader changes, and retries what is safe to retry."""

import random as random_module
from dataclasses import replace
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred

from rainsail.control.leader_directory import LeaderDirectory
from rainsail.control.messages import ConfigPoll, EncodedReply, ProposeReply, ProposeRequest
from rainsail.control.repeat_safety import repeat_safety
from rainsail.control.settings import ControlSettings
from rainsail.errors import Fault, FaultCode, Outcome
from rainsail.runtime.clock import Clock, sleep
from rainsail.state.commands import ROOT_GROUP, Command, CommandOutcome, GroupId
from rainsail.wire.codec import CodecError, decode
from rainsail.wire.messenger import Messenger

FINAL_CODES = frozenset(
    {
        FaultCode.INVALID,
        FaultCode.UNAUTHENTICATED,
        FaultCode.FORBIDDEN,
        FaultCode.NOT_FOUND,
        FaultCode.CONFLICT,
        FaultCode.REVISION_COMPACTED,
        FaultCode.TOO_LARGE,
        FaultCode.OVER_LIMIT,
        FaultCode.FENCED,
        FaultCode.CANCELLED,
    }
)
"""Fault codes that are not retried, because another attempt would get the same fault."""


class LeaderClient:
    """Sends requests to a group's leader (implements ``ControlClient``)."""

    def __init__(
        self,
        messenger: Messenger,
        replicas: tuple[str, ...],
        clock: Clock,
        random: random_module.Random,
        settings: ControlSettings,
    ) -> None:
        self._messenger = messenger
        self._clock = clock
        self._random = random
        self._settings = settings
        self._leaders = LeaderDirectory(
            replicas, random, settings.attempt_timeout_s, settings.replicas_per_group
        )

    def propose(
        self, command: Command, timeout_s: float, group: GroupId = ROOT_GROUP
    ) -> "Deferred[Result[CommandOutcome, Fault]]":
        """Commit a command at the leader; a fault outcome of the command is also an Error."""
        return Deferred.fromCoroutine(self._propose(command, timeout_s, group))

    def call(self, request: Any, timeout_s: float) -> "Deferred[Result[Any, Fault]]":
        """Send a request record to its group's leader; these requests are always retried."""
        return Deferred.fromCoroutine(self._attempts(request, timeout_s, True))

    async def _propose(
        self, command: Command, timeout_s: float, group: GroupId
    ) -> Result[CommandOutcome, Fault]:
        repeatable = repeat_safety(command).safe
        request = ProposeRequest(group, command)
        answer = await self._attempts(request, timeout_s, repeatable)
        if answer.is_error():
            return Error(answer.error)
        reply: ProposeReply = answer.ok
        if isinstance(reply.outcome, Fault):
            return Error(reply.outcome)
        return Ok(reply.outcome)

    async def _attempts(
        self, request: Any, timeout_s: float, repeatable: bool
    ) -> Result[Any, Fault]:
        deadline_s = self._clock.seconds() + timeout_s
        may_have_run = False
        failures = 0
        while True:
            target = self._leaders.target(request.group, self._clock.seconds())
            left_s = deadline_s - self._clock.seconds()
            attempt_s = max(0.0, min(left_s, self._attempt_timeout_s(request)))
            answer = await self._messenger.call(target, request, attempt_s)
            if answer.is_ok():
                self._leaders.answered(request.group, target)
                return _decoded(answer.ok)
            fault: Fault = answer.error
            may_have_run = may_have_run or fault.outcome != Outcome.NOT_RUN
            if fault.code in FINAL_CODES or (may_have_run and not repeatable):
                return Error(_with_outcome(fault, may_have_run))
            now_s = self._clock.seconds()
            redirected = self._leaders.failed(request.group, target, fault, now_s)
            wait_s = (
                0.0
                if redirected and failures < len(self._leaders.members(request.group))
                else self._wait_s(failures)
            )
            failures += 1
            if self._clock.seconds() + wait_s >= deadline_s:
                return Error(_with_outcome(fault, may_have_run))
            if wait_s > 0:
                await sleep(self._clock, wait_s)

    def _wait_s(self, failures: int) -> float:
        longest_s = min(
            self._settings.backoff_limit_s, self._settings.backoff_first_s * 2 ** min(failures, 16)
        )
        return longest_s * self._random.uniform(0.5, 1.0)

    def _attempt_timeout_s(self, request: Any) -> float:
        if isinstance(request, ConfigPoll):
            return request.wait_s + self._settings.poll_grace_s
        return self._settings.attempt_timeout_s


def _decoded(reply: Any) -> Result[Any, Fault]:
    """Return the reply, decoded if it is an ``EncodedReply``."""
    if not isinstance(reply, EncodedReply):
        return Ok(reply)
    try:
        return Ok(decode(reply.body))
    except CodecError as error:
        return Error(Fault(FaultCode.INTERNAL, "leader_client.decode", str(error)))


def _with_outcome(fault: Fault, may_have_run: bool) -> Fault:
    """Return the fault, with outcome UNKNOWN if an earlier attempt may have taken effect."""
    if may_have_run and fault.outcome == Outcome.NOT_RUN:
        return replace(fault, outcome=Outcome.UNKNOWN)
    return fault
