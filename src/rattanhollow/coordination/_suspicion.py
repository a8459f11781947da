"""When several hosts together hold a primary for dead."""

from collections.abc import Iterable
from typing import NamedTuple

ZONES_NEEDED = 2


class Vote(NamedTuple):
    """What one host in an availability zone says of a primary."""

    host: str
    zone: str
    suspects: bool


def agreed(votes: Iterable[Vote], zones_in_fleet: int) -> bool:
    """Whether the votes are enough to replace a primary.

    More hosts must suspect than not, from two availability zones where the
    fleet has two: one host's broken link, or one zone's, decides nothing.
    """
    heard = list(votes)
    suspecting = [vote for vote in heard if vote.suspects]
    if 2 * len(suspecting) <= len(heard):
        return False
    zones = {vote.zone for vote in suspecting}
    return len(zones) >= min(ZONES_NEEDED, zones_in_fleet)
