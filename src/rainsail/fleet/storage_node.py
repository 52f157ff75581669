"""The storage role: a member of the ledger group, whose leader also dispatches the items."""

from collections.abc import Callable
from typing import Any

from expression import Error, Ok, Result

from rainsail.cluster.founders import voters_for
from rainsail.cluster.incarnation_tracker import IncarnationTracker
from rainsail.cluster.messages import FleetView, LedgerStatus, RunnerRecord, TableDocument
from rainsail.cluster.table_confirmation import TableConfirmation
from rainsail.consensus.driver import GroupDriver
from rainsail.errors import Fault
from rainsail.fleet.base import NodeBase
from rainsail.fleet.group_folder import GroupFolder
from rainsail.fleet.leadership_handover import hand_over
from rainsail.http.pool import ConnectionPool
from rainsail.jobs.context import DispatchNode, Ledger
from rainsail.jobs.dispatcher import Dispatcher
from rainsail.jobs.job_state import JobState
from rainsail.jobs.ledger_service import LedgerService
from rainsail.jobs.ledger_time import LedgerTime
from rainsail.jobs.outcome_batcher import OutcomeBatcher
from rainsail.jobs.placement_service import ItemsAtRunners, PlacementFleet, PlacementService
from rainsail.jobs.retention import Retention
from rainsail.jobs.settings import DispatchSettings
from rainsail.logs import logger
from rainsail.quarantine.agent import QuarantineAgent
from rainsail.relay.protocol import RelayProtocol
from rainsail.relay.table_reader import TableReader
from rainsail.routing.residency import RegionMap
from rainsail.routing.warm_up_limiter import WarmUpLimiter
from rainsail.state.command_basics import GroupId
from rainsail.storage.interface import FileSystem
from rainsail.tenancy.quota_allocator import QuotaAllocator
from rainsail.tenancy.quota_service import QuotaService

LEDGER_GROUP: GroupId = 1
HOUSEKEEPING_PERIOD_S = 1.0
CONTROLLER_ANSWER_MAX_AGE_S = 1.6
"""A heartbeat period and the reply; reports and orders must take effect within two seconds."""


