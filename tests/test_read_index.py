"""The read index, positions, write survival, votes and host ranking."""

from typing import Any

import trio
from hypothesis import given, seed, settings
from hypothesis import strategies as st
from result import Ok, Result

from conftest import run_trio
from rattanhollow.coordination import (
    Position,
    ReadIndex,
    Succession,
    Survival,
    Vote,
    agreed,
    parse_position,
    ranked,
    survival_of,
)


class Log:
    """A growing log that counts the requests for its end."""

    def __init__(self) -> None:
        self.end = 0
        self.requests = 0

    async def read_end(self, connection: Any) -> Result[Position, Any]:
        """Return, after a delay, the log end at the time of the request."""
        self.requests += 1
        end = self.end
        await trio.sleep(0.01)
        return Ok(Position(1, end))


def test_results_include_all_prior_writes() -> None:
    """Each result covers all prior writes, and concurrent reads share requests."""

    async def main() -> None:
        log = Log()
        index = ReadIndex(log.read_end)

        async def write_and_read(number: int) -> None:
            await trio.sleep(0.0007 * number)
            log.end += 1
            before = log.end
            outcome = await index.read()
            assert outcome.unwrap().offset >= before

        async with trio.open_nursery() as nursery:
            for number in range(100):
                nursery.start_soon(write_and_read, number)
        assert log.requests == index.rounds < 30

    run_trio(main)


def test_cancelled_sender_does_not_block_waiters() -> None:
    """Callers that wait for a request whose sender is cancelled send it again."""

    async def main() -> None:
        log = Log()
        index = ReadIndex(log.read_end)
        outcomes: list[Any] = []

        async def read_once(timeout_s: float) -> None:
            with trio.move_on_after(timeout_s):
                outcomes.append(await index.read())

        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(
                    read_once, 0.001 * (number % 4 + 1) if number % 3 else 1
                )
        assert len(outcomes) == 7

    run_trio(main)


def test_readings_by_age() -> None:
    """The oldest reading that is not older than the given time is returned."""

    async def main() -> None:
        log = Log()
        now_s = 0.0
        index = ReadIndex(log.read_end, clock=lambda: now_s)
        for second in range(5):
            now_s = float(second)
            log.end = second
            await index.read()
        assert index.reading_since(2.5) == Position(1, 3)
        assert index.reading_since(-10.0) == Position(1, 0)
        assert index.reading_since(4.5) is None

    run_trio(main)


POSITIONS = st.builds(Position, st.integers(0, 9), st.integers(0, 99))


@seed(1)
@settings(deadline=None, database=None)
@given(POSITIONS)
def test_positions_round_trip(position: Position) -> None:
    """Parsing the text of a position returns the same position."""
    assert parse_position(str(position)) == position


TERMS = (
    Succession(1, Position(0, 0)),
    Succession(2, Position(1, 10)),
    Succession(3, Position(1, 12)),
    Succession(5, Position(3, 20)),
    Succession(7, Position(6, 30)),
)


def test_survival() -> None:
    """A write survives if the terms lead back to a log that contains it."""
    cases = [
        (Position(1, 10), 2, Survival.SURVIVED),
        (Position(1, 11), 2, Survival.LOST),
        (Position(1, 11), 3, Survival.SURVIVED),
        (Position(2, 11), 3, Survival.LOST),
        (Position(3, 20), 5, Survival.SURVIVED),
        (Position(3, 21), 5, Survival.LOST),
        (Position(1, 12), 5, Survival.SURVIVED),
        (Position(2, 11), 5, Survival.LOST),
        (Position(5, 25), 7, Survival.UNKNOWN),
        (Position(4, 1), 5, Survival.LOST),
    ]
    for position, term, expected in cases:
        assert survival_of(position, term, TERMS) is expected, position


def test_votes() -> None:
    """A single host or zone can't replace a primary if the fleet has several."""
    a, b = Vote("a", "z1", True), Vote("b", "z2", True)
    assert not agreed([a], 3)
    assert not agreed([a, a._replace(host="c")], 3)
    assert agreed([a, b], 3)
    assert not agreed([a, b, Vote("c", "z3", False), Vote("d", "z3", False)], 3)
    assert agreed([a], 1)
    assert not agreed([], 1)


def test_ranking_is_deterministic_and_spreads_tasks() -> None:
    """All hosts compute the same ranking, which spreads tasks over the hosts."""
    hosts = [f"host-{number}" for number in range(9)]
    assert ranked("a", hosts) == ranked("a", reversed(hosts))
    firsts = {ranked(f"database-{number}", hosts)[0] for number in range(100)}
    assert firsts == set(hosts)
