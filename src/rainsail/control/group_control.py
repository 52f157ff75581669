"""The leader's in-memory state of one group, and the gateway requests served from it."""

from expression import Error, Ok, Result
from twisted.internet.defer import Deferred

from rainsail.consensus.interface import Group
from rainsail.control.config_leases import ConfigLeaseTable, LeaseHolder, LeaseTerms
from rainsail.control.faults import not_leader
from rainsail.control.in_force import InForceLoop
from rainsail.control.item_lease_loop import ItemLeaseLoop
from rainsail.control.item_leases import ItemLeaseTable, OrphanedItems
from rainsail.control.list_pages import SharedPages
from rainsail.control.long_poll import LongPolls, PollAnswer
from rainsail.control.messages import (
    ConfigPoll,
    ConfigRelease,
    ConfigReleased,
    QuotaReport,
    QuotaShares,
    RenewItemLeases,
    RenewItemLeasesReply,
)
from rainsail.control.settings import ControlSettings
from rainsail.control.stale_items import items_to_stop
from rainsail.errors import Fault
from rainsail.resources.specs import Kind, ResourceKey, TenantSpec
from rainsail.runtime.clock import Clock
from rainsail.state.commands import Command, LeaseItems, ReturnedItem, ReturnItems
from rainsail.state.interface import ReplicatedReader
from rainsail.tenancy.lender import QuotaLender, ShareTerms


class GroupControl:
    """The leader's tasks for one group; idle on a follower."""

    def __init__(
        self, group: Group, state: ReplicatedReader, clock: Clock, settings: ControlSettings
    ) -> None:
        self.group = group
        self.state = state
        self._clock = clock
        self._settings = settings
        margin = settings.clock_rate_margin
        self._config_leases = ConfigLeaseTable(LeaseTerms(settings.config_lease_s, margin))
        self._item_leases = ItemLeaseTable(LeaseTerms(settings.item_lease_s, margin))
        self._orphans = OrphanedItems(LeaseTerms(settings.item_lease_s, margin))
        self._quota = QuotaLender(
            ShareTerms(settings.quota_share_s, margin, settings.quota_reserve_fraction)
        )
        self._polls = LongPolls(
            state, clock, settings.poll_coalesce_s, settings.max_events_per_poll
        )
        self.shared_pages = SharedPages()
        self._polls.set_check(self._poll_fault)
        self._in_force = InForceLoop(
            group, state, self._config_leases, clock, settings.in_force_period_s, self.serving
        )
        self._item_loop = ItemLeaseLoop(
            group, state, self._item_leases, clock, settings.item_lease_check_period_s, self.serving
        )
        self._leading = False

    def start(self) -> None:
        """Subscribe to the group's leadership changes and applied entries."""
        self.group.on_leadership(self._leadership_changed)
        self.group.on_applied(lambda index: self._polls.state_applied())
        if self.group.is_leader():
            self._leadership_changed(True)

    def stop(self) -> None:
        """Stop the leader's tasks and refuse parked polls."""
        self._leadership_changed(False)

    def serving(self) -> bool:
        """Tell whether this replica is the leader now and holds its read lease."""
        return self._leading and self.group.is_leader()

    async def linearizable_read(self, step: str) -> Result[None, Fault]:
        """Ensure that a later read of the state sees everything committed before the call."""
        if not self.serving():
            return Error(not_leader(step, self.group))
        barrier = await self.group.read_barrier()
        if barrier.is_error():
            return Error(barrier.error)
        if not self.serving():
            return Error(not_leader(step, self.group))
        return Ok(None)

    def config_poll(self, poll: ConfigPoll) -> "Fault | Deferred[PollAnswer]":
        """Grant or renew a configuration lease and answer with new events, now or later."""
        if not self.serving():
            return not_leader("control.config_poll", self.group)
        holder = LeaseHolder(poll.gateway, poll.incarnation)
        floor = self._in_force.floor_revision()
        now_s = self._clock.seconds()
        lease_s = self._config_leases.renew(holder, poll.applied_revision, floor, now_s)
        wait_s = min(poll.wait_s, self._settings.poll_wait_s)
        return self._polls.answer(poll.applied_revision, lease_s, wait_s)

    def config_release(self, request: ConfigRelease) -> Fault | ConfigReleased:
        """Remove the lease of a gateway that has stopped serving."""
        if not self.serving():
            return not_leader("control.config_release", self.group)
        self._config_leases.release(LeaseHolder(request.gateway, request.incarnation))
        return ConfigReleased()

    def renew_item_leases(self, request: RenewItemLeases) -> Fault | RenewItemLeasesReply:
        """Renew a holder's item leases; return the items to stop and the backlog per service."""
        if not self.serving():
            return not_leader("control.renew_item_leases", self.group)
        now_s = self._clock.seconds()
        lease_s = self._item_leases.renew(request.holder, now_s)
        self._return_orphans(request, now_s)
        stop = items_to_stop(self.state, request.holder, request.running)
        return RenewItemLeasesReply(stop, lease_s, self.state.backlogs())

    def note_proposal(self, command: Command) -> None:
        """Count a LeaseItems command as a renewal, as it shows that its holder is alive."""
        if isinstance(command, LeaseItems):
            self._item_leases.renew(command.holder, self._clock.seconds())

    def _return_orphans(self, request: RenewItemLeases, now_s: float) -> None:
        leased = self.state.held_by(request.holder)
        orphans = self._orphans.renewed(request.holder, leased, request.running, now_s)
        if orphans:
            returned = tuple(ReturnedItem(ref, "") for ref in orphans)
            self.group.propose(ReturnItems(request.holder, returned))

    def quota_report(self, report: QuotaReport) -> Fault | QuotaShares:
        """Grant the reporting gateway its shares of the tenants' rates."""
        if not self.serving():
            return not_leader("control.quota_report", self.group)
        limits = {}
        for demand in report.demands:
            resource = self.state.get(ResourceKey(Kind.TENANT, demand.tenant))
            if resource is not None and isinstance(resource.spec, TenantSpec):
                limits[demand.tenant] = resource.spec
        return self._quota.lend(report, limits, self._clock.seconds())

    def _poll_fault(self) -> Fault | None:
        return None if self.serving() else not_leader("control.config_poll", self.group)

    def _leadership_changed(self, leading: bool) -> None:
        self._leading = leading
        if leading:
            now_s = self._clock.seconds()
            self._config_leases.begin(now_s)
            self._quota.begin(now_s)
            self._in_force.begin()
            self._orphans.begin()
            self._item_loop.begin()
            return
        self._in_force.end()
        self._item_loop.end()
        self._polls.refuse_all(not_leader("control.config_poll", self.group))
