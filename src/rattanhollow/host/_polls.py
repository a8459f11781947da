"""Reading the store now and then, beside the watches of the relays.

The store may turn relays away without a sign, and their availability zone be cut
from the others meanwhile.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

import trio

from rattanhollow.membership import HostDirectory, HostRecord
from rattanhollow.observe import log_event
from rattanhollow.store import Follower, ObjectStore

# How often each availability zone reads the configuration within the time in which
# a change has to be in force. One of these is exact; the others may lag by the
# seconds for which the store drops its history.
POLLS_IN_TIME = 4
# Evacuations are rare, and change nothing for a host that hears of its relays.
EVACUATION_POLL_FRACTION = 0.3
# A large configuration is not read whole at each poll: the store is asked for what
# changed. Such a call has the full price, where three of four lists have a tenth of it.
LARGE_POLL_FRACTION = 0.5


class PollParts(NamedTuple):
    """What polling needs of the rest of the host.

    ``in_force_s`` is how soon a change of the configuration has to be known;
    ``spread(follower)`` tells other hosts what no relay has told.
    """

    store: ObjectStore
    configurations: Follower
    servers: Follower
    own: Callable[[], HostRecord]
    hosts: HostDirectory
    rng: random.Random
    in_force_s: Callable[[], float]
    spread: Callable[[Follower], None]
    evacuations: Follower | None = None


async def poll_store(parts: PollParts) -> None:
    """Read what a watch that hears nothing would miss, until cancelled.

    The hosts of a zone take turns, and one zone after the other reads the servers,
    so that the store is asked as often however many hosts there are.
    """
    rng = parts.rng
    await parts.hosts.follower.listed.wait()
    while True:
        zones = [record.zone for record in parts.hosts.all()]
        turns = max(1, zones.count(parts.own().zone))
        interval_s = parts.in_force_s() / POLLS_IN_TIME
        await trio.sleep(interval_s * turns * rng.uniform(0.5, 1.5))
        exact = rng.random() * POLLS_IN_TIME < 1
        if await _compare_configurations(parts, exact):
            parts.spread(parts.configurations)
        if parts.evacuations and rng.random() < EVACUATION_POLL_FRACTION:
            if await _compare(parts.store, parts.evacuations, exact):
                parts.spread(parts.evacuations)
        if rng.random() * len(set(zones)) < 1:
            await _compare(parts.store, parts.servers, exact)


async def _compare_configurations(parts: PollParts, exact: bool) -> bool:
    """Read what changed, or all where little would be saved or changes are unknown."""
    follower = parts.configurations
    changes_since = parts.store.changes_since
    if changes_since is None or not follower.large_names():
        return await _compare(parts.store, follower, exact)
    if parts.rng.random() >= LARGE_POLL_FRACTION:
        return False
    known = follower.changes
    events = await changes_since(follower.kind, follower.version)
    if events.is_err():
        # The store has dropped this part of its history, or answers no watches.
        log_event("store.look_failed", kind=follower.kind, reason=events.unwrap_err())
        return await _compare(parts.store, follower, exact)
    for event in events.unwrap():
        follower.take_event(event)
    return follower.changes != known


async def _compare(store: ObjectStore, follower: Follower, exact: bool) -> bool:
    """Read all objects of a kind; whether that told something new."""
    listed = await (store.list if exact else store.list_lagging)(follower.kind)
    if not exact and listed.is_ok():
        # What lags may be from before the era that its answer names.
        exact = listed.unwrap().version.era != follower.version.era
        listed = await store.list(follower.kind) if exact else listed
    if listed.is_err() or listed.unwrap().version <= follower.version:
        return False
    known = follower.changes
    if exact:
        follower.take_list(listed.unwrap())
    else:
        # No sign that the store's newest is heard here.
        follower.take_copy(listed.unwrap())
    return follower.changes != known
