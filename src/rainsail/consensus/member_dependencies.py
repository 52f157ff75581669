"""What one member of a group is, and what it is given from outside."""

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
    """Which member of which group this is.

    ``identity`` is that of its disk: a replica that lost its disk is another member of the same
    name. ``founders`` are the replicas that found the group when all of them are empty.
    """

    group: GroupId
    replica: str
    identity: ReplicaIdentity
    founders: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class MemberDependencies:
    """The member's storage, state machine, clock, randomness and way to the other members.

    ``encode_command`` makes the payload of a log entry of one of the group's commands.
    ``process_started_s`` is when the process began, by ``clock``; None stands for now.
    """

    storage: GroupStorage
    state_machine: StateMachine
    router: GroupRouter
    clock: Clock
    random: random_module.Random
    encode_command: Callable[[Any], bytes]
    process_started_s: float | None = None
