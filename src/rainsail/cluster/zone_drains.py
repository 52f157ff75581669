"""The zone drains that one node knows. Pure logic.

Orders may arrive from several controllers, late and out of order. The order with the highest
revision on each zone counts, so a late message never reverts a newer order.
"""

from collections.abc import Iterable

from rainsail.state.cluster_commands import ZoneDrain


class KnownZoneDrains:
    """The newest order on each zone."""

    def __init__(self) -> None:
        self._drains: dict[str, ZoneDrain] = {}

    def take(self, drains: Iterable[ZoneDrain]) -> list[ZoneDrain]:
        """Merge orders; return those that were not known."""
        newer: list[ZoneDrain] = []
        for drain in drains:
            known = self._drains.get(drain.zone)
            if known is None or drain.revision > known.revision:
                self._drains[drain.zone] = drain
                newer.append(drain)
        return newer

    def is_draining(self, zone: str) -> bool:
        """Tell whether the runners of a zone must not get new work."""
        known = self._drains.get(zone)
        return known is not None and known.draining

    def orders(self) -> tuple[ZoneDrain, ...]:
        """Return the newest order on each zone, sorted by zone."""
        return tuple(self._drains[zone] for zone in sorted(self._drains))

    def draining(self) -> tuple[str, ...]:
        """Return the zones that are being drained, sorted."""
        return tuple(sorted(zone for zone, drain in self._drains.items() if drain.draining))
