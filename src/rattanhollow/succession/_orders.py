"""Orders to single backend servers, each over a connection of its own."""

import trio

from rattanhollow.observe import log_event
from rattanhollow.serving import (
    BackendEnd,
    BackendServer,
    Command,
    CommandKind,
    ServerStatus,
)

# A server across regions answers within 100 ms; one that is dark doesn't.
ORDER_TIMEOUT_S = 0.7
WHO = "-"


async def order(
    end: BackendEnd, server: BackendServer, kind: CommandKind, term: int = 0
) -> ServerStatus | None:
    """Give one order and return the status behind it; None where none came.

    An order that wasn't answered may be carried out later.
    """
    reason = "no answer in time"
    with trio.move_on_after(ORDER_TIMEOUT_S):
        opened = await end.open(server, WHO)
        if opened.is_err():
            log_event(
                "order.failed",
                server=server.id,
                order=kind.value,
                reason=opened.unwrap_err().value,
            )
            return None
        connection = opened.unwrap()
        try:
            answered = await connection.run(Command(kind, term=term))
        finally:
            connection.abort()
        if answered.is_ok():
            status = end.status(answered.unwrap())
            if status is not None:
                return status
            reason = f"unexpected answer {answered.unwrap()}"
        else:
            reason = answered.unwrap_err().reason
    log_event("order.failed", server=server.id, order=kind.value, reason=reason)
    return None


async def order_all(
    end: BackendEnd, servers: list[BackendServer], kind: CommandKind, term: int = 0
) -> dict[str, ServerStatus | None]:
    """Give the same order to several servers at once."""
    answers: dict[str, ServerStatus | None] = {}

    async def one(server: BackendServer) -> None:
        answers[server.id] = await order(end, server, kind, term)

    async with trio.open_nursery() as nursery:
        for server in servers:
            nursery.start_soon(one, server)
    return answers
