"""Where a request may be served, cached and stored. Pure.

A route and a tenant may each name regions; both bind. A request of both may thus be left without
any region: it is refused at once, though the table is valid.
"""

from collections.abc import Mapping

AllowedRegions = frozenset[str] | None
"""The regions in which a request may be served; None stands for all."""


def allowed_regions(*limits: frozenset[str]) -> AllowedRegions:
    """Return the regions that all of some limits allow; an empty limit allows all."""
    named = [limit for limit in limits if limit]
    if not named:
        return None
    return frozenset.intersection(*named)


class RegionMap:
    """The region of each zone, as the settings name them."""

    def __init__(self, regions: Mapping[str, str]) -> None:
        """``regions`` has the region of each zone of the fleet, by the zone's name."""
        self._regions = dict(regions)

    def allows(self, allowed: AllowedRegions, zone: str) -> bool:
        """Tell whether a request may go to a zone; under a limit never to an unknown one."""
        return allowed is None or self._regions.get(zone) in allowed

    def may_be_kept(self, allowed: AllowedRegions, zone: str) -> bool:
        """Tell whether every zone may keep what a client of ``zone`` has sent.

        What it sent may also lie in its own region.
        """
        if allowed is None:
            return True
        own = self._regions.get(zone)
        return all(region in allowed or region == own for region in self._regions.values())
