"""Data residency: the regions in which a request may be served, cached and stored. Does no I/O.

A route and a tenant may each name regions; a request must satisfy both limits. If their
intersection is empty, the request is refused immediately, although the routing table is valid.
"""

from collections.abc import Mapping

AllowedRegions = frozenset[str] | None
"""The regions in which a request may be served; None stands for all."""


def allowed_regions(*limits: frozenset[str]) -> AllowedRegions:
    """Return the intersection of limits; an empty limit allows all regions."""
    named = [limit for limit in limits if limit]
    if not named:
        return None
    return frozenset.intersection(*named)


class RegionMap:
    """The region of each zone, from the settings."""

    def __init__(self, regions: Mapping[str, str]) -> None:
        """``regions`` maps the name of each zone of the fleet to its region."""
        self._regions = dict(regions)

    def allows(self, allowed: AllowedRegions, zone: str) -> bool:
        """Return whether a request may go to a zone; with a limit, never to an unknown zone."""
        return allowed is None or self._regions.get(zone) in allowed

    def may_be_kept(self, allowed: AllowedRegions, zone: str) -> bool:
        """Return whether every zone may store the data of a client of ``zone``.

        The client's own region is always allowed.
        """
        if allowed is None:
            return True
        own = self._regions.get(zone)
        return all(region in allowed or region == own for region in self._regions.values())
