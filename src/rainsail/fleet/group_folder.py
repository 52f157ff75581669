"""Opens the durable state of one replicated group in a node's data folder."""

from expression import Error, Ok, Result

from rainsail.consensus.driver import GroupDriver
from rainsail.consensus.member_dependencies import GroupMember, MemberDependencies
from rainsail.consensus.router import GroupRouter
from rainsail.consensus.settings import ConsensusSettings
from rainsail.consensus.status import losses_borne
from rainsail.errors import Fault, FaultCode, RainsailError
from rainsail.fleet.base import FLEET, NodeBase
from rainsail.settings.node import NodeSettings
from rainsail.state.command_basics import GroupId
from rainsail.state.durable_schemas import durable_fingerprint
from rainsail.state.fleet_commands import FLEET_DURABLE_MODULES, encode_fleet_command
from rainsail.state.state_machine import StateMachine
from rainsail.storage.group_storage import DurableGroupStorage, open_group_storage
from rainsail.storage.identity import ReplicaIdentity, load_or_create_identity
from rainsail.storage.interface import FileSystem
from rainsail.storage.settings import StorageSettings
from rainsail.wire.codec import CodecError

MEBIBYTE = 1024 * 1024
SEGMENT_BYTES = 4 * MEBIBYTE
CACHE_BYTES = MEBIBYTE
HEARTBEAT_PERIOD_S = 0.08
ELECTION_TIMEOUT_S = 0.35
"""Short because nodes are a few milliseconds apart, and calls refused without a leader are lost."""
REPAIR_AFTER_S = 1.5
SNAPSHOT_DISK_SHARE = 0.125
SNAPSHOT_MEMORY_SHARE = 0.06
"""Bounded by memory as well, since the log after the last snapshot is also held there."""
LEAST_SNAPSHOT_LOG_BYTES = 4 * MEBIBYTE
RETAINED_BYTES = MEBIBYTE


class GroupFolder:
    """A group's durable state on this node, and the factory of its driver."""

    def __init__(self, base: NodeBase, group: GroupId, files: FileSystem) -> None:
        self._base = base
        self._group = group
        self._files = files
        self._identity: ReplicaIdentity | None = None
        self._storage: DurableGroupStorage | None = None

    async def open(self) -> Result[None, Fault]:
        """Open the folder; initialize it if it is empty."""
        base = self._base
        identity = await load_or_create_identity(
            self._files,
            FLEET,
            base.node.address,
            durable_fingerprint(FLEET_DURABLE_MODULES),
            base.random,
        )
        if identity.is_error():
            return Error(identity.error)
        settings = StorageSettings(segment_bytes=SEGMENT_BYTES, cache_bytes=CACHE_BYTES)
        storage = await open_group_storage(self._files, self._group, settings)
        if storage.is_error():
            return Error(storage.error)
        self._identity = identity.ok
        self._storage = storage.ok
        return Ok(None)

    def is_empty(self) -> bool:
        """Tell whether nothing of the group has ever been stored here."""
        assert self._storage is not None
        return self._storage.last_index == 0 and self._storage.snapshot_meta is None

    def make_driver(
        self, state: StateMachine, founders: tuple[str, ...]
    ) -> Result[GroupDriver, Fault]:
        """Create the group's driver; ``founders`` found the group if all of them are empty."""
        assert self._identity is not None and self._storage is not None
        base = self._base
        member = GroupMember(self._group, base.node.address, self._identity, founders)
        seams = MemberDependencies(
            self._storage,
            state,
            GroupRouter(base.messenger, base.clock),
            base.clock,
            base.random,
            encode_fleet_command,
            base.started_s,
        )
        try:
            driver = GroupDriver(member, seams, group_settings(base.settings))
        except (CodecError, RainsailError) as error:
            detail = f"group {self._group}: its snapshot or log can't be read: {error}"
            return Error(Fault(FaultCode.STORAGE, "fleet.open_group", detail))
        self._add_metrics(driver)
        return Ok(driver)

    def _add_metrics(self, driver: GroupDriver) -> None:
        gauge = self._base.metrics.gauge
        state = driver.core.state
        gauge("group_leads", lambda: float(driver.is_leader()))
        gauge("group_term", lambda: float(driver.term()))
        gauge("group_commit_index", lambda: float(state.commit_index))
        gauge("group_voters", lambda: float(len(driver.members().voters())))
        clock = self._base.clock
        gauge("group_losses_borne", lambda: float(losses_borne(state, clock.seconds())))
        gauge("snapshot_transfers_stalled", lambda: float(driver.stalled_transfers()))
        gauge("group_unsynced_writes", lambda: float(not state.writes.all_synced()))


def group_settings(settings: NodeSettings) -> ConsensusSettings:
    """Return the settings of a node's replicated group, sized by its disk."""
    limits = settings.limits
    log_bytes = int(limits.disk_mb * MEBIBYTE * SNAPSHOT_DISK_SHARE)
    if limits.memory_mb:
        log_bytes = min(log_bytes, int(limits.memory_mb * MEBIBYTE * SNAPSHOT_MEMORY_SHARE))
    return ConsensusSettings(
        heartbeat_period_s=HEARTBEAT_PERIOD_S,
        election_timeout_s=ELECTION_TIMEOUT_S,
        repair_after_s=REPAIR_AFTER_S,
        unreachable_after_s=1.2,
        snapshot_log_bytes=max(LEAST_SNAPSHOT_LOG_BYTES, log_bytes),
        retained_bytes=RETAINED_BYTES,
        hello_period_s=0.3,
    )
