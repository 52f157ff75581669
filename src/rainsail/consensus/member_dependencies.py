"""The identity of one member of a group, and the dependencies injected into it."""

import random as random_module
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from rainsail.consensus.router import GroupRouter
from rainsail.runtime.clock import Clock
from rainsail.state.command_basics import GroupId
from rainsail.state.state_machine import StateMachine
from rainsail.storage.identity import ReplicaIdentity
from rainsail.storage.interface import GroupStorage


@dataclass(frozen=True, slots=True)
class GroupMember:
    """Identifies one member of one group.

    ``identity`` belongs to the disk: a replica that lost its disk becomes another member of the
    same name. ``founders`` are the replicas that found the group when all of them are empty.
    """

    group: GroupId
    replica: str
    identity: ReplicaIdentity
    founders: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MemberDependencies:
    """The storage, state machine, router, clock and random generator of a member.

    ``encode_command`` encodes a command of the group as the payload of a log entry.
    ``process_started_s`` is when the process started, by ``clock``; None means now.
    """

    storage: GroupStorage
    state_machine: StateMachine
    router: GroupRouter
    clock: Clock
    random: random_module.Random
    encode_command: Callable[[Any], bytes]
    process_started_s: float | None = None
