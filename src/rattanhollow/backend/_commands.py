"""The replication commands of a database group, as SQL text over its protocol."""

from result import Err, Ok, Result

from rattanhollow.backend._connection import (
    Answer,
    BackendConnection,
    Credentials,
    open_connection,
)
from rattanhollow.configuration import Member
from rattanhollow.coordination import (
    GroupControl,
    MemberStatus,
    Position,
    parse_position,
)
from rattanhollow.pgwire import Watchdog, error_fields, rows_as_text


def confirm_command(copies: int, timeout_ms: int) -> str:
    """Return the command that proves that the log is held, and returns its end.

    It answers once ``copies`` replicas have told the primary, after the
    command arrived, that they hold its log up to the log end at that time.
    """
    return f"REPLICATION CONFIRM {copies} {timeout_ms}"


def lead_command(copies: int, timeout_ms: int) -> str:
    """Return the command that proves leadership, and returns the log end.

    It answers once ``copies`` replicas have told the primary, after the
    command arrived, that they follow it, however far they are behind. The log
    end is that of the time when the command arrived.
    """
    return f"REPLICATION LEAD {copies} {timeout_ms}"


def wait_command(position: Position, timeout_ms: int) -> str:
    """Return the command that waits until ``position`` is visible to reads."""
    return f"REPLICATION WAIT {position.term} {position.offset} {timeout_ms}"


def read_status(answer: Answer) -> Result[MemberStatus, str]:
    """Return the status that a member answered with."""
    if answer.error is not None:
        fields = error_fields(answer.error)
        return Err(f"{fields.sqlstate} {fields.message}")
    rows = rows_as_text(answer.frames)
    if len(rows) != 1 or len(rows[0]) != 6:
        return Err("the status has another shape")
    name, role, term, fenced_term, end, applied = (value or "" for value in rows[0])
    try:
        return Ok(
            MemberStatus(
                name=name,
                role=role,
                term=int(term),
                fenced_term=int(fenced_term),
                end=parse_position(end),
                applied=parse_position(applied),
            )
        )
    except ValueError as error:
        return Err(str(error))


def group_control(
    database: str, credentials: Credentials, watchdog: Watchdog, timeout_ms: int
) -> GroupControl:
    """Return the commands over connections of their own, one a command.

    A failover must not wait for a pool whose connections hang on the dead
    primary.
    """

    async def run(member: Member, sql: str) -> Result[MemberStatus, str]:
        opened = await open_connection(member, database, credentials, watchdog)
        if opened.is_err():
            return Err(opened.unwrap_err())
        connection: BackendConnection = opened.unwrap()
        try:
            answer = await connection.command(sql, timeout_ms)
            return answer.and_then(read_status)
        finally:
            await connection.close()

    async def status(member: Member) -> Result[MemberStatus, str]:
        return await run(member, "REPLICATION STATUS")

    async def fence(member: Member, term: int) -> Result[MemberStatus, str]:
        return await run(member, f"REPLICATION FENCE {term}")

    async def promote(member: Member, term: int) -> Result[MemberStatus, str]:
        return await run(member, f"REPLICATION PROMOTE {term}")

    async def follow(
        member: Member, term: int, primary: str
    ) -> Result[MemberStatus, str]:
        return await run(member, f"REPLICATION FOLLOW {term} {primary}")

    return GroupControl(status, fence, promote, follow)
