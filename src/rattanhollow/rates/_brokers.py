"""Which hosts hand out tokens of the rates, in each region.

Hosts deposit with brokers of their own region and ask those of other regions
only for what is missing there: questions between regions are slow and dear.
"""

import functools
from collections.abc import Callable, Collection

from rattanhollow.coordination import SHARDS, ranked

# Over all regions together: the death of one broker takes its organisations in
# its region down to what other regions hand out.
LEAST_BROKERS = 3
# Each host renews its deposits with all brokers of its region, which wakes both ends:
# a second broker is for more questions than one host of half a core can answer.
HOSTS_PER_BROKER = 80
# How many times as many hosts may take a broker's place.
BROKERS_SPARED = 3

# The broker of each shard.
Brokers = dict[int, str]


def broker_candidates(names: Collection[str], regions: int) -> list[str]:
    """Return the hosts of a region that may be its brokers, the first choice first."""
    at_most = BROKERS_SPARED * _broker_count(len(names), regions)
    return list(_ranking(tuple(sorted(names)))[:at_most])


def brokers_by_region(
    own_region: str,
    hosts: dict[str, list[str]],
    answers: Callable[[str], bool],
) -> list[Brokers]:
    """Return each region's brokers, those of ``own_region`` first.

    ``hosts`` gives the names of each region's hosts; ``answers(name)`` is False
    for those that leave or don't answer. A region without any host that answers
    is left out.
    """
    found = []
    for region in sorted(hosts, key=lambda name: (name != own_region, name)):
        names = hosts[region]
        possible = [n for n in broker_candidates(names, len(hosts)) if answers(n)]
        chosen = possible[: _broker_count(len(names), len(hosts))]
        if chosen:
            found.append(_by_shard(tuple(chosen)))
    return found


def _broker_count(hosts: int, regions: int) -> int:
    return -(-LEAST_BROKERS // max(1, regions)) + hosts // HOSTS_PER_BROKER


@functools.lru_cache(maxsize=64)
def _ranking(names: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(ranked("rates", names))


@functools.lru_cache(maxsize=64)
def _by_shard(chosen: tuple[str, ...]) -> Brokers:
    return {shard: ranked(f"rates-{shard}", chosen)[0] for shard in range(SHARDS)}
