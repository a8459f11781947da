"""Sending commands to backend servers."""

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

# A server in another region responds within 100 ms; an unreachable one never does.
COMMAND_TIMEOUT_S = 0.7
# An order without a reply is sent again, on another connection, after this time.
ORDER_REPEAT_S = 0.15
# Nothing depends on the reply to an order to receive again.
RESUME_TIMEOUT_S = 0.3
# Those that may be given twice. One to receive again could undo a later hold each time.
REPEATED_ORDERS = (CommandKind.SUSPEND_RECEIVING, CommandKind.STEP_DOWN)

# ``run(server, command, timeout_s)`` returns the reply, None if none was received.
RunCommand = Callable[[BackendServer, Command, float], Awaitable[Reply | None]]
ReadStatus = Callable[[Reply], ServerStatus | None]


class CommandSender:
    """Sends commands; one without a reply may still be executed later."""

    def __init__(self, run: RunCommand, read_status: ReadStatus) -> None:
        self._run = run
        self._read_status = read_status

    async def send(
        self, server: BackendServer, kind: CommandKind, term: int = 0
    ) -> ServerStatus | None:
        """Send a command; return the status after it, None without a reply."""
        reply = await self._run_repeatedly(server, Command(kind, term=term))
        status = self._read_status(reply) if reply is not None else None
        if status is None or kind is not CommandKind.STATUS:
            log_event(
                "order.given",
                server=server.id,
                born_ms=server.born_ms,
                order=kind.value,
                term=term,
                reply=reply if status is None else "",
                leads=status.leads if status is not None else None,
                received=status.received if status is not None else None,
                held_term=status.held_term if status is not None else None,
            )
        return status

    async def _run_repeatedly(
        self, server: BackendServer, command: Command
    ) -> Reply | None:
        """Run a command, again while it has no reply; return the first reply.

        A server may carry an order out without a reply, or seconds later. It has no
        further effect then: the term that it names is in use by that time, or the
        server is stopped already.
        """
        if command.kind is CommandKind.RESUME_RECEIVING:
            return await self._run(server, command, RESUME_TIMEOUT_S)
        if command.kind not in REPEATED_ORDERS:
            return await self._run(server, command, COMMAND_TIMEOUT_S)
        replies: list[Reply] = []

        async def run(delay_s: float) -> None:
            await trio.sleep(delay_s)
            reply = await self._run(server, command, COMMAND_TIMEOUT_S - delay_s)
            if reply is not None:
                replies.append(reply)
                nursery.cancel_scope.cancel()

        async with trio.open_nursery() as nursery:
            for number in range(int(COMMAND_TIMEOUT_S / ORDER_REPEAT_S)):
                nursery.start_soon(run, number * ORDER_REPEAT_S)
        return replies[0] if replies else None

    async def send_to_all(
        self, servers: list[BackendServer], kind: CommandKind, term: int = 0
    ) -> dict[str, ServerStatus | None]:
        """Send the same command to several servers concurrently."""
        statuses: dict[str, ServerStatus | None] = {}

        async def send_to(server: BackendServer) -> None:
            statuses[server.id] = await self.send(server, kind, term)

        async with trio.open_nursery() as nursery:
            for server in servers:
                nursery.start_soon(send_to, server)
        return statuses
