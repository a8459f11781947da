"""What the tests share: running trio, and fleets on addresses of their own."""

import itertools
import socket
import time
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from rattanhollow_standins.fleet import Fleet
from rattanhollow_standins.platform import LineCluster

LONGEST_TEST_S = 60
# Fleets listen on fixed loopback addresses: bound here by the run that has them.
CLAIM = ("127.99.255.254", 7_999)
CLAIM_LOOK_S = 0.5
# Each is free again when its test has ended.
_nets = itertools.cycle(range(100, 250))


def pytest_sessionstart(session: pytest.Session) -> None:
    """Wait until no other run on this machine uses the tests' addresses."""
    if session.config.option.collectonly:
        return
    claim = socket.socket()
    claimed = waited = False
    while not claimed:
        try:
            claim.bind(CLAIM)
            claimed = True
        except OSError:
            if not waited:
                print("another run has the tests' addresses: waiting for its end")
            waited = True
            time.sleep(CLAIM_LOOK_S)
    session.config.add_cleanup(claim.close)


def run_trio(function: Callable[[], Awaitable[Any]]) -> Any:
    """Run ``function``, failing where it hangs."""

    async def bounded() -> Any:
        with trio.fail_after(LONGEST_TEST_S):
            return await function()

    return trio.run(bounded)


Scenario = Callable[[Fleet], Awaitable[Any]]


@pytest.fixture
def with_fleet() -> Callable[..., Any]:
    """Return a function that runs a scenario against a fleet that is up."""

    def run(scenario: Scenario, **options: Any) -> Any:
        async def main() -> Any:
            fleet = Fleet(next(_nets), **options)
            async with trio.open_nursery() as nursery:
                await nursery.start(fleet.run)
                answer = await scenario(fleet)
                nursery.cancel_scope.cancel()
            return answer

        return run_trio(main)

    return run


ClusterScenario = Callable[[LineCluster], Awaitable[Any]]


@pytest.fixture
def with_cluster() -> Callable[..., Any]:
    """Return a function that runs a scenario against a line cluster that is up."""

    def run(scenario: ClusterScenario, **options: Any) -> Any:
        async def main() -> Any:
            cluster = LineCluster(next(_nets), **options)
            async with trio.open_nursery() as nursery:
                await nursery.start(cluster.run)
                answer = await scenario(cluster)
                nursery.cancel_scope.cancel()
            return answer

        return run_trio(main)

    return run
