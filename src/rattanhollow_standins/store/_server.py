"""The stand-in store over HTTP, by the conventions of resource objects."""

from collections.abc import AsyncIterator
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import h11
import msgspec
import trio

from rattanhollow_standins.store._objects import Change, Entry, ObjectTable

API_PATH = "/apis/rattanhollow/v1/"
RECEIVE_BYTES = 65_536
LARGEST_VALUE_BYTES = 1 << 20
BOOKMARK_S = 1.0


class Request(NamedTuple):
    """One HTTP request; ``name`` is empty where a whole kind is meant."""

    method: str
    kind: str
    name: str
    query: dict[str, str]
    body: dict[str, Any]


class Reply(NamedTuple):
    """One HTTP answer."""

    status: int
    body: dict[str, Any]


class _Swallowed(Exception):
    """The answer is lost: the connection is closed without it."""


async def serve_store(
    table: ObjectTable,
    address: str,
    port: int,
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve ``table`` over HTTP until cancelled."""
    listeners = await trio.open_tcp_listeners(port, host=address)

    async def handle(stream: trio.SocketStream) -> None:
        try:
            await _Connection(stream, table).run()
        except (trio.BrokenResourceError, h11.RemoteProtocolError, _Swallowed):
            return

    task_status.started()
    await trio.serve_listeners(handle, listeners)


class _Connection:
    """One HTTP connection; requests follow one another on it."""

    def __init__(self, stream: trio.SocketStream, table: ObjectTable) -> None:
        self._stream = stream
        self._table = table
        self._http = h11.Connection(h11.SERVER)
        self._peer = stream.socket.getpeername()[0]

    async def run(self) -> None:
        while True:
            request = await self._read_request()
            if request is None:
                return
            watching = request.query.get("watch") == "1"
            self._table.count("watch" if watching else request.method.lower())
            await self._suffer()
            if watching:
                await self._watch(request)
            else:
                reply = _answer(self._table, request)
                await self._after(request)
                await self._send_json(reply)
            if self._http.our_state is h11.MUST_CLOSE:
                return
            self._http.start_next_cycle()

    async def _suffer(self) -> None:
        """Do what the faults ask for before the request takes effect."""
        if self._table.faults.silent_for(self._peer):
            await trio.sleep_forever()

    async def _after(self, request: Request) -> None:
        """Do what the faults ask for after the request took effect."""
        faults = self._table.faults
        await trio.sleep(faults.delay_s)
        is_write = request.method in ("POST", "PUT", "DELETE")
        if is_write and faults.loses_answer(request.kind):
            await trio.sleep_forever()
        if faults.silent_for(self._peer):
            raise _Swallowed

    async def _read_request(self) -> Request | None:
        head: h11.Request | None = None
        body = b""
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA:
                self._http.receive_data(await self._stream.receive_some(RECEIVE_BYTES))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                return _request(head, body)
            else:
                return None

    async def _send(self, event: Any) -> None:
        data = self._http.send(event)
        if data:
            await self._stream.send_all(data)

    async def _send_json(self, reply: Reply) -> None:
        content = msgspec.json.encode(reply.body)
        headers = [("content-type", "application/json")]
        headers.append(("content-length", str(len(content))))
        headers += self._era_header()
        await self._send(h11.Response(status_code=reply.status, headers=headers))
        await self._send(h11.Data(data=content))
        await self._send(h11.EndOfMessage())

    def _era_header(self) -> list[tuple[str, str]]:
        return [("Store-Era", str(self._table.era))] if self._table.era else []

    async def _watch(self, request: Request) -> None:
        version = int(request.query.get("resourceVersion", "0"))
        if self._table.since(request.kind, version) is None:
            await self._send_json(Reply(410, {"reason": "Gone"}))
            return
        headers = [("content-type", "application/json")]
        headers.append(("transfer-encoding", "chunked"))
        headers += self._era_header()
        await self._send(h11.Response(status_code=200, headers=headers))
        seconds = float(request.query.get("timeoutSeconds", "30"))
        with trio.move_on_after(seconds):
            async for line in _events(self._table, request.kind, version, self._peer):
                await self._send(h11.Data(data=line))
        await self._send(h11.EndOfMessage())


async def _events(
    table: ObjectTable, kind: str, version: int, peer: str
) -> AsyncIterator[bytes]:
    era = table.era
    while True:
        if table.faults.silent_watch or table.faults.silent_for(peer):
            await trio.sleep_forever()
        changes = table.since(kind, version)
        if changes is None or table.era != era:
            raise _Swallowed
        for change in changes:
            version = change.version
            yield _line(change.type, _resource(change.name, change))
        if changes:
            continue
        version = table.version
        with trio.move_on_after(BOOKMARK_S) as scope:
            await table.wait_for_change()
        if scope.cancelled_caught:
            yield _line("BOOKMARK", {"metadata": {"resourceVersion": str(version)}})


def _line(type: str, resource: dict[str, Any]) -> bytes:
    return msgspec.json.encode({"type": type, "object": resource}) + b"\n"


def _resource(name: str, entry: Entry | Change) -> dict[str, Any]:
    metadata = {"name": name, "resourceVersion": str(entry.version)}
    return {"metadata": metadata, "spec": entry.spec}


def _request(head: h11.Request, body: bytes) -> Request:
    url = urlsplit(head.target.decode())
    path = url.path.removeprefix(API_PATH)
    kind, _, name = path.partition("/")
    query = {key: values[0] for key, values in parse_qs(url.query).items()}
    try:
        content = msgspec.json.decode(body) if body else {}
    except msgspec.DecodeError:
        content = {}
    if len(body) > LARGEST_VALUE_BYTES:
        content = {}
    return Request(head.method.decode(), kind, name, query, content)


def _answer(table: ObjectTable, request: Request) -> Reply:
    if request.method == "GET" and not request.name:
        items = [_resource(n, e) for n, e in table.items(request.kind).items()]
        metadata = {"resourceVersion": str(table.version)}
        return Reply(200, {"metadata": metadata, "items": items})
    if request.method == "GET":
        entry = table.get(request.kind, request.name)
        if entry is None:
            return Reply(404, {"reason": "NotFound"})
        return Reply(200, _resource(request.name, entry))
    if request.method == "DELETE":
        version = int(request.query.get("resourceVersion", "0"))
        deleted = table.delete(request.kind, request.name, version)
        return Reply(200 if deleted else 409, {})
    return _write(table, request)


def _write(table: ObjectTable, request: Request) -> Reply:
    metadata = request.body.get("metadata", {})
    spec = request.body.get("spec")
    name = request.name or metadata.get("name", "")
    if not name or spec is None:
        return Reply(422, {"reason": "Invalid"})
    if request.method == "POST":
        entry = table.create(request.kind, name, spec)
    else:
        version = int(metadata.get("resourceVersion", "0"))
        entry = table.replace(request.kind, name, spec, version)
    if entry is None:
        return Reply(409, {"reason": "Conflict"})
    return Reply(201 if request.method == "POST" else 200, _resource(name, entry))
