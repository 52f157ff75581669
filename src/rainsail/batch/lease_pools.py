"""The pools of leased items that do not run on an engine, one for each service."""

from collections.abc import Callable

from rainsail.batch.held_item import HeldItem
from rainsail.batch.lease_pool import LeasePool
from rainsail.state.commands import GroupId, ItemRef


class LeasePools:
    """Creates the pool of a service with ``make_pool`` on first use."""

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
        """Return every service that has a pool, with its pool."""
        return list(self._pools.items())

    def requeue(self, held: HeldItem) -> None:
        """Put an unfinished item at the front of its service's queue."""
        self.of_service(held.service).requeue(held)

    def refs(self, group: GroupId) -> list[ItemRef]:
        """Return the references of a group's items in all pools."""
        return [ref for pool in self._pools.values() for ref in pool.refs(group)]

    def drop(self, group: GroupId, ref: ItemRef) -> None:
        """Remove an item whose lease the ledger has revoked."""
        for pool in self._pools.values():
            pool.drop(group, ref)

    def take_group(self, group: GroupId) -> list[HeldItem]:
        """Remove and return all items of a group."""
        return [held for pool in self._pools.values() for held in pool.take_group(group)]

    def stop(self) -> list[HeldItem]:
        """Stop leasing; remove and return all items."""
        return [held for pool in self._pools.values() for held in pool.stop()]
