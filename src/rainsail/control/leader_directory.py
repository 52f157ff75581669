"""A client's knowledge of each group's leader. Pure: time and randomness are passed in."""

import random as random_module
from dataclasses import dataclass

from rainsail.consensus.group_placement import members_of_group
from rainsail.errors import Fault, FaultCode
from rainsail.state.commands import GroupId

NO_REPLY_CODES = (FaultCode.TIMEOUT, FaultCode.UNAVAILABLE)
"""Fault codes that mean that a replica did not reply at all."""


@dataclass(frozen=True, slots=True)
class _UnresponsiveReplica:
    """A replica that did not reply; leader hints that name it are ignored until ``until_s``."""

    replica: str
    until_s: float


class LeaderDirectory:
    """Tracks the last known leader of each group and picks the replica to ask when none is known.

    Followers keep naming a failed leader until they have elected another. Hints that name a
    replica that has just failed to reply are therefore ignored for ``unresponsive_period_s``; the
    members are asked round-robin, so that a new leader is found as soon as it is elected.
    """

    def __init__(
        self,
        replicas: tuple[str, ...],
        random: random_module.Random,
        unresponsive_period_s: float,
        replicas_per_group: int,
    ) -> None:
        self._replicas = replicas
        self._replicas_per_group = replicas_per_group
        self._random = random
        self._unresponsive_period_s = unresponsive_period_s
        self._leaders: dict[GroupId, str] = {}
        self._next_turns: dict[GroupId, int] = {}
        self._unresponsive: dict[GroupId, _UnresponsiveReplica] = {}

    def target(self, group: GroupId, now_s: float) -> str:
        """Return the replica to ask: the known leader, else the next member round-robin."""
        known = self._leaders.get(group)
        if known is not None:
            return known
        found = self._next(group)
        if self._replicas_per_group > 1 and self._is_unresponsive(group, found, now_s):
            return self._next(group)
        return found

    def members(self, group: GroupId) -> tuple[str, ...]:
        """Return the replicas that are members of a group."""
        return members_of_group(group, self._replicas, self._replicas_per_group)

    def _next(self, group: GroupId) -> str:
        members = self.members(group)
        turn = self._next_turns.get(group)
        if turn is None:
            turn = self._random.randrange(len(members))
        self._next_turns[group] = turn + 1
        return members[turn % len(members)]

    def answered(self, group: GroupId, target: str) -> None:
        """Record that a replica answered as the leader."""
        self._leaders[group] = target
        self._unresponsive.pop(group, None)

    def failed(self, group: GroupId, target: str, fault: Fault, now_s: float) -> bool:
        """Record a retryable fault; returns True when it names another leader to ask at once."""
        if fault.code in NO_REPLY_CODES:
            self._unresponsive[group] = _UnresponsiveReplica(
                target, now_s + self._unresponsive_period_s
            )
        has_hint = fault.code == FaultCode.NOT_LEADER and fault.peer not in ("", target)
        hint_accepted = has_hint and not self._is_unresponsive(group, fault.peer, now_s)
        if hint_accepted and fault.peer in self._replicas:
            self._leaders[group] = fault.peer
            return True
        self._leaders.pop(group, None)
        return False

    def _is_unresponsive(self, group: GroupId, replica: str, now_s: float) -> bool:
        unresponsive = self._unresponsive.get(group)
        return (
            unresponsive is not None
            and unresponsive.replica == replica
            and now_s < unresponsive.until_s
        )
