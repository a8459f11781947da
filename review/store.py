"""The stand-in store, with entries of another writer whose bytes can't be read."""

from typing import Any

import h11
import msgspec
import trio

from rattanhollow_standins.platform._objects_api import _Connection
from rattanhollow_standins.store import ObjectTable

# Stands in a field for the bytes FF FE, which are no text. They are sent as JSON
# escapes, so that the whole answer is ASCII and well-formed by the grammar of JSON.
MARK = "@bytes@"
UNREADABLE = rb"\udcff\udcfe"


class StoreConnection(_Connection):
    """One connection; what an entry's fields hold is sent as it was written."""

    async def _send(self, status: int, answer: Any) -> None:
        content = msgspec.json.encode(answer).replace(MARK.encode(), UNREADABLE)
        headers = [("content-length", str(len(content)))]
        data = self._http.send(h11.Response(status_code=status, headers=headers)) or b""
        data += self._http.send(h11.Data(data=content)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        await self._stream.send_all(data)


async def serve_store(
    table: ObjectTable,
    address: str,
    port: int,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``table`` until cancelled."""

    async def handle(stream: trio.SocketStream) -> None:
        try:
            await StoreConnection(stream, table, {}).run()
        except (trio.BrokenResourceError, h11.ProtocolError):
            return

    listeners = await trio.open_tcp_listeners(port, host=address)
    task_status.started()
    await trio.serve_listeners(handle, listeners)
