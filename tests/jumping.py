"""Running trio in time that jumps, the same way for the same seed."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio
import trio._core._run as scheduler
import trio.testing


def run_jumping(main: Callable[[], Awaitable[Any]], seed: int = 0) -> Any:
    """Run ``main`` with a clock that jumps to the next deadline.

    Trio shuffles the tasks of a step on purpose; the seed fixes how.
    """
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[attr-defined]
    scheduler._r.seed(seed)
    try:
        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    finally:
        scheduler._ALLOW_DETERMINISTIC_SCHEDULING = False  # type: ignore[attr-defined]
