"""The node's side of fleet membership: sends heartbeats to controllers and applies their updates.

Nothing here is durable. Pushes from controllers are applied at once; each heartbeat reply covers
whatever a lost push left out. A node keeps its last view while no controller answers. Relies on
``known_controllers`` for which controllers are in touch, and on the registry for which of two
reports is newer.
"""

from collections.abc import Callable

from twisted.internet.defer import Deferred

from rainsail.cluster.known_controllers import HEARTBEAT_PERIOD_S, KnownControllers
from rainsail.cluster.messages import (
    FetchTable,
    FleetView,
    LedgerLeader,
    LedgerStatus,
    NodeHeartbeat,
    NodeHeartbeatReply,
    NodeRecord,
    RunnerPage,
    RunnerPrefill,
    RunnerRecord,
    RunnerUpdate,
    TableDocument,
    TableNotice,
    ZoneDrainNotice,
)
from rainsail.cluster.registry import RunnerRegistry
from rainsail.cluster.runner_doubts import RunnerDoubted, take_doubt
from rainsail.cluster.runner_versions import RunnerVersionPage, RunnerVersions
from rainsail.logs import logger
from rainsail.quarantine.messages import QuarantineNotice
from rainsail.quarantine.view import QuarantineView
from rainsail.runtime.clock import Clock, Timer
from rainsail.state.cluster_commands import Quarantine, ZoneDrain
from rainsail.wire.codec import decode
from rainsail.wire.messenger import Messenger

FIRST_HEARTBEATS_PERIOD_S = 0.1
"""Heartbeat period until the first controller has answered.

It bounds the extra wait of a node that starts together with its controllers.
"""
CALL_TIMEOUT_S = 1.0
"""Timeout of a heartbeat and of fetching a table: one heartbeat period."""
FETCH_HEDGE_S = 0.2
"""A table that has not arrived after this time is fetched from a second controller as well.

A controller may freeze after it has told of a table. Longer than a round trip between regions.
"""


