"""Backend servers that say that they are well and fail what they are given.

No network, simulated time. Patterns: a lying health check, a grey server.
"""

import random

import pytest

from rattanhollow.serving._health import (
    MIN_OUTCOMES,
    PROBE_INTERVAL_S,
    WINDOW_S,
    Health,
)


def test_a_server_that_fails_all_is_left_but_for_probes() -> None:
    """Of a flood of reads that could go elsewhere, a few find out how it is."""
    health = Health()
    for number in range(MIN_OUTCOMES):
        health.record_outcome(True, number * 0.01)
    let_through = 0
    for step in range(200):
        now_s = 0.1 + step * 0.01
        if not health.should_divert(now_s):
            let_through += 1
            health.record_outcome(True, now_s)
    assert let_through <= 2.1 / PROBE_INTERVAL_S + 1


def test_a_server_that_is_well_again_is_used_again() -> None:
    """What it failed is forgotten, probes that succeed count."""
    health = Health()
    for _ in range(MIN_OUTCOMES):
        health.record_outcome(True, 0.0)
    assert health.should_divert(0.5) is False
    assert health.should_divert(0.6)
    assert not health.should_divert(WINDOW_S + 0.1)


@pytest.mark.parametrize("seed", range(10))
def test_rare_failures_keep_nobody_away(seed: int) -> None:
    """A few bad statements in a hundred are no sign of a failing server."""
    rng = random.Random(seed)
    health = Health()
    turned_away = 0
    for step in range(2_000):
        now_s = step * 0.02
        health.record_outcome(rng.random() < 0.02, now_s)
        turned_away += health.should_divert(now_s)
    assert turned_away == 0


@pytest.mark.parametrize("seed", range(10))
def test_a_grey_server_is_left_to_what_only_it_can_do(seed: int) -> None:
    """One that fails two fifths gets next to nothing of what others can do."""
    rng = random.Random(seed)
    health = Health()
    used = 0
    for step in range(1_000):
        now_s = step * 0.01
        # What only this server may do goes on, and tells how it is.
        if step % 4 == 0:
            health.record_outcome(rng.random() < 0.4, now_s)
        elif not health.should_divert(now_s):
            used += 1
            health.record_outcome(rng.random() < 0.4, now_s)
    assert used <= 0.35 * 750
