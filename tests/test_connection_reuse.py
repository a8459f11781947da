"""Connection reuse by many organisations that each send a request every few seconds.

Each connection belongs to one organisation, and opening one occupies a slot of the
server for as long as a statement does. Where there is room, a connection must be kept
until the next request of its organisation. Uses stand-in databases in memory and
simulated time, no network.
"""

import random

import pytest
import trio

from rattanhollow.serving import WorkOutcome
from rattanhollow.serving._serving import CONNECTION_IDLE_TIMEOUT_S, EXPIRE_INTERVAL_S
from test_serving import Stage, on_stage, work

ORGANISATIONS = 140
CONNECTIONS = 180
WARM_UP_S, MEASURED_S = 25.0, 60.0
# One request per organisation every eight seconds, as at low load on 195 hosts.
ARRIVALS_PER_S = ORGANISATIONS / 8
MIN_REQUESTS_PER_NEW_CONNECTION = 10


@pytest.mark.parametrize("seed", range(3))
def test_low_load_opens_few_connections(seed: int) -> None:
    """After the warm-up, most requests reuse a connection."""

    async def scenario(stage: Stage) -> None:
        rng = random.Random(seed)
        database = stage.databases[0]
        database.max_connections = CONNECTIONS

        async def trim() -> None:
            while True:
                await trio.sleep(EXPIRE_INTERVAL_S)
                stage.primary.trim(CONNECTION_IDLE_TIMEOUT_S)

        async def send_requests(duration_s: float) -> int:
            until_s, served = trio.current_time() + duration_s, 0
            while trio.current_time() < until_s:
                await trio.sleep(rng.expovariate(ARRIVALS_PER_S))
                item = work(organisation=f"o{rng.randrange(ORGANISATIONS)}")
                served += (await stage.primary.run(item)).outcome is WorkOutcome.DONE
            return served

        async with trio.open_nursery() as nursery:
            nursery.start_soon(trim)
            await send_requests(WARM_UP_S)
            opened = database.opened
            served = await send_requests(MEASURED_S)
            nursery.cancel_scope.cancel()
        assert (database.opened - opened) * MIN_REQUESTS_PER_NEW_CONNECTION <= served

    on_stage(scenario, connections=CONNECTIONS - 2)
