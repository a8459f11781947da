"""How far availability zones lie apart."""

from typing import NamedTuple

SAME_ZONE = 0
SAME_REGION = 1
ELSEWHERE = 2


class ZoneTopology(NamedTuple):
    """The availability zone of this host, and the region of each zone."""

    zone: str
    region_of: dict[str, str]

    def region(self, zone: str) -> str:
        """Return the region of a zone; one that isn't known is a region of its own."""
        return self.region_of.get(zone, zone)

    def distance(self, one: str, other: str) -> int:
        """Return 0 within a zone, 1 within a region, 2 otherwise."""
        if one == other:
            return SAME_ZONE
        region = self.region_of.get(one)
        if region is not None and region == self.region_of.get(other):
            return SAME_REGION
        return ELSEWHERE
