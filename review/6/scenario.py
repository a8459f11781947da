"""A release replaces three databases in turn; the store has a drill after the first."""

from pathlib import Path

import trio
from review.drill import BOUNDS, KEY, Deployment, run_case

COPY_BEFORE_S = 0.2
AWAY_S = 1.0
# A leaving database serves for ``drain_ms`` and a little longer.
STAYS_S = BOUNDS["drain_ms"] / 1000 + 1.0
GAP_S = 1.0
SETTLED_S = 0.7
REPLACED_WITHIN_S = 8.0
SECOND_WITHIN_S = 30.0
REQUEST_S = 0.1


async def scenario(deployment: Deployment, has_trouble: bool) -> int:
    """Return 1 if two holders promote with the same generation number."""
    group = deployment.group
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_call, deployment)
        await trio.sleep(3.0)
        first = deployment.find(group.leader)
        saved = deployment.table.copy()
        await trio.sleep(COPY_BEFORE_S)
        async with trio.open_nursery() as leaving:
            leaving.start_soon(deployment.leave, first, STAYS_S)
            with trio.fail_after(REPLACED_WITHIN_S):
                while group.leader in (None, first.server):
                    await trio.sleep(0.02)
            await trio.sleep(SETTLED_S)
            if has_trouble:
                await deployment.drill(saved, AWAY_S)
        await trio.sleep(GAP_S)
        second = deployment.find(group.leader)
        stayed = [d for d in deployment.databases[:3] if not d.left]
        replica = next(d for d in stayed if d is not second)
        await deployment.leave(replica, STAYS_S)
        await trio.sleep(GAP_S)
        nursery.start_soon(deployment.leave, second, STAYS_S)
        with trio.move_on_after(SECOND_WITHIN_S):
            while len(group.promotions) < 2:
                await trio.sleep(0.05)
        await trio.sleep(SETTLED_S)
        nursery.cancel_scope.cancel()
    return _judge(deployment)


def _judge(deployment: Deployment) -> int:
    holders: dict[int, set[str]] = {}
    for _, _, holder, token in deployment.promotions.accepted:
        holders.setdefault(token, set()).add(holder)
    shared = {token: names for token, names in holders.items() if len(names) > 1}
    for token, names in shared.items():
        deployment.record.add("BROKEN", token=token, holders=",".join(sorted(names)))
    if shared:
        return 1
    return 0 if len(deployment.group.promotions) >= 2 else 2


async def _call(deployment: Deployment) -> None:
    """Write and read as a requester does, at one host after the other."""
    number = 0
    while True:
        await trio.sleep(REQUEST_S)
        number += 1
        host = deployment.hosts[number % len(deployment.hosts)]
        text = f"WRITE a{number} x{number}" if number % 2 else f"READ a{number - 1}"
        await deployment.ask(host, "newest", KEY, text, f"{number:016x}")


if __name__ == "__main__":
    run_case(Path(__file__), scenario)
