"""Backend servers that pass health checks but fail the work they receive.

No network, simulated time. Fault patterns: lying health check, grey failure.
"""

import random

import pytest

from rattanhollow.serving._health import (
    MIN_OUTCOMES,
    PROBE_INTERVAL_S,
    WINDOW_S,
    Health,
)


def test_a_server_that_fails_all_work_receives_only_probes() -> None:
    """Of many reads that could run elsewhere, only a few reach it as probes."""
    health = Health()
    for number in range(MIN_OUTCOMES):
        health.record_outcome(True, number * 0.01)
    admitted = 0
    for step in range(200):
        now_s = 0.1 + step * 0.01
        if not health.should_divert(now_s):
            admitted += 1
            health.record_outcome(True, now_s)
    assert admitted <= 2.1 / PROBE_INTERVAL_S + 1


def test_a_recovered_server_is_used_again() -> None:
    """Past failures expire, and successful probes count."""
    health = Health()
    for _ in range(MIN_OUTCOMES):
        health.record_outcome(True, 0.0)
    assert health.should_divert(0.5) is False
    assert health.should_divert(0.6)
    assert not health.should_divert(WINDOW_S + 0.1)


@pytest.mark.parametrize("seed", range(10))
def test_rare_failures_divert_no_work(seed: int) -> None:
    """Two bad statements in a hundred do not mark a server as failing."""
    rng = random.Random(seed)
    health = Health()
    diverted = 0
    for step in range(2_000):
        now_s = step * 0.02
        health.record_outcome(rng.random() < 0.02, now_s)
        diverted += health.should_divert(now_s)
    assert diverted == 0


@pytest.mark.parametrize("seed", range(10))
def test_a_grey_server_receives_little_movable_work(seed: int) -> None:
    """A server that fails 40 % receives at most 35 % of the work others can do."""
    rng = random.Random(seed)
    health = Health()
    used = 0
    for step in range(1_000):
        now_s = step * 0.01
        # Work that only this server can do continues and supplies outcomes.
        if step % 4 == 0:
            health.record_outcome(rng.random() < 0.4, now_s)
        elif not health.should_divert(now_s):
            used += 1
            health.record_outcome(rng.random() < 0.4, now_s)
    assert used <= 0.35 * 750
