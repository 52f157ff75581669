"""Finds the route of an item, and with it the service, the regions and the attempts it may use.

Owns the routing table by which items run.
"""

from collections.abc import Iterable
from typing import TypeVar

from rainsail.jobs.item_order import FreshItems
from rainsail.jobs.job_state import JobState, RelayedJob
from rainsail.jobs.open_item import OpenItem
from rainsail.relay.table import Route, RoutingTable
from rainsail.routing.residency import AllowedRegions
from rainsail.state.job_commands import ItemNote

ItemsOfJob = TypeVar("ItemsOfJob", FreshItems, OpenItem, ItemNote)


class ItemRoutes:
    """Routes by the table in force; while none is known there is no route."""

    def __init__(self, state: JobState) -> None:
        self.table: RoutingTable | None = None
        self._state = state

    @property
    def version(self) -> int:
        """The version of the routing table, 0 while none is known."""
        return 0 if self.table is None else self.table.version

    def of_job(self, job: RelayedJob) -> Route | None:
        """Return the route by which a job was handed in."""
        return None if self.table is None else self.table.match(job.host, job.path)

    def of_item(self, job: RelayedJob, index: int) -> Route | None:
        """Return the route of an item's own path, or the job's route where there is none."""
        if self.table is None:
            return None
        return self.table.match(job.host, job.items[index].path) or self.of_job(job)

    def due_within_s(self, job: RelayedJob) -> float:
        """Return how long after its acceptance a job is due, 0 where no time is set."""
        route = self.of_job(job)
        return 0.0 if route is None else route.completion_s

    def kept_s(self, job: RelayedJob) -> float:
        """Return how long after its acceptance a job's items may wait, 0 for without end."""
        route = self.of_job(job)
        return 0.0 if route is None else route.kept_s

    def max_attempts(self, item: OpenItem) -> int:
        """Return how many attempts of an item may fail; 1 where its route is not known."""
        job = self._state.jobs.get(item.job)
        route = None if job is None else self.of_item(job, item.index)
        return 1 if route is None else max(1, route.max_attempts)

    def allowed_regions(self, route: Route, tenant: str) -> AllowedRegions:
        """Return where a tenant's items may run by the table in force; None: everywhere."""
        assert self.table is not None
        return self.table.allowed_regions(route, tenant)

    def batch_services(self) -> set[str]:
        """Return the services that run items."""
        return set() if self.table is None else self.table.batch_services()

    def by_service(self, items: Iterable[ItemsOfJob]) -> dict[str, list[ItemsOfJob]]:
        """Group items by the service with the largest share of their job's route.

        Items whose job has no route are left out.
        """
        found: dict[str, list[ItemsOfJob]] = {}
        for item in items:
            job = self._state.jobs.get(item.job)
            route = None if job is None else self.of_job(job)
            if route is not None:
                service = max(route.shares, key=lambda share: share.weight).service
                found.setdefault(service, []).append(item)
        return found
