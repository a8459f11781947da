"""How the hosts of a fleet that starts for the first time learn what the store holds.

All at once: each would list everything. A few relays do, and tell the others.
"""

from collections.abc import Callable

import trio

from rattanhollow.store import NO_REVISION, Follower, Revision

# Hosts of a new fleet start within 0.3 s, and the slowest takes 0.8 s of its
# processor's time until the store has its record.
FLEET_REGISTERS_S = 1.2
# Two comparisons with a relay fit into it where its news was lost; callers come
# many seconds later.
COPY_WAIT_S = 3.0
# How long a host that starts again waits for the list of hosts before it registers.
RECORD_WAIT_S = 1.0


async def wait_for_relays(
    follower: Follower, hosts: Follower, is_relay: Callable[[], bool]
) -> None:
    """Wait until a relay has told what ``follower`` follows, or for too long.

    Relays themselves wait only until the other ``hosts`` are known.
    """
    if follower is hosts:
        await trio.sleep(FLEET_REGISTERS_S)
        return
    with trio.move_on_after(FLEET_REGISTERS_S + COPY_WAIT_S):
        await hosts.listed.wait()
        if not is_relay():
            await follower.listed.wait()


async def find_own_record(name: str, hosts: Follower) -> Revision:
    """Return the version of the record of a previous start, or `NO_REVISION`."""
    with trio.move_on_after(RECORD_WAIT_S):
        await hosts.listed.wait()
    found = hosts.items.get(name)
    return found.version if found is not None else NO_REVISION
