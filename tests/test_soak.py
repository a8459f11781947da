"""A short soak of real processes, and the seeds that failed once."""

import pytest

from rattanhollow_standins.soak import soak

# Each seed that ever failed, with what was wrong.
REGRESSIONS = {
    4: "a coordinator that lost sight of the primary never asked whether one leads",
}


@pytest.mark.parametrize("seed", [11, *REGRESSIONS])
def test_promises_hold_while_hosts_and_links_fail(seed: int) -> None:
    """Nothing lost, doubled, stale or cut by planned work; all is served again."""
    report = soak(seed, net=30 + seed)
    assert not report.broken, "\n".join([*report.broken, *report.notes])
    assert report.answered > 0
