"""A small HTTP/1.1 server for questions without a body: readiness, metrics."""

from collections.abc import Callable
from typing import Any, NamedTuple

import h11
import trio

from rattanhollow.limits import ConnectionLimit
from rattanhollow.observe import log_failure

RECEIVE_BYTES = 8_192
REQUEST_TIMEOUT_S = 30.0


class HttpReply(NamedTuple):
    """What a question is answered with."""

    status: int
    body: bytes = b""
    content_type: str = "text/plain; charset=utf-8"


Answer = Callable[[str, str], HttpReply]


async def serve_http(
    listener: trio.SocketListener, answer: Answer, connections_at_most: int
) -> None:
    """Answer each request by ``answer(method, path)``, until cancelled.

    A further connection ends the one that has waited longest behind its last
    response: a balancer that asks often is served beside any number that stay.
    """
    limit = ConnectionLimit(connections_at_most, trio.current_time, grace_s=0.0)

    async def serve_one(stream: trio.SocketStream) -> None:
        scope = trio.CancelScope()
        if not limit.enter(scope):
            await trio.aclose_forcefully(stream)
            return
        try:
            with scope:
                await _serve(stream, answer, lambda: limit.rest(scope))
        except (trio.BrokenResourceError, h11.ProtocolError, OSError):
            return
        except Exception as error:
            # One request must not end the process.
            log_failure("http.failed", error)
        finally:
            limit.leave(scope)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    await trio.serve_listeners(serve_one, [listener])


async def _serve(
    stream: trio.SocketStream, answer: Answer, answered: Callable[[], None]
) -> None:
    http = h11.Connection(h11.SERVER)
    reply = HttpReply(400)
    while True:
        event: Any = http.next_event()
        if event is h11.NEED_DATA:
            with trio.move_on_after(REQUEST_TIMEOUT_S) as waiting:
                http.receive_data(await stream.receive_some(RECEIVE_BYTES))
            if waiting.cancelled_caught:
                return
        elif isinstance(event, h11.Request):
            reply = answer(event.method.decode(), event.target.decode())
        elif isinstance(event, h11.EndOfMessage):
            with trio.move_on_after(REQUEST_TIMEOUT_S) as sending:
                await _send(stream, http, reply)
            if sending.cancelled_caught:
                return
            answered()
            if http.our_state is not h11.DONE:
                return
            http.start_next_cycle()
        elif not isinstance(event, h11.Data):
            return


async def _send(
    stream: trio.SocketStream, http: h11.Connection, reply: HttpReply
) -> None:
    response = h11.Response(
        status_code=reply.status,
        headers=[
            ("Content-Type", reply.content_type),
            ("Content-Length", str(len(reply.body))),
        ],
    )
    data = http.send(response) or b""
    if reply.body:
        data += http.send(h11.Data(data=reply.body)) or b""
    data += http.send(h11.EndOfMessage()) or b""
    await stream.send_all(data)
