"""Replacements of a primary while the store comes back from older copies (review/6).

No network, simulated time. A restarted coordinator knows nothing but the store.
"""

import random
from functools import partial
from typing import Any

import pytest
import trio

from rattanhollow.serving import BackendServer
from rattanhollow.store import ObjectStore, Revision, is_token_of
from rattanhollow.succession import replace_primary
from rattanhollow_standins.store import local_store
from rattanhollow_standins.store._objects import SavedObjects
from replacement_cluster import ReplacementCluster, run_scenario, server

COPY_INTERVAL_S = 0.05
LONGEST_PLAY_S = 30.0


def tokens_by_holder(cluster: ReplacementCluster) -> dict[int, set[str]]:
    """Return which holders have ordered with each token."""
    holders: dict[int, set[str]] = {}
    for _, _, holder, token in cluster.promotions.orders:
        holders.setdefault(token, set()).add(holder)
    return holders


async def replace_leader(
    cluster: ReplacementCluster, holder: str, store: ObjectStore | None = None
) -> BackendServer | None:
    """Replace whichever database leads, as a coordinator that has just started."""
    leader = cluster.group.leader
    assert leader is not None
    leader.draining = True
    task = cluster.task()._replace(old_leader=server(leader))
    parts = cluster.parts(holder=holder)._replace(
        store=store or local_store(cluster.table)
    )
    return (await replace_primary(task, parts)).ok()


@pytest.mark.parametrize("had_record", [False, True])
def test_a_token_that_the_store_has_lost_is_given_to_nobody_else(
    had_record: bool,
) -> None:
    """Two hosts promoted with the same fencing token after a drill of the store."""

    async def scenario(cluster: ReplacementCluster) -> None:
        if had_record:
            assert await replace_leader(cluster, "a") is not None
        saved = cluster.table.save()
        assert await replace_leader(cluster, "b") is not None
        cluster.table.come_back_from(saved)
        assert await replace_leader(cluster, "c") is not None
        assert all(len(names) == 1 for names in tokens_by_holder(cluster).values())
        tokens = [token for _, _, _, token in cluster.promotions.orders]
        assert tokens == sorted(tokens)

    run_scenario(scenario)


def test_a_record_that_is_created_as_an_era_begins_is_claimed_again() -> None:
    """The first record has no revision that would tell the eras apart."""

    async def scenario(cluster: ReplacementCluster) -> None:
        saved, inner = cluster.table.save(), local_store(cluster.table)

        async def put(kind: str, name: str, spec: Any, version: Revision) -> Any:
            if not cluster.table.era:
                cluster.table.come_back_from(saved)
            return await inner.put(kind, name, spec, version)

        store = inner._replace(put=put)
        assert await replace_leader(cluster, "a", store) is not None
        tokens = [token for _, _, _, token in cluster.promotions.orders]
        assert tokens and all(is_token_of(token, 1) for token in tokens)

    run_scenario(scenario)


@pytest.mark.parametrize("seed", range(60))
def test_no_two_hosts_share_a_token_whenever_the_store_comes_back(seed: int) -> None:
    """Also where a claim is lost, restored, or written as the store returns.

    Orders may be carried out late, and callers write meanwhile.
    """

    async def scenario(cluster: ReplacementCluster) -> None:
        rng = random.Random(seed)
        copies: list[SavedObjects] = []

        async def keep_copies() -> None:
            while True:
                copies.append(cluster.table.save())
                await trio.sleep(COPY_INTERVAL_S)

        async def restore() -> None:
            for _ in range(rng.randint(1, 3)):
                await trio.sleep(rng.uniform(0.0, 2.0))
                cluster.table.come_back_from(rng.choice(copies[-40:]))

        async def delay_orders() -> None:
            while True:
                cluster.promotions.late_s = rng.choice(
                    (0.0, 0.0, rng.uniform(0.5, 4.0))
                )
                await trio.sleep(rng.uniform(0.2, 1.0))

        async def replace(holder: str) -> None:
            await trio.sleep(rng.uniform(0.0, 1.0))
            store = local_store(cluster.table)
            for _ in range(4):
                if cluster.group.leader is not None:
                    await replace_leader(cluster, holder, store)
                await trio.sleep(rng.uniform(0.0, 1.0))

        with trio.move_on_after(LONGEST_PLAY_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(keep_copies)
                nursery.start_soon(delay_orders)
                await trio.sleep(COPY_INTERVAL_S)
                writer = cluster.caller_host()
                nursery.start_soon(writer.write_for, LONGEST_PLAY_S)
                async with trio.open_nursery() as acting:
                    acting.start_soon(restore)
                    for holder in "abc":
                        acting.start_soon(partial(replace, holder))
                nursery.cancel_scope.cancel()
        shared = {t: n for t, n in tokens_by_holder(cluster).items() if len(n) > 1}
        assert not shared
        assert cluster.promotions.orders

    run_scenario(scenario, seed)
