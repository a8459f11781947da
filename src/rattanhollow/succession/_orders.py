"""CommandSender to single backend servers."""

from collections.abc import Awaitable, Callable

import trio

from rattanhollow.observe import log_event
from rattanhollow.serving import (
    BackendServer,
    Command,
    CommandKind,
    Reply,
    ServerStatus,
)

# A server across regions answers within 100 ms; one that is dark doesn't.
ORDER_TIMEOUT_S = 0.7

# ``run(server, command, timeout_s)`` gives the reply, None where none came.
RunCommand = Callable[[BackendServer, Command, float], Awaitable[Reply | None]]
ReadStatus = Callable[[Reply], ServerStatus | None]


class CommandSender:
    """Gives orders; one that wasn't answered may be carried out later."""

    def __init__(self, run: RunCommand, read_status: ReadStatus) -> None:
        self._run = run
        self._read_status = read_status

    async def give(
        self, server: BackendServer, kind: CommandKind, term: int = 0
    ) -> ServerStatus | None:
        """Give one order; the answer is the status behind it, None without one."""
        reply = await self._run(server, Command(kind, term=term), ORDER_TIMEOUT_S)
        status = self._read_status(reply) if reply is not None else None
        if status is None or kind is not CommandKind.STATUS:
            log_event(
                "order.given",
                server=server.id,
                order=kind.value,
                term=term,
                reply=reply if status is None else "",
                received=status.received if status is not None else None,
                held_term=status.held_term if status is not None else None,
            )
        return status

    async def give_all(
        self, servers: list[BackendServer], kind: CommandKind, term: int = 0
    ) -> dict[str, ServerStatus | None]:
        """Give the same order to several servers at once."""
        answers: dict[str, ServerStatus | None] = {}

        async def one(server: BackendServer) -> None:
            answers[server.id] = await self.give(server, kind, term)

        async with trio.open_nursery() as nursery:
            for server in servers:
                nursery.start_soon(one, server)
        return answers
