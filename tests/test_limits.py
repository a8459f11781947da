"""The budget of bytes held for callers, and of their connections."""

import pytest
import trio
import trio.testing

from rattanhollow.limits import (
    Account,
    ByteBudget,
    ByteLimits,
    CallerLimits,
    ConnectionLimit,
    Purpose,
    derive_limits,
)
from rattanhollow.settings import SettingsError, line_host_settings_from
from test_settings import HOST

LIMITS = ByteLimits(1_000, 800, 500, 2.0)


def accounts(budget: ByteBudget, *organisations: str) -> list[Account]:
    """Return open accounts."""
    opened = [budget.open() for _ in organisations]
    for account, organisation in zip(opened, organisations, strict=True):
        account.belong_to(organisation)
    return opened


def test_the_connection_that_holds_most_is_closed() -> None:
    """Load: many connections fill the process; the ordinary one holds little."""
    budget = ByteBudget(LIMITS, lambda: 0.0)
    ordinary, large, larger = accounts(budget, "a", "b", "c")
    ordinary.hold(Purpose.RECEIVED, 10)
    large.hold(Purpose.RECEIVED, 480)
    larger.hold(Purpose.RESPONSE, 490)
    assert budget.held_bytes == 980
    ordinary.hold(Purpose.RECEIVED, 40)
    assert [a.closed_for for a in (ordinary, large, larger)] == ["", "", "process"]
    assert larger.scope.cancel_called and budget.held_bytes == 520
    larger.hold(Purpose.RESPONSE, 0)
    budget.remove(larger)
    assert budget.held_bytes == 520


def test_each_limit_closes_its_own() -> None:
    """One connection or organisation can't fill the process."""
    budget = ByteBudget(LIMITS, lambda: 0.0)
    first, second, other = accounts(budget, "a", "a", "b")
    other.hold(Purpose.VALUES, 150)
    first.hold(Purpose.VALUES, 400)
    second.hold(Purpose.VALUES, 410)
    assert (first.closed_for, second.closed_for) == ("", "organisation")
    first.hold(Purpose.RECEIVED, 101)
    assert first.closed_for == "connection"
    assert other.closed_for == "" and budget.held_bytes == 150


def test_a_statement_without_room_is_refused() -> None:
    """Nothing is closed, and nothing counted, for a statement that isn't run."""
    budget = ByteBudget(LIMITS, lambda: 0.0)
    (account,) = accounts(budget, "a")
    account.hold(Purpose.VALUES, 300)
    assert not account.try_hold(Purpose.STATEMENT, 201)
    assert account.try_hold(Purpose.STATEMENT, 200)
    assert budget.held_bytes == 500 and not account.closed_for


def test_large_connections_pause_until_there_is_room() -> None:
    """A small one goes on; a paused one does once another has released enough."""
    budget = ByteBudget(LIMITS, lambda: 0.0)
    small, paused, other = accounts(budget, "a", "b", "c")
    small.hold(Purpose.RECEIVED, 10)
    paused.hold(Purpose.RECEIVED, 400)
    other.hold(Purpose.STATEMENT, 400)

    async def main() -> None:
        await small.wait_for_room()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(paused.wait_for_room)
            await trio.testing.wait_all_tasks_blocked()
            assert paused.paused
            other.hold(Purpose.STATEMENT, 0)

    trio.run(main)
    assert not paused.paused and not paused.closed_for


def test_a_shortage_that_lasts_closes_the_largest() -> None:
    """Load: clients that stop inside their lines; the rest can go on."""
    clock = trio.testing.MockClock(autojump_threshold=0)
    budget = ByteBudget(LIMITS, lambda: trio.current_time())
    halted = accounts(budget, "a", "b", "c")
    for account, held_bytes in zip(halted, (350, 345, 150), strict=True):
        account.hold(Purpose.RECEIVED, held_bytes)

    async def wait(account: Account) -> None:
        with account.scope:
            await account.wait_for_room()

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            for account in halted:
                nursery.start_soon(wait, account)

    trio.run(main, clock=clock)
    assert [account.closed_for for account in halted] == ["paused", "", ""]
    assert budget.held_bytes == 495


def test_a_full_host_ends_connections_without_a_session() -> None:
    """Load: clients that connect and say nothing; sessions stay."""
    now_s = 0.0
    limit = ConnectionLimit(2, lambda: now_s)
    session, silent, late = (trio.CancelScope() for _ in range(3))

    async def main() -> None:
        nonlocal now_s
        assert limit.enter(session) and limit.enter(silent)
        limit.use(session)
        assert not limit.enter(late)
        now_s = 1.0
        assert limit.enter(late)
        assert silent.cancel_called and not session.cancel_called
        limit.leave(silent)
        limit.use(late)
        now_s = 9.0
        assert not limit.enter(trio.CancelScope())

    trio.run(main)


def test_limits_are_derived_from_what_the_process_may_use() -> None:
    """The smallest host; and settings that are given count."""
    small = derive_limits(CallerLimits(memory_mb=152, descriptors=1_605))
    assert small.byte_limits.process_bytes == pytest.approx(44_000_000, rel=0.01)
    assert small.organisation_kb < small.held_kb and small.callers == 1_204
    # One line of full size, of four bytes a character, and its copies.
    assert small.byte_limits.connection_bytes > 4 * 4 << 20
    assert derive_limits(CallerLimits(callers=7, held_kb=20_000)).callers == 7
    assert derive_limits(CallerLimits()).held_kb == 1 << 20


@pytest.mark.parametrize(
    "line", ["memory_mb = 95", "descriptors = 159", "held_kb = 1", "callers = 0"]
)
def test_limits_that_can_serve_nobody_are_refused(line: str) -> None:
    """A value below what one caller needs is named."""
    with pytest.raises(SettingsError, match="between"):
        line_host_settings_from("h.ini", f"{HOST}[limits]\n{line}\n")
