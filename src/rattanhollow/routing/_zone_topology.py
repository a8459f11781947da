"""Distances between availability zones."""

from typing import NamedTuple

SAME_ZONE = 0
SAME_REGION = 1
OTHER_REGION = 2


class ZoneTopology(NamedTuple):
    """The availability zone of this host, and the region of each zone."""

    zone: str
    region_of: dict[str, str]

    def region(self, zone: str) -> str:
        """Return the region of a zone; an unknown zone is its own region."""
        return self.region_of.get(zone, zone)

    def distance(self, zone: str, other_zone: str) -> int:
        """Return 0 within a zone, 1 within a region, 2 otherwise."""
        if zone == other_zone:
            return SAME_ZONE
        region = self.region_of.get(zone)
        if region is not None and region == self.region_of.get(other_zone):
            return SAME_REGION
        return OTHER_REGION
