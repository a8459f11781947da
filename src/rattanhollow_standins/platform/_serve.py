"""Stand-in databases and promotions over the network."""

from contextlib import suppress
from functools import partial
from typing import Any

import h11
import msgspec
import trio

from rattanhollow_standins.platform._group import (
    DatabaseServer,
    ServerSession,
    ServiceGroup,
    Unanswered,
)

RECEIVE_BYTES = 65_536
DARK_LOOK_S = 0.05


async def serve_database(
    group: ServiceGroup,
    server: DatabaseServer,
    address: str,
    port: int,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve one database by the line protocol, until cancelled."""
    listeners = await trio.open_tcp_listeners(port, host=address)
    task_status.started()
    serve = partial(_serve_connection, group, server)
    await trio.serve_listeners(serve, listeners)


async def _serve_connection(
    group: ServiceGroup, server: DatabaseServer, stream: trio.SocketStream
) -> None:
    server.connections += 1
    server.opened += 1
    try:
        await _converse(group, server, stream)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return
    except Unanswered:
        await _stay_silent(server, stream)
    finally:
        server.connections -= 1
        await trio.aclose_forcefully(stream)


async def _stay_silent(server: DatabaseServer, stream: trio.SocketStream) -> None:
    """Say nothing until the other end closes; a dark server notices that late."""
    while server.dark:
        await trio.sleep(DARK_LOOK_S)
    try:
        while await stream.receive_some(RECEIVE_BYTES):
            pass
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return


async def _converse(
    group: ServiceGroup, server: DatabaseServer, stream: trio.SocketStream
) -> None:
    pending = b""
    session: ServerSession | None = None
    while True:
        while b"\r\n" not in pending:
            data = await stream.receive_some(RECEIVE_BYTES)
            if not data:
                return
            pending += data
        line, _, pending = pending.partition(b"\r\n")
        fields = line.decode().split(" ", 2)
        if session is None:
            if server.dark:
                raise Unanswered
            _, service, who = fields
            who, _, expected = who.partition(" ")
            error = ""
            if service != group.name or expected not in ("", server.id):
                error = "WRONGNODE"
            elif server.connections > server.max_connections:
                error = "CONNLIMIT"
            if error:
                await stream.send_all(f"ERROR {error} {server.id}\r\n".encode())
                return
            await trio.sleep(server.open_s)
            session = ServerSession(group, server, who)
            await stream.send_all(b"READY I 1.0\r\n")
            continue
        answer = await session.query(fields[1], fields[2])
        await stream.send_all("".join(f"{item}\r\n" for item in answer).encode())


class Promotions:
    """Takes orders to promote, and checks their fencing tokens.

    ``late_s`` leaves an order unanswered and carries it out so much later.
    """

    def __init__(self, groups: list[ServiceGroup], nursery: trio.Nursery) -> None:
        self.orders: list[tuple[str, str, str, int]] = []
        self.late_s = 0.0
        self._groups = {group.name: group for group in groups}
        self._tokens: dict[str, int] = {}
        self._nursery = nursery

    async def order(self, service: str, server: str, holder: str, token: int) -> int:
        """Take one order and return the HTTP status of its answer."""
        self.orders.append((service, server, holder, token))
        late_s = self.late_s or self._groups[service].order_delay_s("PROMOTE")
        if late_s:
            self._nursery.start_soon(self._later, late_s, service, server, token)
            await trio.sleep_forever()
        return self._carry_out(service, server, token)

    async def _later(
        self, late_s: float, service: str, server: str, token: int
    ) -> None:
        await trio.sleep(late_s)
        self._carry_out(service, server, token)

    def _carry_out(self, service: str, server: str, token: int) -> int:
        if token < self._tokens.get(service, 0):
            return 409
        group = self._groups[service]
        target = group.servers.get(server)
        if target is None or target.dark:
            return 409
        self._tokens[service] = token
        # Accepted for the present primary, too, and not withdrawn by a newer order.
        self._nursery.start_soon(group.promote, target)
        return 200


async def serve_promotions(
    promotions: Promotions,
    address: str,
    port: int,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the call that promotes, until cancelled."""

    async def handle(stream: trio.SocketStream) -> None:
        # A host that is killed resets its connections.
        with suppress(trio.BrokenResourceError):
            await answer(stream)

    async def answer(stream: trio.SocketStream) -> None:
        http = h11.Connection(h11.SERVER)
        head: h11.Request | None = None
        body = b""
        while True:
            event: Any = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await stream.receive_some(RECEIVE_BYTES))
            elif isinstance(event, h11.Request):
                head, body = event, b""
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                headers = {k.decode().lower(): v.decode() for k, v in head.headers}
                wanted = msgspec.json.decode(body)
                status = await promotions.order(
                    wanted["service"],
                    wanted["id"],
                    headers["x-lease-holder"],
                    int(headers["x-fencing-token"]),
                )
                response = h11.Response(
                    status_code=status, headers=[("content-length", "0")]
                )
                data = (http.send(response) or b"") + (
                    http.send(h11.EndOfMessage()) or b""
                )
                await stream.send_all(data)
                http.start_next_cycle()
            else:
                return

    listeners = await trio.open_tcp_listeners(port, host=address)
    task_status.started()
    await trio.serve_listeners(handle, listeners)
