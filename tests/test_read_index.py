"""The read index: one question in flight answers all who asked before it."""

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
    """A log that grows, and a count of the questions about it."""

    def __init__(self) -> None:
        self.end = 0
        self.asked = 0

    async def ask(self, connection: Any) -> Result[Position, Any]:
        """Answer with the log end at the time of the question, later."""
        self.asked += 1
        end = self.end
        await trio.sleep(0.01)
        return Ok(Position(1, end))


def test_no_answer_is_older_than_its_question() -> None:
    """Each answer covers all that was written before its question, in few rounds."""

    async def main() -> None:
        log = Log()
        index = ReadIndex(log.ask)

        async def one(number: int) -> None:
            await trio.sleep(0.0007 * number)
            log.end += 1
            before = log.end
            answer = await index.read()
            assert answer.unwrap().offset >= before

        async with trio.open_nursery() as nursery:
            for number in range(100):
                nursery.start_soon(one, number)
        assert log.asked == index.rounds < 30

    run_trio(main)


def test_a_cancelled_leader_leaves_nobody_waiting() -> None:
    """Those who waited for a question whose asker was cancelled ask again."""

    async def main() -> None:
        log = Log()
        index = ReadIndex(log.ask)
        answers: list[Any] = []

        async def one(patience_s: float) -> None:
            with trio.move_on_after(patience_s):
                answers.append(await index.read())

        async with trio.open_nursery() as nursery:
            for number in range(20):
                nursery.start_soon(one, 0.001 * (number % 4 + 1) if number % 3 else 1)
        assert len(answers) == 7

    run_trio(main)


def test_readings_by_age() -> None:
    """The oldest reading that is not older than asked for is found."""

    async def main() -> None:
        log = Log()
        now_s = 0.0
        index = ReadIndex(log.ask, clock=lambda: now_s)
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
def test_positions_are_read_back(position: Position) -> None:
    """The text of a position is the position."""
    assert parse_position(str(position)) == position


TERMS = (
    Succession(1, Position(0, 0)),
    Succession(2, Position(1, 10)),
    Succession(3, Position(1, 12)),
    Succession(5, Position(3, 20)),
    Succession(7, Position(6, 30)),
)


def test_survival() -> None:
    """A write is in a later log if the terms lead back to a log that has it."""
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
    """One host, or one zone, decides nothing where there are more."""
    a, b = Vote("a", "z1", True), Vote("b", "z2", True)
    assert not agreed([a], 3)
    assert not agreed([a, a._replace(host="c")], 3)
    assert agreed([a, b], 3)
    assert not agreed([a, b, Vote("c", "z3", False), Vote("d", "z3", False)], 3)
    assert agreed([a], 1)
    assert not agreed([], 1)


def test_ranking_is_the_same_everywhere_and_spreads() -> None:
    """Every host ranks alike, and different work goes to different hosts."""
    hosts = [f"host-{number}" for number in range(9)]
    assert ranked("a", hosts) == ranked("a", reversed(hosts))
    firsts = {ranked(f"database-{number}", hosts)[0] for number in range(100)}
    assert firsts == set(hosts)
