"""Reaching stand-in databases without a network."""

import trio
from result import Err, Ok, Result

from rattanhollow.platform import encode_command, parse_lines, parse_status
from rattanhollow.serving import (
    BackendAdapter,
    BackendServer,
    Command,
    Connection,
    ExchangeFailure,
    OpenFailure,
    Reply,
)
from rattanhollow_standins.platform._group import (
    ServerSession,
    ServiceGroup,
    Unanswered,
)


class MemoryConnection:
    """A connection to a stand-in database in the same process."""

    def __init__(self, session: ServerSession) -> None:
        self.session = session
        self._scope: trio.CancelScope | None = None
        self._closed = False
        self.silent = False

    @property
    def quiet(self) -> bool:
        """Whether it is open."""
        return not self._closed

    def abort(self) -> None:
        """Close at once; what is open is rolled back."""
        if self._closed:
            return
        self._closed = True
        self.session.server.connections -= 1
        if self._scope is not None:
            self._scope.cancel()

    async def run(self, command: Command) -> Result[Reply, ExchangeFailure]:
        """Run one command."""
        return (await self.run_all([command])).map(lambda replies: replies[0])

    async def run_all(
        self, commands: list[Command]
    ) -> Result[list[Reply], ExchangeFailure]:
        """Run commands, one after another."""
        if self._closed:
            return Err(ExchangeFailure("closed", sent=False))
        replies: list[Reply] = []
        try:
            with trio.CancelScope() as self._scope:
                if self.silent:
                    await trio.sleep_forever()
                for command in commands:
                    replies.append(await self._answer(command))
        except trio.Cancelled:
            self.abort()
            raise
        if len(replies) < len(commands):
            return Err(ExchangeFailure("closed while waiting"))
        return Ok(replies)

    async def _answer(self, command: Command) -> Reply:
        text = encode_command(command).decode().removesuffix("\r\n")
        _, request_id, statement = text.split(" ", 2)
        try:
            return parse_lines(await self.session.query(request_id, statement))
        except Unanswered:
            await trio.sleep_forever()
            raise


def memory_end(
    groups: list[ServiceGroup], opened: list[MemoryConnection] | None = None
) -> BackendAdapter:
    """Return the backend servers' end; ``opened`` collects the connections."""
    by_name = {group.name: group for group in groups}

    async def open_connection(
        server: BackendServer, organisation: str
    ) -> Result[Connection, OpenFailure]:
        group = by_name[server.service]
        database = group.servers.get(server.id)
        if database is None:
            return Err(OpenFailure.WRONG_SERVER)
        if database.dark:
            await trio.sleep_forever()
        if database.connections >= database.max_connections:
            database.refused += 1
            return Err(OpenFailure.TOO_MANY)
        database.connections += 1
        database.opened += 1
        try:
            await trio.sleep(database.open_s)
        except trio.Cancelled:
            database.connections -= 1
            raise
        connection = MemoryConnection(ServerSession(group, database, organisation))
        if opened is not None:
            opened.append(connection)
        return Ok(connection)

    return BackendAdapter(open_connection, parse_status)
