"""Many organisations that each come to a backend server once in some seconds.

Each connection belongs to one organisation, and opening one occupies a slot of the
server for as long as a statement does: it has to be kept until its organisation comes
again, where there is room. No network: stand-in databases in memory, time that jumps.
"""

import random

import pytest
import trio

from rattanhollow.serving import WorkOutcome
from rattanhollow.serving._serving import CONNECTION_IDLE_TIMEOUT_S, EXPIRE_INTERVAL_S
from test_serving import Stage, on_stage, work

ORGANISATIONS = 140
CONNECTIONS = 180
WARM_S, MEASURED_S = 25.0, 60.0
# Each organisation comes every eight seconds, as on a calm day of 195 hosts.
ARRIVALS_PER_S = ORGANISATIONS / 8
# At most one new connection for so many requests.
REQUESTS_A_CONNECTION = 10


@pytest.mark.parametrize("seed", range(3))
def test_a_calm_day_opens_few_connections(seed: int) -> None:
    """Beside the first of each organisation."""

    async def scenario(stage: Stage) -> None:
        rng = random.Random(seed)
        database = stage.databases[0]
        database.max_connections = CONNECTIONS

        async def trim() -> None:
            while True:
                await trio.sleep(EXPIRE_INTERVAL_S)
                stage.primary.trim(CONNECTION_IDLE_TIMEOUT_S)

        async def arrive(seconds: float) -> int:
            until_s, served = trio.current_time() + seconds, 0
            while trio.current_time() < until_s:
                await trio.sleep(rng.expovariate(ARRIVALS_PER_S))
                item = work(organisation=f"o{rng.randrange(ORGANISATIONS)}")
                served += (await stage.primary.run(item)).outcome is WorkOutcome.DONE
            return served

        async with trio.open_nursery() as nursery:
            nursery.start_soon(trim)
            await arrive(WARM_S)
            opened = database.opened
            served = await arrive(MEASURED_S)
            nursery.cancel_scope.cancel()
        assert (database.opened - opened) * REQUESTS_A_CONNECTION <= served

    on_stage(scenario, connections=CONNECTIONS - 2)
