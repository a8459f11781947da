"""A key is withdrawn and a route added, seconds after a drill of the store."""

from pathlib import Path

import trio
from review.drill import (
    BOUNDS,
    KEY,
    WITHDRAWN_KEY,
    Deployment,
    route,
    run_case,
)

COPY_BEFORE_S = 0.2
AWAY_S = 1.0
# A leaving database serves for ``drain_ms`` and a little longer.
STAYS_S = BOUNDS["drain_ms"] / 1000 + 3.0
SETTLED_S = 0.7
REPLACED_WITHIN_S = 8.0
STABLE_S = BOUNDS["stable_window_ms"] / 1000 + 0.5
IN_FORCE_S = BOUNDS["config_apply_ms"] / 1000
MARGIN_S = 1.0
WATCHED_S = 15.0
REQUEST_S = 0.2


async def scenario(deployment: Deployment, has_trouble: bool) -> int:
    """Return 1 if requests are handled as only the older configuration allows."""
    group, record = deployment.group, deployment.record
    async with trio.open_nursery() as nursery:
        await trio.sleep(3.0)
        first = deployment.find(group.leader)
        saved = deployment.table.copy()
        await trio.sleep(COPY_BEFORE_S)
        nursery.start_soon(deployment.leave, first, STAYS_S)
        with trio.fail_after(REPLACED_WITHIN_S):
            while group.leader in (None, first.server):
                await trio.sleep(0.02)
        await trio.sleep(SETTLED_S)
        deployment.configure(105)
        await trio.sleep(SETTLED_S)
        if has_trouble:
            await deployment.drill(saved, AWAY_S)
        await trio.sleep(STABLE_S)
        for host in deployment.hosts:
            await deployment.ask(host, "newest", WITHDRAWN_KEY, "READ a", _id(0))
        more_routes = [route("added", "primary")]
        deployment.configure(112, keys=[KEY], more_routes=more_routes)
        confirmed_s = record.now_s
        record.add("confirmed", version=112, calls=_calls_per_s(deployment))
        await trio.sleep(IN_FORCE_S + MARGIN_S)
        broken = await _watch(deployment)
        record.add("late", after_s=round(record.now_s - confirmed_s, 1), broken=broken)
        record.add("store-calls-a-second", last=_calls_per_s(deployment))
        nursery.cancel_scope.cancel()
    return 1 if broken else 0


async def _watch(deployment: Deployment) -> int:
    """Ask with the withdrawn key and by the new route; count the wrong answers."""
    broken = number = 0
    with trio.move_on_after(WATCHED_S):
        while True:
            await trio.sleep(REQUEST_S)
            number += 1
            host = deployment.hosts[number % len(deployment.hosts)]
            text = f"WRITE w{number} x"
            outcome = await deployment.ask(
                host, "newest", WITHDRAWN_KEY, text, _id(2 * number)
            )
            if outcome == "success":
                broken += 1
                deployment.record.add("BROKEN", ran_with_withdrawn_key=text)
            outcome = await deployment.ask(
                host, "added", KEY, f"READ w{number}", _id(2 * number + 1)
            )
            if outcome in ("NODB", "NOAUTH"):
                broken += 1
                deployment.record.add("BROKEN", route="added", refused=outcome)
    return broken


def _calls_per_s(deployment: Deployment) -> float:
    now_s = int(deployment.record.now_s)
    return deployment.store.calls_in(now_s - 3, now_s) / 3


def _id(number: int) -> str:
    return f"{number:016x}"


if __name__ == "__main__":
    run_case(Path(__file__), scenario)
