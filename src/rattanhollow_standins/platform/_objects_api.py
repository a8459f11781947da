"""The stand-in store by the platform's objects API."""

from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import h11
import msgspec
import trio

from rattanhollow_standins.store import ObjectTable

RECEIVE_BYTES = 65_536
PAGE = 500

Turned = Callable[[str], int]


async def serve_objects(
    table: ObjectTable,
    address: str,
    port: int,
    turned_away: dict[str, int],
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``table`` until cancelled.

    ``turned_away`` gives the status that calls from an address get instead of an
    answer; 0 is silence.
    """
    listeners = await trio.open_tcp_listeners(port, host=address)

    async def handle(stream: trio.SocketStream) -> None:
        try:
            await _Connection(stream, table, turned_away).run()
        except (trio.BrokenResourceError, h11.ProtocolError):
            return

    task_status.started()
    await trio.serve_listeners(handle, listeners)


class _Connection:
    """One HTTP connection."""

    def __init__(
        self, stream: trio.SocketStream, table: ObjectTable, turned: dict[str, int]
    ) -> None:
        self._stream = stream
        self._table = table
        self._turned = turned
        self._http = h11.Connection(h11.SERVER)
        self._peer = stream.socket.getpeername()[0]

    async def run(self) -> None:
        while True:
            head, body = None, b""
            while True:
                event: Any = self._http.next_event()
                if event is h11.NEED_DATA:
                    data = await self._stream.receive_some(RECEIVE_BYTES)
                    self._http.receive_data(data)
                elif isinstance(event, h11.Request):
                    head = event
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    break
                else:
                    return
            assert head is not None
            status, answer = await self._answer(head, body)
            await self._send(status, answer)
            self._http.start_next_cycle()

    async def _answer(self, head: h11.Request, body: bytes) -> tuple[int, Any]:
        faults = self._table.faults
        if faults.silent_for(self._peer) or self._turned.get(self._peer) == 0:
            await trio.sleep_forever()
        if self._peer in self._turned:
            return self._turned[self._peer], {}
        url = urlsplit(head.target.decode())
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        kind, _, name = url.path.removeprefix("/objects/").partition("/")
        method = head.method.decode()
        kind_of_call = "lagging" if "allow_stale" in query else method.lower()
        self._table.count("watch" if "watch" in query else kind_of_call)
        if "watch" in query:
            return await self._watch(kind, query)
        status, answer = self._call(method, kind, name, query, body)
        await trio.sleep(faults.delay_s)
        if method != "GET" and faults.loses_answer(kind):
            await trio.sleep_forever()
        if faults.silent_for(self._peer):
            await trio.sleep_forever()
        return status, answer

    def _call(
        self, method: str, kind: str, name: str, query: dict[str, str], body: bytes
    ) -> tuple[int, Any]:
        table = self._table
        if method == "GET" and not name:
            after = query.get("after", "")
            names = sorted(n for n in table.items(kind) if n > after)
            items = [self._object(kind, n) for n in names[:PAGE]]
            more = len(names) > PAGE
            return 200, {"items": items, "more": more, "at": table.version}
        if method == "GET":
            if table.get(kind, name) is None:
                return 404, {"at": table.version}
            return 200, self._object(kind, name)
        if method == "DELETE":
            done = table.delete(kind, name, int(query.get("revision", "0")))
            return (200 if done else 409), {"at": table.version}
        wanted = msgspec.json.decode(body)
        name = name or wanted["meta"]["name"]
        if method == "POST":
            entry = table.create(kind, name, wanted["spec"])
        elif table.get(kind, name) is None:
            return 404, {}
        else:
            revision = wanted["meta"].get("revision", 0)
            entry = table.replace(kind, name, wanted["spec"], revision)
        return (200 if entry else 409), self._object(kind, name)

    def _object(self, kind: str, name: str) -> dict[str, Any]:
        entry = self._table.get(kind, name)
        assert entry is not None
        return {"meta": {"name": name, "revision": entry.version}, "spec": entry.spec}

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        table = self._table
        since = int(query["watch"])
        with trio.move_on_after(int(query["wait_ms"]) / 1000):
            while True:
                if table.faults.silent_watch or table.faults.silent_for(self._peer):
                    await trio.sleep_forever()
                changes = table.since(kind, since)
                if changes is None:
                    return 410, {"at": table.version}
                if changes:
                    break
                await table.wait_for_change()
        changes = table.since(kind, since) or []
        events = [
            {
                "deleted": change.type == "DELETED",
                "object": {
                    "meta": {"name": change.name, "revision": change.version},
                    "spec": change.spec,
                },
            }
            for change in changes
        ]
        return 200, {"events": events, "at": table.version}

    async def _send(self, status: int, answer: Any) -> None:
        content = msgspec.json.encode(answer)
        headers = [("content-length", str(len(content)))]
        if self._table.era:
            headers.append(("Store-Era", str(self._table.era)))
        data = self._http.send(h11.Response(status_code=status, headers=headers)) or b""
        data += self._http.send(h11.Data(data=content)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        await self._stream.send_all(data)
