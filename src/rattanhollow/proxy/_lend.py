"""Taking connections for a caller and giving them back clean."""

import trio
from result import Err, Ok, Result

from rattanhollow.backend import BackendConnection
from rattanhollow.configuration import Member
from rattanhollow.proxy._caller import IDLE, Caller
from rattanhollow.proxy._service import Service

SETTINGS_TIMEOUT_MS = 2_000
UNKNOWN_SETTINGS = ("unknown",)


def take_ready(caller: Caller, member: Member) -> BackendConnection | None:
    """Return a connection that can be used without any wait, if there is one."""
    pool = caller.group.pool(member)
    connection = pool.take_idle()
    if connection is None:
        return None
    if connection.settings != tuple(caller.settings.values()):
        pool.put_back(connection)
        return None
    return connection


async def take(
    caller: Caller, member: Member, service: Service
) -> Result[BackendConnection, str]:
    """Return a connection to ``member`` with the caller's settings in force."""
    queue = caller.organisation if service.guards.fairness else ""
    taken = await caller.group.pool(member).take(queue)
    if taken.is_err():
        return taken
    connection: BackendConnection = taken.unwrap()
    wanted = tuple(caller.settings.values())
    if connection.settings == wanted:
        return taken
    return await _apply_settings(caller, connection, wanted)


async def _apply_settings(
    caller: Caller, connection: BackendConnection, wanted: tuple[str, ...]
) -> Result[BackendConnection, str]:
    # A former borrower may have left more than settings: all of it goes.
    commands = ["; ".join(["RESET ALL", *wanted])]
    if connection.settings == UNKNOWN_SETTINGS:
        commands = ["DISCARD ALL", "; ".join(wanted)]
        connection.statements.clear()
    failure: str | None = "cancelled"
    try:
        failure = await _run_all(connection, [sql for sql in commands if sql])
    finally:
        if failure is not None:
            await caller.group.pool(connection.member).discard(connection)
    if failure is not None:
        return Err(failure)
    connection.settings = wanted
    return Ok(connection)


async def _run_all(connection: BackendConnection, commands: list[str]) -> str | None:
    """Run commands until one fails; returns why."""
    for sql in commands:
        answer = await connection.command(sql, SETTINGS_TIMEOUT_MS)
        if answer.is_err():
            return answer.unwrap_err()
        if answer.unwrap().error is not None:
            return "the settings of the session were refused"
    return None


async def release(
    caller: Caller, connection: BackendConnection, status: bytes, service: Service
) -> None:
    """Keep the connection while a transaction needs it, else give it back."""
    if connection.usable and (status != IDLE or caller.pinned_for_good):
        if caller.pinned is None:
            caller.term = caller.group.state.term
        caller.pinned = connection
        return
    caller.pinned = None
    await hand_back(caller, connection, service)


async def hand_back(
    caller: Caller, connection: BackendConnection, service: Service
) -> None:
    """Give a connection back; one with state of the caller's is closed."""
    if service.guards.cancel_wait and caller.cancel_lock.locked():
        async with caller.cancel_lock:
            caller.running = None
    caller.running = None
    if caller.pinned_for_good:
        connection.usable = False
        caller.pinned_for_good = False
    await caller.group.pool(connection.member).give_back(connection)


async def drop(caller: Caller, connection: BackendConnection) -> None:
    """Close a connection whose state is in doubt."""
    caller.running = None
    connection.usable = False
    with trio.CancelScope(shield=True):
        await caller.group.pool(connection.member).give_back(connection)


async def end_session(caller: Caller) -> None:
    """Let go of what a leaving caller holds; its transaction is rolled back."""
    connection = caller.running or caller.pinned
    caller.pinned = None
    if connection is not None:
        await drop(caller, connection)
