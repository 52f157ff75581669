"""What a client knows of who leads each group: pure, time and randomness are handed in."""

import random as random_module
from dataclasses import dataclass

from rainsail.consensus.group_placement import members_of_group
from rainsail.errors import Fault, FaultCode
from rainsail.state.commands import GroupId

SILENT_CODES = (FaultCode.TIMEOUT, FaultCode.UNAVAILABLE)
"""Faults of a replica that gave no answer at all."""


@dataclass(frozen=True, slots=True)
class _SilentReplica:
    """A replica that gave no answer; until then nobody's word for it counts."""

    replica: str
    until_s: float


class LeaderDirectory:
    """The leader of each group as last heard, and whom to ask when none is known.

    Followers name a lost leader until they have elected another. A replica that has just given
    no answer is therefore not asked on their word for ``distrust_s``; the others are asked in
    turn, so that a new leader is found as soon as there is one.
    """

    def __init__(
        self,
        replicas: tuple[str, ...],
        random: random_module.Random,
        distrust_s: float,
        replicas_per_group: int,
    ) -> None:
        self._replicas = replicas
        self._replicas_per_group = replicas_per_group
        self._random = random
        self._distrust_s = distrust_s
        self._leaders: dict[GroupId, str] = {}
        self._turns: dict[GroupId, int] = {}
        self._silent: dict[GroupId, _SilentReplica] = {}

    def target(self, group: GroupId, now_s: float) -> str:
        """Return the replica to ask: the known leader, else the next one in turn."""
        known = self._leaders.get(group)
        if known is not None:
            return known
        found = self._next(group)
        if self._replicas_per_group > 1 and self._is_silent(group, found, now_s):
            return self._next(group)
        return found

    def members(self, group: GroupId) -> tuple[str, ...]:
        """Return the replicas that keep a group."""
        return members_of_group(group, self._replicas, self._replicas_per_group)

    def _next(self, group: GroupId) -> str:
        members = self.members(group)
        turn = self._turns.get(group)
        if turn is None:
            turn = self._random.randrange(len(members))
        self._turns[group] = turn + 1
        return members[turn % len(members)]

    def answered(self, group: GroupId, target: str) -> None:
        """Note that a replica answered as the leader."""
        self._leaders[group] = target
        self._silent.pop(group, None)

    def failed(self, group: GroupId, target: str, fault: Fault, now_s: float) -> bool:
        """Note a fault that doesn't settle the request; True when it names another leader."""
        if fault.code in SILENT_CODES:
            self._silent[group] = _SilentReplica(target, now_s + self._distrust_s)
        named = fault.code == FaultCode.NOT_LEADER and fault.peer not in ("", target)
        believed = named and not self._is_silent(group, fault.peer, now_s)
        if believed and fault.peer in self._replicas:
            self._leaders[group] = fault.peer
            return True
        self._leaders.pop(group, None)
        return False

    def _is_silent(self, group: GroupId, replica: str, now_s: float) -> bool:
        silent = self._silent.get(group)
        return silent is not None and silent.replica == replica and now_s < silent.until_s
