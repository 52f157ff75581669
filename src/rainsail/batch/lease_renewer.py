"""Renews the item leases of one holder and says when they must be taken as lost.

A lease holds from the moment that its renewal was SENT, on this process's own clock, so a
paused process finds on waking that its lease has lapsed before it acts on it.
"""

from collections.abc import Callable
from dataclasses import dataclass

from expression import Result

from rainsail.batch.settings import BatchSettings
from rainsail.control.interface import ControlClient
from rainsail.control.messages import RenewItemLeases, RenewItemLeasesReply
from rainsail.errors import Fault
from rainsail.logs import logger
from rainsail.runtime.clock import Clock
from rainsail.state.commands import GroupId, ItemRef


@dataclass(slots=True)
class _GroupLease:
    """When the lease of one group ends, and whether a renewal is under way."""

    expires_at_s: float | None = None
    renewing: bool = False


class LeaseRenewer:
    """Keeps the leases of every group alive while items are held.

    ``refs_of(group)`` names the items held; ``on_stop(group, refs)`` hears what must be
    cancelled, ``on_lapse(group)`` that every lease of a group is lost, and
    ``on_backlog(group, backlog)`` how many items wait per service.
    """

    def __init__(
        self,
        holder: str,
        control: ControlClient,
        clock: Clock,
        settings: BatchSettings,
        refs_of: Callable[[GroupId], list[ItemRef]],
        on_stop: Callable[[GroupId, tuple[ItemRef, ...]], None],
        on_lapse: Callable[[GroupId], None],
        on_backlog: Callable[[GroupId, dict[str, int]], None],
    ) -> None:
        self._holder = holder
        self._control = control
        self._clock = clock
        self._settings = settings
        self._refs_of = refs_of
        self._on_stop = on_stop
        self._on_lapse = on_lapse
        self._on_backlog = on_backlog
        self._leases = {group: _GroupLease() for group in settings.groups}

    def renew_all(self) -> None:
        """Renew every group's lease; one renewal per group is under way at a time."""
        for group, lease in self._leases.items():
            if not lease.renewing:
                self._renew(group, lease)

    def note_leased(self, group: GroupId, sent_at_s: float) -> None:
        """Count a first lease from when its command was sent."""
        lease = self._leases[group]
        if lease.expires_at_s is None:
            lease.expires_at_s = sent_at_s + self._settings.item_lease_s

    def valid(self, group: GroupId) -> bool:
        """Tell whether the leases of a group hold now."""
        expires_at_s = self._leases[group].expires_at_s
        return expires_at_s is None or self._clock.seconds() < expires_at_s

    def check(self) -> None:
        """Report every group whose lease has lapsed, once."""
        for group, lease in self._leases.items():
            if not self.valid(group):
                lease.expires_at_s = None
                self._on_lapse(group)

    def _renew(self, group: GroupId, lease: _GroupLease) -> None:
        lease.renewing = True
        sent_at_s = self._clock.seconds()
        request = RenewItemLeases(group, self._holder, tuple(self._refs_of(group)))
        called = self._control.call(request, self._settings.lease_renewal_period_s)
        called.addCallback(self._renewed, group, sent_at_s)

    def _renewed(
        self,
        result: "Result[RenewItemLeasesReply, Fault]",
        group: GroupId,
        sent_at_s: float,
    ) -> None:
        lease = self._leases[group]
        lease.renewing = False
        self.check()
        if result.is_error():
            # The lease runs out by itself unless a later renewal gets through.
            logger.bind(group=group).info("item leases not renewed: {}", result.error)
            return
        reply = result.ok
        lease.expires_at_s = sent_at_s + reply.lease_s
        self.check()
        if reply.stop:
            self._on_stop(group, reply.stop)
        self._on_backlog(group, reply.backlog)
