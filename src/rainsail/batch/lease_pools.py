"""The pools of leased items that run on no engine, one for each service."""

from collections.abc import Callable

from rainsail.batch.held_item import HeldItem
from rainsail.batch.lease_pool import LeasePool
from rainsail.state.commands import GroupId, ItemRef


class LeasePools:
    """Makes a service's pool with ``make_pool`` when it is first asked for."""

    def __init__(self, make_pool: Callable[[str], LeasePool]) -> None:
        self._make_pool = make_pool
        self._pools: dict[str, LeasePool] = {}

    def of_service(self, service: str) -> LeasePool:
        """Return a service's pool."""
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = self._make_pool(service)
        return pool

    def by_service(self) -> list[tuple[str, LeasePool]]:
        """Return every service that has a pool, and the pool."""
        return list(self._pools.items())

    def requeue(self, held: HeldItem) -> None:
        """Put an item that did not finish first in its service's line."""
        self.of_service(held.service).requeue(held)

    def refs(self, group: GroupId) -> list[ItemRef]:
        """Return the items of a group that are held in pools."""
        return [ref for pool in self._pools.values() for ref in pool.refs(group)]

    def drop(self, group: GroupId, ref: ItemRef) -> None:
        """Forget an item that the ledger has taken back."""
        for pool in self._pools.values():
            pool.drop(group, ref)

    def take_group(self, group: GroupId) -> list[HeldItem]:
        """Take every item of a group out."""
        return [held for pool in self._pools.values() for held in pool.take_group(group)]

    def stop(self) -> list[HeldItem]:
        """Lease nothing more; return the items that are held."""
        return [held for pool in self._pools.values() for held in pool.stop()]
