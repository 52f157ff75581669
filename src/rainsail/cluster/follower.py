"""A node's side of the fleet: it beats to the controllers that it follows and takes their word.

Nothing here is durable. What controllers push is taken at once; each beat makes good whatever a
lost push left out. A node keeps its last view while no controller answers.
"""

from collections.abc import Callable
from dataclasses import dataclass

from twisted.internet.defer import Deferred

from rainsail.cluster.followed import followed_controllers
from rainsail.cluster.messages import (
    FetchTable,
    FleetView,
    LedgerLeader,
    LedgerStatus,
    NodeBeat,
    NodeBeatReply,
    NodeRecord,
    RunnerPage,
    RunnerReads,
    RunnerRecord,
    RunnerUpdate,
    TableDocument,
    TableNotice,
    ZoneDrainNotice,
)
from rainsail.cluster.registry import RunnerRegistry
from rainsail.logs import logger
from rainsail.quarantine.book import QuarantineBook
from rainsail.quarantine.messages import QuarantineNotice
from rainsail.runtime.clock import Clock
from rainsail.state.cluster_commands import Quarantine, ZoneDrain
from rainsail.wire.codec import decode
from rainsail.wire.messenger import Messenger

BEAT_PERIOD_S = 1.0
FIRST_BEATS_PERIOD_S = 0.1
"""Time between two beats while no controller has answered yet."""
CALL_TIMEOUT_S = 1.0
CONTROLLER_FORGOTTEN_AFTER_S = 30.0
EMPTY_VIEW = FleetView((), (), (), (), "")


@dataclass(slots=True)
class _Controller:
    epoch: int = 0
    revision: int = 0
    view_number: int = 0
    heard_s: float = float("-inf")
    asked_s: float = float("-inf")
    waiting: bool = False
    fetching: bool = False
    view: FleetView = EMPTY_VIEW


