"""Renews the item leases of one holder and reports when they have expired.

The term of a lease starts when its renewal is SENT, on this process's own clock. A process that was
suspended thus notices the expired lease before it acts on it.
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
    """When the lease of one group expires, and whether a renewal is in flight."""

    expires_at_s: float | None = None
    renewing: bool = False


class LeaseRenewer:
    """Renews the leases of every group.

    ``refs_of(group)`` returns the held items. ``on_stop(group, refs)`` is called with items to
    cancel, ``on_lapse(group)`` when all leases of a group have expired, and
    ``on_backlog(group, backlog)`` with the number of waiting items by service.
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
        """Renew every group's lease; at most one renewal per group is in flight."""
        for group, lease in self._leases.items():
            if not lease.renewing:
                self._renew(group, lease)

    def note_leased(self, group: GroupId, sent_at_s: float) -> None:
        """Start the term of a group's first lease at the time its command was sent."""
        lease = self._leases[group]
        if lease.expires_at_s is None:
            lease.expires_at_s = sent_at_s + self._settings.item_lease_s

    def valid(self, group: GroupId) -> bool:
        """Tell whether the leases of a group are valid now."""
        expires_at_s = self._leases[group].expires_at_s
        return expires_at_s is None or self._clock.seconds() < expires_at_s

    def check(self) -> None:
        """Report each group whose lease has expired, once."""
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
            # The lease expires unless a later renewal succeeds.
            logger.bind(group=group).info("item leases not renewed: {}", result.error)
            return
        reply = result.ok
        lease.expires_at_s = sent_at_s + reply.lease_s
        self.check()
        if reply.stop:
            self._on_stop(group, reply.stop)
        self._on_backlog(group, reply.backlog)
