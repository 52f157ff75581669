"""A replica's member of one replicated group: its durable log, state machine and driver."""

from collections.abc import Generator
from dataclasses import dataclass
from typing import Any

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred, inlineCallbacks

from rainsail.assembly.dependencies import ReplicaDependencies
from rainsail.assembly.replica_config import ReplicaConfig
from rainsail.consensus.driver import GroupDriver
from rainsail.consensus.group_placement import members_of_group
from rainsail.consensus.member_dependencies import GroupMember, MemberDependencies
from rainsail.consensus.router import GroupRouter
from rainsail.errors import Fault, FaultCode, RainsailError
from rainsail.state.commands import ROOT_GROUP, GroupId, encode_command
from rainsail.state.machine import ReplicatedState
from rainsail.storage.group_storage import open_group_storage
from rainsail.storage.identity import ReplicaIdentity
from rainsail.wire.codec import CodecError


@dataclass(frozen=True, slots=True)
class HostedGroup:
    """A group that this replica hosts a member of."""

    driver: GroupDriver
    state: ReplicatedState


def group_ids(config: ReplicaConfig) -> tuple[GroupId, ...]:
    """Return every group of the fleet, sorted: the root group and the batch ledger's groups."""
    return tuple(sorted({ROOT_GROUP, *config.batch.groups}))


def hosted_ids(config: ReplicaConfig) -> tuple[GroupId, ...]:
    """Return the groups that this replica hosts a member of."""
    count = config.control.replicas_per_group
    return tuple(
        group
        for group in group_ids(config)
        if config.name in members_of_group(group, config.replicas, count)
    )


@inlineCallbacks
def open_group(
    group: GroupId,
    config: ReplicaConfig,
    dependencies: ReplicaDependencies,
    identity: ReplicaIdentity,
    state: ReplicatedState,
    router: GroupRouter,
) -> Generator[Deferred[Any], Any, Result[HostedGroup, Fault]]:
    """Open a group's log and make its driver, without starting it."""
    storage = yield open_group_storage(dependencies.files, group, config.storage)
    if storage.is_error():
        return Error(storage.error)
    names = members_of_group(group, config.replicas, config.control.replicas_per_group)
    member = GroupMember(group, config.name, identity, tuple(names))
    node = dependencies.node
    given = MemberDependencies(storage.ok, state, router, node.clock, node.random, encode_command)
    try:
        driver = GroupDriver(member, given, config.consensus)
    except (CodecError, RainsailError) as error:
        detail = f"group {group}: its snapshot or log can't be read: {error}"
        return Error(Fault(FaultCode.STORAGE, "assembly.open_group", detail))
    return Ok(HostedGroup(driver, state))
