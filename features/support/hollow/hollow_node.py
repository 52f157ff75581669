"""A hollow node: everything that a gateway exchanges with control, and no callers or engines."""

from random import Random
from typing import Any

from rainsail.batch.lease_keeper import LeaseKeeper
from rainsail.batch.settings import BatchSettings
from rainsail.control.config_view import ConfigView
from rainsail.control.leader_client import LeaderClient
from rainsail.control.paged_list import PagedList
from rainsail.control.settings import ControlSettings
from rainsail.gateway.quota import TenantQuotas
from rainsail.gateway.settings import GatewaySettings
from rainsail.resources.specs import GatewaySpec
from rainsail.runtime.clock import Clock
from rainsail.wire.messenger import Messenger, Transport


class HollowNode:
    """The product's configuration view, quotas and item leases of one gateway."""

    def __init__(
        self,
        name: str,
        spec: GatewaySpec,
        replicas: tuple[str, ...],
        clock: Clock,
        transport: Transport,
        random: Random,
        control: ControlSettings,
    ) -> None:
        self.name = name
        self._clock = clock
        self._batch = BatchSettings()
        self._timer: Any = None
        messenger = Messenger(transport, clock)
        self.client = LeaderClient(messenger, replicas, clock, random, control)
        self.view = ConfigView(
            name, spec.incarnation, spec, messenger, self.client, clock, random, control
        )
        self.quotas = TenantQuotas(
            name, self.view, self.client, clock, random, GatewaySettings().admission
        )
        holder = f"{name}/{spec.incarnation}"
        self.leases = LeaseKeeper(
            holder,
            self.client,
            clock,
            self._batch,
            lambda group: [],
            lambda group, refs: None,
            lambda group: None,
            lambda group, backlog: None,
        )

    def start(self, known: PagedList | None = None) -> None:
        """Start; with ``known`` the first list is taken from there and not from the leader."""
        if known is not None:
            self.view.apply_list(known)
        self.view.start()
        self.quotas.start(lambda: None)
        self._renew()

    def _renew(self) -> None:
        self.leases.renew_all()
        self._timer = self._clock.callLater(self._batch.lease_renewal_period_s, self._renew)