class FleetFollower:
    """Keeps a node's view of the fleet fresh."""

    def __init__(
        self,
        node: NodeRecord,
        seeds: tuple[str, ...],
        messenger: Messenger,
        clock: Clock,
        registry: RunnerRegistry,
    ) -> None:
        self._node = node
        self._seeds = seeds
        self._messenger = messenger
        self._clock = clock
        self.registry = registry
        self.quarantine = QuarantineBook()
        self._controllers: dict[str, _Controller] = {}
        self._stopped = False
        self._rounds = 0
        self._fetching_version = 0
        self._pushed_leader = (0, "")
        self.table_version = 0
        self.ledger_status: Callable[[], LedgerStatus | None] = lambda: None
        self.on_runners: Callable[[list[RunnerRecord]], None] = lambda changed: None
        self.on_table: Callable[[TableDocument], None] = lambda document: None
        self.on_view: Callable[[FleetView], None] = lambda view: None
        messenger.serve(RunnerUpdate, self._take_update)
        self.on_ledger_leader: Callable[[str], None] = lambda address: None
        messenger.serve(TableNotice, self._take_notice)
        messenger.serve(ZoneDrainNotice, self._take_drain_notice)
        messenger.serve(QuarantineNotice, self._take_quarantine_notice)
        messenger.serve(LedgerLeader, self._take_ledger_leader)

    def start(self) -> None:
        """Begin to beat."""
        for seed in self._seeds:
            self._know(seed)
        self._tick()

    def stop(self) -> None:
        """Beat no more."""
        self._stopped = True

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Take other seeds, when the settings name others."""
        self._seeds = seeds
        for seed in seeds:
            self._know(seed)

    @property
    def heard_any(self) -> bool:
        """Tell whether some controller has ever answered."""
        return any(each.heard_s > float("-inf") for each in self._controllers.values())

    def heard_lately(self) -> int:
        """Return how many controllers have answered within the last two beats."""
        return sum(1 for each in self._controllers.values() if self._is_fresh(each))

    def hears(self, count: int, within_s: float) -> bool:
        """Tell whether so many voters have answered within a time.

        What a quorum of voters knows, one of ``losses + 1`` voters knows.
        """
        return self.silent_s(count) <= within_s

    def silent_s(self, count: int) -> float:
        """Return how long ago so many voters had last answered."""
        voters = self.voters() or self._controllers
        found = [each for name, each in self._controllers.items() if name in voters]
        heard = sorted((each.heard_s for each in found), reverse=True)
        if len(heard) < count:
            return float("inf")
        return self._clock.seconds() - heard[count - 1]

    def voters(self) -> tuple[str, ...]:
        """Return the voters of the root group as the controller heard of last names them."""
        return self._newest_view().voters

    def _newest_view(self) -> FleetView:
        fresh = self._fresh()
        return fresh[-1].view if fresh else EMPTY_VIEW

    def view(self) -> FleetView:
        """Return what the controllers heard of lately say together."""
        fresh = [each.view for each in self._fresh()]
        leaders = [(view.ledger_term, view.ledger_leader) for view in fresh if view.ledger_leader]
        ledger_term, ledger_leader = max([self._pushed_leader, *leaders], key=_term_of)
        founders = [view.founders for view in fresh if view.founders]
        return FleetView(
            tuple(sorted(self._controllers)),
            tuple(sorted({name for view in fresh for name in view.storage})),
            founders[0] if founders else (),
            tuple(sorted({name for view in fresh for name in view.leaving})),
            ledger_leader,
            self._newest_view().voters,
            self._newest_view().ledger_voters,
            ledger_term,
            self._newest_view().gateways,
        )

    def _fresh(self) -> list[_Controller]:
        heard = [each for each in self._controllers.values() if each.heard_s > float("-inf")]
        return sorted(heard, key=lambda each: each.heard_s)

    # --- beats ---------------------------------------------------------------------------

    def _know(self, address: str) -> _Controller:
        known = self._controllers.get(address)
        if known is None:
            known = self._controllers[address] = _Controller(asked_s=self._clock.seconds())
        return known

    def _tick(self) -> None:
        if self._stopped:
            return
        self._rounds += 1
        for address in self.followed():
            self.beat(address)
        self._forget_lost()
        period_s = BEAT_PERIOD_S if self.heard_any else FIRST_BEATS_PERIOD_S
        self._clock.callLater(period_s, self._tick)

    def followed(self) -> list[str]:
        """Return the controllers that this node beats to now."""
        heard_s = {
            name: each.heard_s
            for name, each in self._controllers.items()
            if name != self._node.address
        }
        now = self._clock.seconds()
        return followed_controllers(heard_s, self.voters(), self._seeds, self._rounds, now)

    def beat(self, address: str) -> None:
        """Send one beat, unless the last one still waits for its answer."""
        controller = self._know(address)
        if controller.waiting:
            return
        controller.waiting = True
        beat = NodeBeat(
            self._node,
            controller.epoch,
            controller.revision,
            controller.view_number,
            self.ledger_status(),
        )
        reply: Deferred = self._messenger.call(address, beat, CALL_TIMEOUT_S)
        reply.addCallback(self._take_reply, address)

    def _take_reply(self, result: object, address: str) -> None:
        controller = self._know(address)
        controller.waiting = False
        if self._stopped or result.is_error():  # type: ignore[attr-defined]
            return
        reply: NodeBeatReply = result.ok  # type: ignore[attr-defined]
        if controller.heard_s == float("-inf"):
            logger.bind(controller=address, revision=reply.revision).info("controller_found")
        controller.heard_s = self._clock.seconds()
        controller.epoch = reply.epoch
        controller.revision = reply.revision
        controller.view_number = reply.view_number
        if reply.view is not None:
            controller.view = reply.view
            self.take_zone_drains(reply.view.zone_drains)
            self.take_quarantine(reply.view.quarantine)
            for name in reply.view.controllers:
                self._know(name)
        if reply.runners:
            page: RunnerPage = decode(reply.runners)
            self._merge(page.runners)
        self.on_view(self.view())
        self._want_table(address, reply.table_version)

    def _forget_lost(self) -> None:
        now = self._clock.seconds()
        named = {name for each in self._fresh()[-1:] for name in each.view.controllers}
        for address, controller in list(self._controllers.items()):
            if address in self._seeds or address in named:
                continue
            if now - max(controller.heard_s, controller.asked_s) > CONTROLLER_FORGOTTEN_AFTER_S:
                del self._controllers[address]

    # --- what controllers say ------------------------------------------------------------

    def _take_update(self, source: str, update: RunnerUpdate) -> None:
        controller = self._controllers.get(source)
        follows = (
            controller is not None
            and controller.epoch == update.epoch
            and controller.revision == update.previous_revision
        )
        if controller is not None and follows:
            controller.revision = update.revision
        self._merge(update.runners)

    def _merge(self, records: tuple[RunnerRecord, ...]) -> None:
        changed = self.registry.take(records)
        if changed:
            self.on_runners(changed)

    def _take_notice(self, source: str, notice: TableNotice) -> None:
        self._want_table(source, notice.version)

    def _take_drain_notice(self, source: str, notice: ZoneDrainNotice) -> None:
        self.take_zone_drains(notice.zone_drains)

    def take_zone_drains(self, drains: tuple[ZoneDrain, ...]) -> None:
        """Obey the operator's orders on zones, as far as they are newer than those known."""
        for drain in self.registry.take_zone_drains(drains):
            log = logger.bind(zone=drain.zone, draining=drain.draining, order=drain.revision)
            log.info("zone_drain_obeyed")

    def _take_quarantine_notice(self, source: str, notice: QuarantineNotice) -> None:
        self.take_quarantine(notice.quarantine)

    def take_quarantine(self, quarantine: Quarantine) -> None:
        """Keep the held requests from runners, if the list is newer than the one known."""
        if self.quarantine.take(quarantine):
            log = logger.bind(revision=quarantine.revision, held=len(self.quarantine.held))
            log.info("quarantine_obeyed")

    def _take_ledger_leader(self, source: str, message: LedgerLeader) -> None:
        self._pushed_leader = max(
            self._pushed_leader, (message.term, message.address), key=_term_of
        )
        self.on_ledger_leader(self.view().ledger_leader)

    def tell_reading(self, runner: str, reading_s: float) -> None:
        """Have a controller tell the other gateways that a runner reads a long prompt."""
        fresh = [name for name, each in self._controllers.items() if self._is_fresh(each)]
        if fresh:
            self._messenger.send(fresh[0], RunnerReads(runner, reading_s))

    def _is_fresh(self, controller: _Controller) -> bool:
        return self._clock.seconds() - controller.heard_s < 2 * BEAT_PERIOD_S

    def _want_table(self, address: str, version: int) -> None:
        controller = self._know(address)
        if version <= max(self.table_version, self._fetching_version) or controller.fetching:
            return
        controller.fetching = True
        self._fetching_version = version
        reply = self._messenger.call(address, FetchTable(), CALL_TIMEOUT_S)
        reply.addCallback(self._take_table, address)

    def _take_table(self, result: object, address: str) -> None:
        self._know(address).fetching = False
        self._fetching_version = 0
        if self._stopped or result.is_error():  # type: ignore[attr-defined]
            return
        document: TableDocument = result.ok  # type: ignore[attr-defined]
        if document.version > self.table_version:
            self.table_version = document.version
            logger.bind(version=document.version, controller=address).info("table_taken")
            self.on_table(document)


def _term_of(leader: tuple[int, str]) -> int:
    return leader[0]