class FleetFollower:
    """Keeps a node's view of the fleet up to date."""

    def __init__(
        self,
        node: NodeRecord,
        seeds: tuple[str, ...],
        messenger: Messenger,
        clock: Clock,
        registry: RunnerRegistry,
    ) -> None:
        self._node = node
        self._messenger = messenger
        self._clock = clock
        self.registry = registry
        self.quarantine = QuarantineView()
        self.controllers = KnownControllers(node.address, seeds, clock)
        self._stopped = False
        self._rounds = 0
        self._fetch_timer: Timer | None = None
        """Runs while the latest fetch may still be answered in time."""
        self._pushed_leader = (0, "")
        self.table_version = 0
        self.ledger_status: Callable[[], LedgerStatus | None] = lambda: None
        self.on_runners: Callable[[list[RunnerRecord]], None] = lambda changed: None
        self.on_table: Callable[[TableDocument], None] = lambda document: None
        self.on_view: Callable[[FleetView], None] = lambda view: None
        self.on_ledger_leader: Callable[[str], None] = lambda address: None
        self.on_heard: list[Callable[[], None]] = []
        """Called after each update and each heartbeat reply of a controller was applied."""
        self.on_controller_started: Callable[[str], None] = lambda address: None
        """Called with a controller of which no reply had been received since its start."""
        messenger.serve(RunnerUpdate, self._take_update)
        messenger.serve(RunnerVersions, self._take_versions)
        messenger.serve(RunnerDoubted, lambda source, message: self._take_doubt(message))
        messenger.serve(TableNotice, self._take_notice)
        messenger.serve(ZoneDrainNotice, self._take_drain_notice)
        messenger.serve(QuarantineNotice, self._take_quarantine_notice)
        messenger.serve(LedgerLeader, self._take_ledger_leader)

    def start(self) -> None:
        """Start to send heartbeats."""
        self.controllers.add_seeds()
        self._run_periodically()

    def stop(self) -> None:
        """Stop to send heartbeats."""
        self._stopped = True

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after the settings have changed."""
        self.controllers.add_seeds(seeds)

    def heartbeat_targets(self) -> list[str]:
        """Return the controllers that this node currently sends heartbeats to."""
        return self.controllers.heartbeat_targets(self._rounds)

    def view(self) -> FleetView:
        """Return the merged view of all controllers that have answered."""
        views = [each.view for each in self.controllers.answered()]
        newest = self.controllers.newest_view()
        leaders = [(view.ledger_term, view.ledger_leader) for view in views if view.ledger_leader]
        ledger_term, ledger_leader = max([self._pushed_leader, *leaders], key=_term_of)
        founders = [view.founders for view in views if view.founders]
        return FleetView(
            self.controllers.addresses(),
            tuple(sorted({name for view in views for name in view.storage})),
            founders[0] if founders else (),
            tuple(sorted({name for view in views for name in view.leaving})),
            ledger_leader,
            newest.voters,
            newest.ledger_voters,
            ledger_term,
            newest.gateways,
        )

    # --- heartbeats ----------------------------------------------------------------------

    def _run_periodically(self) -> None:
        if self._stopped:
            return
        self._rounds += 1
        for address in self.heartbeat_targets():
            self.send_heartbeat(address)
        self.controllers.forget_unreachable()
        any_answered = self.controllers.any_answered
        period_s = HEARTBEAT_PERIOD_S if any_answered else FIRST_HEARTBEATS_PERIOD_S
        self._clock.callLater(period_s, self._run_periodically)

    def send_heartbeat(self, address: str) -> None:
        """Send one heartbeat, unless the previous one is still unanswered."""
        controller = self.controllers.get_or_add(address)
        if controller.waiting:
            return
        controller.waiting = True
        heartbeat = NodeHeartbeat(
            self._node,
            controller.epoch,
            controller.revision,
            controller.view_number,
            self.ledger_status(),
        )
        reply: Deferred = self._messenger.call(address, heartbeat, CALL_TIMEOUT_S)
        reply.addCallback(self._take_reply, address)

    def _take_reply(self, result: object, address: str) -> None:
        controller = self.controllers.get_or_add(address)
        controller.waiting = False
        if self._stopped:
            return
        if result.is_error():  # type: ignore[attr-defined]
            self.registry.coverage.failed(address)
            return
        reply: NodeHeartbeatReply = result.ok  # type: ignore[attr-defined]
        if not controller.has_answered:
            logger.bind(controller=address, revision=reply.revision).info("controller_found")
        is_new = not controller.has_answered or controller.epoch != reply.epoch
        self.controllers.note_answer(controller, reply)
        if reply.view is not None:
            self.take_zone_drains(reply.view.zone_drains)
            self.take_quarantine(reply.view.quarantine)
        if reply.runners:
            page: RunnerPage = decode(reply.runners)
            self._merge(page.runners)
        self.registry.coverage.answered(address, reply.epoch, self._clock.seconds())
        self.on_view(self.view())
        self._note_table_version(address, reply.table_version)
        if is_new:
            self.on_controller_started(address)
        self._heard()

    def _heard(self) -> None:
        for listener in self.on_heard:
            listener()

    # --- updates from controllers --------------------------------------------------------

    def _take_update(self, source: str, update: RunnerUpdate) -> None:
        controller = self.controllers.get(source)
        follows = (
            controller is not None
            and controller.epoch == update.epoch
            and controller.revision == update.previous_revision
        )
        if controller is not None and follows:
            controller.revision = update.revision
        self._merge(update.runners)
        self._heard()

    def _take_versions(self, source: str, message: RunnerVersions) -> None:
        page: RunnerVersionPage = decode(message.page)
        for version in page.versions:
            self.registry.versions.take(version)

    def _take_doubt(self, message: RunnerDoubted) -> None:
        take_doubt(self.registry, message)

    def _merge(self, records: tuple[RunnerRecord, ...]) -> None:
        changed = self.registry.take(records)
        if changed:
            self.on_runners(changed)

    def _take_notice(self, source: str, notice: TableNotice) -> None:
        self._note_table_version(source, notice.version)

    def _take_drain_notice(self, source: str, notice: ZoneDrainNotice) -> None:
        self.take_zone_drains(notice.zone_drains)

    def take_zone_drains(self, drains: tuple[ZoneDrain, ...]) -> None:
        """Apply those of the operators' zone drain orders that are newer than the known ones."""
        for drain in self.registry.take_zone_drains(drains):
            log = logger.bind(zone=drain.zone, draining=drain.draining, order=drain.revision)
            log.info("zone_drain_obeyed")

    def _take_quarantine_notice(self, source: str, notice: QuarantineNotice) -> None:
        self.take_quarantine(notice.quarantine)

    def take_quarantine(self, quarantine: Quarantine) -> None:
        """Apply the list of held requests if it is newer than the known one."""
        if self.quarantine.take(quarantine, self._clock.seconds()):
            log = logger.bind(revision=quarantine.revision, held=len(self.quarantine.held))
            log.info("quarantine_obeyed")

    def _take_ledger_leader(self, source: str, message: LedgerLeader) -> None:
        self._pushed_leader = max(
            self._pushed_leader, (message.term, message.address), key=_term_of
        )
        self.on_ledger_leader(self.view().ledger_leader)

    def announce_prefill(self, runner: str, reading_s: float) -> None:
        """Have a controller notify the other gateways that a runner is busy with a long prompt."""
        in_touch = self.controllers.in_touch()
        if in_touch:
            self._messenger.send(in_touch[0], RunnerPrefill(runner, reading_s))

    # --- routing tables ------------------------------------------------------------------

    def knows_of_newer_table(self) -> bool:
        """Tell whether a controller has told of a newer table than the one here."""
        return self.controllers.newest_told_version() > self.table_version

    def learn_table_version(self, version: int) -> None:
        """Fetch a table that was committed, from any controller in touch that has it."""
        for address in self.controllers.in_touch():
            controller = self.controllers.get_or_add(address)
            controller.told_version = max(controller.told_version, version)
        self._fetch_newer_table()

    def _note_table_version(self, address: str, version: int) -> None:
        controller = self.controllers.get_or_add(address)
        controller.told_version = max(controller.told_version, version)
        controller.fetch_failed = False
        self._fetch_newer_table()

    def _fetch_newer_table(self) -> None:
        """Fetch a newer table, from one controller at a time as long as each answers soon."""
        if self._stopped or self._fetch_timer is not None:
            return
        address = self.controllers.source_of_newer_table(self.table_version)
        if not address:
            return
        self.controllers.get_or_add(address).fetching = True
        self._fetch_timer = self._clock.callLater(FETCH_HEDGE_S, self._end_wait_for_table)
        reply = self._messenger.call(address, FetchTable(), CALL_TIMEOUT_S)
        reply.addCallback(self._take_table, address)

    def _end_wait_for_table(self) -> None:
        """Ask the next controller if the table has not arrived."""
        if self._fetch_timer is not None and self._fetch_timer.active():
            self._fetch_timer.cancel()
        self._fetch_timer = None
        self._fetch_newer_table()

    def _take_table(self, result: object, address: str) -> None:
        controller = self.controllers.get_or_add(address)
        controller.fetching = False
        if self._stopped:
            return
        if result.is_error():  # type: ignore[attr-defined]
            controller.fetch_failed = True
            log = logger.bind(controller=address, fault=str(result.error))  # type: ignore[attr-defined]
            log.info("table_not_fetched")
            self._end_wait_for_table()
            return
        document: TableDocument = result.ok  # type: ignore[attr-defined]
        controller.told_version = document.version
        if document.version > self.table_version:
            self.table_version = document.version
            logger.bind(version=document.version, controller=address).info("table_taken")
            self.on_table(document)
        self._end_wait_for_table()


def _term_of(leader: tuple[int, str]) -> int:
    return leader[0]
