"""A controller without its HTTP server: the root group, its state and the service to nodes."""

import time
from collections.abc import Callable

from expression import Error, Ok, Result

from rainsail.cluster.committed_copy import CommittedCopies
from rainsail.cluster.controller import FleetController
from rainsail.cluster.controller_context import ControllerContext, ControllerSettings
from rainsail.cluster.directory import NodeDirectory
from rainsail.cluster.fleet_state import FleetState
from rainsail.cluster.founders import voters_for
from rainsail.cluster.runner_journal import RunnerJournal
from rainsail.cluster.runner_version_file import RunnerVersionFile
from rainsail.cluster.service_version_file import ServiceVersionFile
from rainsail.consensus.driver import GroupDriver
from rainsail.errors import Fault
from rainsail.fleet.base import NodeBase
from rainsail.fleet.group_folder import GroupFolder
from rainsail.fleet.leadership_handover import hand_over
from rainsail.relay.table_reader import TableReader
from rainsail.state.command_basics import ROOT_GROUP
from rainsail.storage.interface import FileSystem


class ControllerRole:
    """Opens the root group and serves nodes, over real or simulated disks and networks."""

    def __init__(
        self,
        base: NodeBase,
        files: FileSystem,
        fatal: Callable[[Fault], None],
        unix_seconds: Callable[[], float] = time.time,
        read_table: TableReader | None = None,
    ) -> None:
        """``unix_seconds`` reads the wall clock."""
        self._read_table = read_table
        self._base = base
        self._fatal = fatal
        self._folder = GroupFolder(base, ROOT_GROUP, files)
        self.state = FleetState()
        self._journal = RunnerJournal(files, base.clock, unix_seconds, base.registry.records)
        self._versions = RunnerVersionFile(files, base.clock, base.registry.versions)
        self._shared_versions = ServiceVersionFile(files)
        self._committed = CommittedCopies(
            files, self.state, base.registry.zone_drains, base.follower.quarantine
        )
        self.driver: GroupDriver | None = None
        self.controller: FleetController | None = None

    async def start(self) -> Result[None, Fault]:
        """Open the root group and start to follow the other controllers."""
        base = self._base
        opened = await self._folder.open()
        if opened.is_error():
            return Error(opened.error)
        made = self._folder.make_driver(self.state, self._founders())
        if made.is_error():
            return Error(made.error)
        self.driver = driver = made.ok
        driver.on_fatal(self._fatal)
        self._versions.load()
        base.registry.restore(self._journal.load())
        committed = self._committed.load()
        base.follower.take_zone_drains(committed.zone_drains)
        base.follower.take_quarantine(committed.quarantine)
        context = self._context(driver)
        driver.open_membership(
            base.settings.seed_controllers(), voters_for(context.settings.losses)
        )
        self.controller = FleetController(
            context,
            self._journal,
            self._committed,
            self._versions,
            self._shared_versions,
            self._services_of,
        )
        quarantine = self.controller.quarantine
        base.metrics.gauge("requests_suspected", lambda: float(quarantine.suspects))
        base.metrics.gauge("requests_on_trial", lambda: float(quarantine.on_trial))
        base.metrics.gauge("permits_lapsed", lambda: float(quarantine.permits_lapsed))
        base.metrics.gauge("holds_refuted", lambda: float(quarantine.holds_refuted))
        origins = self.controller.origins
        base.metrics.gauge("stream_origins_kept", lambda: float(len(origins)))
        driver.start()
        self.controller.start()
        base.follower.start()
        return Ok(None)

    def _context(self, driver: GroupDriver) -> ControllerContext:
        base = self._base
        node_settings = base.settings.node
        settings = ControllerSettings(
            losses=node_settings.losses, zones=frozenset(node_settings.zones)
        )
        return ControllerContext(
            base.node,
            driver,
            self.state,
            NodeDirectory(),
            base.follower,
            base.messenger,
            base.clock,
            settings,
        )

    def _services_of(self, content: bytes) -> frozenset[str] | None:
        """Return the services in a routing table, None if there is no table or it is unreadable."""
        if self._read_table is None or not content:
            return None
        read = self._read_table(content)
        return None if read.is_error() else frozenset(read.ok.services)

    def _founders(self) -> tuple[str, ...]:
        """Return the founders of the root group: the seeds, if this one is to found the fleet."""
        settings = self._base.settings
        seeds = settings.seed_controllers()
        if not settings.node.founding or self._base.node.address not in seeds:
            return ()
        return seeds

    async def planned_stop(self) -> None:
        """Hand over leadership, then stop."""
        if self.driver is not None:
            await hand_over(self.driver, self._base.clock)
        self.stop()

    def stop(self) -> None:
        """Stop at once."""
        if self.driver is not None:
            self.driver.stop()
        if self.controller is not None:
            self.controller.stop()
        self._base.follower.stop()
