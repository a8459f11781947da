"""A short soak of real processes, and the seeds that failed once."""

import pytest
import trio

from jumping import run_jumping
from rattanhollow_standins.platform import DatabaseServer, ServiceGroup
from rattanhollow_standins.platform._group import ServerSession, Unanswered
from rattanhollow_standins.platform._serve import Promotions
from rattanhollow_standins.soak import (
    AROUND_PROMOTIONS,
    RESTORES,
    SINGLE,
    FaultMix,
    soak,
)

# Each seed that ever failed, with its faults and what was wrong.
REGRESSIONS = {
    (4, SINGLE): (
        "a coordinator that lost sight of the primary never asked whether one leads"
    ),
}


@pytest.mark.parametrize(
    ("seed", "mix"),
    [(11, SINGLE), (11, AROUND_PROMOTIONS), (11, RESTORES), *REGRESSIONS],
)
def test_promises_hold_while_hosts_and_links_fail(seed: int, mix: FaultMix) -> None:
    """Nothing lost, doubled, stale or cut by planned work; all is served again."""
    report = soak(seed, net=30 + seed, mix=mix)
    assert not report.broken, "\n".join([*report.broken, *report.notes])
    assert report.answered > 0


def test_late_orders_get_no_answer_and_are_carried_out() -> None:
    """The kinds that are late are; others are answered at once."""

    async def scenario(nursery: trio.Nursery) -> None:
        servers = [DatabaseServer(f"i-{n}", "z") for n in range(3)]
        group = ServiceGroup("s", servers, nursery, promote_s=0.6)
        promotions = Promotions([group], nursery)
        late = {"SUSPEND", "PROMOTE"}
        group.order_delay_s = lambda kind: 2.0 if kind in late else 0.0
        session = ServerSession(group, servers[1], "-")
        with pytest.raises(Unanswered):
            await session.query("-", "SUSPEND 2")
        with trio.move_on_after(1.0) as asked:
            await promotions.order("s", "i-2", "h", 1)
        assert asked.cancelled_caught and not servers[1].held_term
        assert (await session.query("-", "STATUS"))[0].startswith("ROW replica")
        await trio.sleep(1.1)
        assert servers[1].held_term == 2 and not servers[2].leads
        await trio.sleep(0.6)
        assert servers[2].leads
        late.clear()
        assert await promotions.order("s", "i-1", "h", 2) == 200

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await scenario(nursery)
            nursery.cancel_scope.cancel()

    run_jumping(main)
