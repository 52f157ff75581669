"""Looks up the routes of items and the services, regions and attempts that they allow.

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
    """Looks up routes in the current routing table; without a table there are none."""

    def __init__(self, state: JobState) -> None:
        self.table: RoutingTable | None = None
        self._state = state

    @property
    def version(self) -> int:
        """The version of the routing table, 0 without one."""
        return 0 if self.table is None else self.table.version

    def of_job(self, job: RelayedJob) -> Route | None:
        """Return the route by which a job was submitted."""
        return None if self.table is None else self.table.match(job.host, job.path)

    def of_item(self, job: RelayedJob, index: int) -> Route | None:
        """Return the route of an item's own path, or the job's route if that path has none."""
        if self.table is None:
            return None
        return self.table.match(job.host, job.items[index].path) or self.of_job(job)

    def name_of(self, item: OpenItem) -> str:
        """Return the name of an item's route; empty if there is none."""
        job = self._state.jobs.get(item.job)
        route = None if job is None else self.of_item(job, item.index)
        return "" if route is None else route.name

    def due_within_s(self, job: RelayedJob) -> float:
        """Return how long after its acceptance a job is due; 0: no due time."""
        route = self.of_job(job)
        return 0.0 if route is None else route.completion_s

    def kept_s(self, job: RelayedJob) -> float:
        """Return how long after its acceptance a job's items may wait; 0: without limit."""
        route = self.of_job(job)
        return 0.0 if route is None else route.kept_s

    def max_attempts(self, item: OpenItem) -> int:
        """Return how many attempts of an item may fail; 1 if its route is unknown."""
        job = self._state.jobs.get(item.job)
        route = None if job is None else self.of_item(job, item.index)
        return 1 if route is None else max(1, route.max_attempts)

    def allowed_regions(self, route: Route, tenant: str) -> AllowedRegions:
        """Return the regions in which a tenant's items may run; None: everywhere."""
        assert self.table is not None
        return self.table.allowed_regions(route, tenant)

    def batch_services(self) -> set[str]:
        """Return the services that run batch items."""
        return set() if self.table is None else self.table.batch_services()

    def by_service(self, items: Iterable[ItemsOfJob]) -> dict[str, list[ItemsOfJob]]:
        """Group items by the service with the largest share of their job's route.

        Omits items whose job has no route.
        """
        found: dict[str, list[ItemsOfJob]] = {}
        for item in items:
            job = self._state.jobs.get(item.job)
            route = None if job is None else self.of_job(job)
            if route is not None:
                service = max(route.shares, key=lambda share: share.weight).service
                found.setdefault(service, []).append(item)
        return found
