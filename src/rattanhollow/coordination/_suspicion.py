"""The quorum of hosts that declares a primary failed."""

from collections.abc import Iterable
from typing import NamedTuple

MIN_SUSPECTING_ZONES = 2


class Vote(NamedTuple):
    """Whether one host in an availability zone suspects a primary of failure."""

    host: str
    zone: str
    suspects: bool


def agreed(votes: Iterable[Vote], zones_in_fleet: int) -> bool:
    """Whether the votes suffice to replace a primary.

    More than half of the votes must suspect it, and they must come from two
    availability zones if the fleet has two: a network fault of a single host or a
    single zone must not cause a failover.
    """
    received = list(votes)
    suspecting_votes = [vote for vote in received if vote.suspects]
    if 2 * len(suspecting_votes) <= len(received):
        return False
    suspecting_zones = {vote.zone for vote in suspecting_votes}
    return len(suspecting_zones) >= min(MIN_SUSPECTING_ZONES, zones_in_fleet)