class StorageNode:
    """Starts and stops a member of the ledger group."""

    def __init__(
        self,
        base: NodeBase,
        protocol: RelayProtocol,
        read_table: TableReader,
        pool: ConnectionPool,
        files: FileSystem,
        fatal: Callable[[Fault], None],
    ) -> None:
        self._base = base
        self._fatal = fatal
        self._read_table = read_table
        self._folder = GroupFolder(base, LEDGER_GROUP, files)
        self.state = JobState()
        ledger_time = LedgerTime()
        self._service = LedgerService(
            base.messenger, base.clock, self.state, ledger_time, base.budget
        )
        self.driver: GroupDriver | None = None
        self._pool = pool
        self._outcomes = OutcomeBatcher(self._propose, base.clock)
        self._warm_ups = WarmUpLimiter(base.settings.warm_up.bound(), base.registry.warm_ups)
        self._regions = RegionMap(base.settings.node.zones)
        self.dispatcher = self._make_dispatcher(protocol, ledger_time)
        self.state.observer = self.dispatcher.observer
        self._service.on_submitted = self.dispatcher.job_submitted
        # Controllers push each table once, maybe while this node still opens its disk.
        base.follower.on_table = self._take_table
        base.follower.on_runners = self._runners_changed
        self._incarnations = IncarnationTracker()
        self._placements: PlacementService | None = None
        keeper = QuotaAllocator(base.settings.quota.terms())
        self._quotas = QuotaService(base.messenger, base.clock, keeper, self._leads)
        base.metrics.gauge("jobs_kept", lambda: float(len(self.state.jobs)))
        base.metrics.gauge("job_body_bytes", lambda: float(self.state.body_bytes))
        self._retention = Retention(self.state, base.settings.bounds.results_kept_s)
        self._stopped = False

    def _make_dispatcher(self, protocol: RelayProtocol, ledger_time: LedgerTime) -> Dispatcher:
        base = self._base
        guard = QuarantineAgent(base.messenger, base.clock, base.follower, self._pool, base.metrics)
        node = DispatchNode(
            zone=base.settings.node.zone,
            clock=base.clock,
            random=base.random,
            registry=base.registry,
            pool=self._pool,
            protocol=protocol,
            regions=self._regions,
            warm_ups=self._warm_ups,
            guard=guard,
            tables=TableConfirmation(base.follower, base.messenger, base.clock),
            metrics=base.metrics,
            settings=DispatchSettings(mechanisms=base.settings.mechanisms),
            budget=base.budget,
        )
        ledger = Ledger(
            state=self.state,
            time=ledger_time,
            list_outcome=self._outcomes.add,
            commit_progress=self._propose,
            may_start=self._may_start_items,
        )
        return Dispatcher(node, ledger)

    async def start(self) -> Result[None, Fault]:
        """Open the folder and follow the controllers; the group starts once it has members."""
        base = self._base
        opened = await self._folder.open()
        if opened.is_error():
            return Error(opened.error)
        self._placements = PlacementService(
            base.messenger,
            base.clock,
            PlacementFleet(base.registry, self.dispatcher.online, self._warm_ups, self._regions),
            ItemsAtRunners(self.dispatcher.items_at, self.dispatcher.preempt_at),
            self._may_place,
            base.random,
            base.metrics,
        )
        base.follower.ledger_status = self._status
        base.follower.on_view = self._view_changed
        if not self._folder.is_empty():
            self._start_group(())
        base.follower.start()
        self._run_housekeeping()
        return Ok(None)

    def _start_group(self, founders: tuple[str, ...]) -> None:
        made = self._folder.make_driver(self.state, founders)
        if made.is_error():
            self._fatal(made.error)
            return
        self.driver = driver = made.ok
        driver.on_fatal(self._fatal)
        driver.on_leadership(self._leadership_changed)
        driver.open_membership(founders, voters_for(self._base.settings.node.losses))
        self._service.serve_group(driver)
        logger.bind(founders=",".join(founders)).info("ledger_opened")
        driver.start()

    def _may_start_items(self) -> bool:
        """Tell whether items may be sent: under the leader's lease, while controllers answer."""
        needed = self._base.settings.node.losses + 1
        return self._leads() and self._base.follower.controllers.answered_within(
            needed, CONTROLLER_ANSWER_MAX_AGE_S
        )

    def _may_place(self) -> bool:
        """Tell whether this node may place requests: it leads and has a table."""
        return self._leads() and self.dispatcher.table_version > 0

    def _leads(self) -> bool:
        return self.driver is not None and self.driver.is_leader()

    def _propose(self, command: Any) -> Any:
        assert self.driver is not None
        return self.driver.propose(command)

    def _leadership_changed(self, leads: bool) -> None:
        logger.bind(leads=leads).info("ledger_leadership")
        self._quotas.leadership_changed(leads)
        assert self._placements is not None
        self._placements.on_leadership_changed()
        if leads:
            self._outcomes.start()
            self.dispatcher.start()
        else:
            self.dispatcher.stop()
            self._outcomes.stop()
        for address in self._base.follower.view().controllers:
            if address != self._base.node.address:
                self._base.follower.send_heartbeat(address)

    def _runners_changed(self, changed: list[RunnerRecord]) -> None:
        for record in changed:
            if self._incarnations.observe_restart(record):
                if self._placements is not None:
                    self._placements.on_runner_restarted(record.runner)
                self.dispatcher.on_runner_restarted(record)
        self.dispatcher.on_runners_changed(changed)

    # --- updates from controllers --------------------------------------------------------

    def _view_changed(self, view: FleetView) -> None:
        if self.driver is None and view.founders:
            own = self._base.node.address in view.founders
            self._start_group(view.founders if own else ())
        if self.driver is not None:
            self.driver.open_membership(
                self._contacts(view), voters_for(self._base.settings.node.losses)
            )
            self.driver.set_leaving_replicas(frozenset(view.leaving))

    def _contacts(self, view: FleetView) -> tuple[str, ...]:
        """Return the storage nodes that may join, or the ones to ask for admission."""
        assert self.driver is not None
        members = {member.replica for member in self.driver.members().members}
        asked = {*members, *view.ledger_voters}
        if self._base.node.address in members or not asked:
            return tuple(sorted({*view.storage, *view.founders}))
        return tuple(sorted({*asked, *view.founders}))

    def _status(self) -> LedgerStatus | None:
        driver = self.driver
        if driver is None:
            return None
        members = driver.members()
        voters = tuple(member.replica for member in members.voters())
        settled = len(voters) == len(members.members) and len(set(voters)) == len(voters)
        return LedgerStatus(driver.is_leader(), driver.term(), voters, settled)

    def _take_table(self, document: TableDocument) -> None:
        read = self._read_table(document.content)
        if read.is_error():
            logger.bind(version=document.version, fault=str(read.error)).error("table_unreadable")
            return
        self.dispatcher.set_table(read.ok)

    def _run_housekeeping(self) -> None:
        if self._stopped:
            return
        self._pool.close_stale()
        self.dispatcher.forget_dropped()
        if self.driver is not None and self.driver.is_leader():
            for command in self._retention.due(self._base.clock.seconds()):
                self.driver.propose(command)
        self._base.clock.callLater(HOUSEKEEPING_PERIOD_S, self._run_housekeeping)

    async def planned_stop(self) -> None:
        """Hand over leadership, then stop."""
        self._stopped = True
        if self.driver is not None:
            await hand_over(self.driver, self._base.clock)
        self.stop()

    def stop(self) -> None:
        """Stop at once."""
        self._stopped = True
        self.dispatcher.stop()
        self._outcomes.stop()
        if self.driver is not None:
            self.driver.stop()
        self._base.follower.stop()
