"""Selection of the hosts that act as token brokers in each region.

Hosts deposit with brokers of their own region and request tokens from other regions
only if those run out: requests between regions are slow and expensive.
"""

import functools
from collections.abc import Callable, Collection

from rattanhollow.coordination import SHARDS, ranked

# Over all regions. If a broker fails, its organisations can use only the tokens that
# other regions grant to hosts of its region.
MIN_BROKERS = 3
# Each host renews its deposits with all brokers of its region, which wakes both ends,
# so a broker is added only for more requests than one host with half a core can serve.
HOSTS_PER_BROKER = 80
# How many hosts are candidates for each broker of a region.
CANDIDATES_PER_BROKER = 3

# Maps each shard to its broker.
Brokers = dict[int, str]


def broker_candidates(names: Collection[str], regions: int) -> list[str]:
    """Return the hosts of a region that may become its brokers, best ranked first."""
    max_candidates = CANDIDATES_PER_BROKER * _broker_count(len(names), regions)
    return list(_rank_hosts(tuple(sorted(names)))[:max_candidates])


def brokers_by_region(
    own_region: str,
    hosts: dict[str, list[str]],
    is_available: Callable[[str], bool],
) -> list[Brokers]:
    """Return the brokers of each region, those of ``own_region`` first.

    ``hosts`` maps each region to its host names; ``is_available(name)`` is False for
    hosts that are leaving or do not respond. A region without an available
    candidate is omitted.
    """
    brokers = []
    for region in sorted(hosts, key=lambda name: (name != own_region, name)):
        names = hosts[region]
        candidates = [
            n for n in broker_candidates(names, len(hosts)) if is_available(n)
        ]
        chosen = candidates[: _broker_count(len(names), len(hosts))]
        if chosen:
            brokers.append(_assign_shards(tuple(chosen)))
    return brokers


def _broker_count(hosts: int, regions: int) -> int:
    return -(-MIN_BROKERS // max(1, regions)) + hosts // HOSTS_PER_BROKER


@functools.lru_cache(maxsize=64)
def _rank_hosts(names: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(ranked("rates", names))


@functools.lru_cache(maxsize=64)
def _assign_shards(chosen: tuple[str, ...]) -> Brokers:
    return {shard: ranked(f"rates-{shard}", chosen)[0] for shard in range(SHARDS)}
