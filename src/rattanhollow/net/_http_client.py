"""A small HTTP/1.1 client on trio: one server, connections kept open."""

import select
from collections.abc import Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

import h11
import trio
from result import Err, Ok, Result

from rattanhollow.net._tcp import Keepalive, connect_from

RECEIVE_BYTES = 65_536
IDLE_CONNECTIONS_KEPT = 4
# Calls to the platform are answered in milliseconds: a connection whose bytes
# stay unacknowledged for seconds has gone silent.
KEEPALIVE = Keepalive(idle_s=2, interval_s=1, probes=2, user_timeout_ms=3_000)


class HttpAnswer(NamedTuple):
    """A whole answer; ``headers`` by their names in lower case."""

    status: int
    body: bytes
    headers: Mapping[str, str] = MappingProxyType({})


class _Link:
    """One connection."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.http = h11.Connection(h11.CLIENT)

    @property
    def quiet(self) -> bool:
        """Whether it is open, with nothing to read."""
        poll = select.poll()
        poll.register(self.stream.socket.fileno(), select.POLLIN)
        return not poll.poll(0)

    def close(self) -> None:
        """Close at once."""
        self.stream.socket.close()


class HttpClient:
    """Calls one server; after any failure the connection is not used again."""

    def __init__(self, local_address: str, address: str, port: int) -> None:
        self._local_address = local_address
        self._address = address
        self._port = port
        self._idle: list[_Link] = []

    async def call(
        self,
        method: str,
        path: str,
        timeout_s: float,
        body: bytes = b"",
        headers: tuple[tuple[str, str], ...] = (),
    ) -> Result[HttpAnswer, str]:
        """Make one call; an ``Err`` says why no whole answer came."""
        link = None
        try:
            with trio.fail_after(timeout_s):
                link = self._reuse() or await self._open()
                answer = await self._exchange(link, method, path, body, headers)
        except trio.TooSlowError:
            self._drop(link)
            return Err(f"no answer in {timeout_s:g} s")
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError) as error:
            self._drop(link)
            return Err(f"{type(error).__name__}: {error}")
        except (h11.ProtocolError, ValueError) as error:
            self._drop(link)
            return Err(f"not HTTP: {error}")
        except trio.Cancelled:
            self._drop(link)
            raise
        return Ok(answer)

    def _reuse(self) -> _Link | None:
        while self._idle:
            link = self._idle.pop()
            if link.quiet:
                return link
            link.close()
        return None

    async def _open(self) -> _Link:
        stream = await connect_from(
            self._local_address, self._address, self._port, KEEPALIVE
        )
        return _Link(stream)

    async def _exchange(
        self,
        link: _Link,
        method: str,
        path: str,
        body: bytes,
        headers: tuple[tuple[str, str], ...],
    ) -> HttpAnswer:
        request = h11.Request(
            method=method,
            target=path,
            headers=[
                ("Host", f"{self._address}:{self._port}"),
                ("Content-Type", "application/json"),
                ("Content-Length", str(len(body))),
                *headers,
            ],
        )
        data = link.http.send(request) or b""
        if body:
            data += link.http.send(h11.Data(data=body)) or b""
        data += link.http.send(h11.EndOfMessage()) or b""
        await link.stream.send_all(data)
        answer = await self._read(link)
        self._keep(link)
        return answer

    async def _read(self, link: _Link) -> HttpAnswer:
        status, parts, headers = 0, [], {}
        while True:
            event: Any = link.http.next_event()
            if event is h11.NEED_DATA:
                link.http.receive_data(await link.stream.receive_some(RECEIVE_BYTES))
            elif isinstance(event, h11.Response):
                status = event.status_code
                headers = {
                    name.decode("latin-1"): value.decode("latin-1")
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                return HttpAnswer(status, b"".join(parts), headers)
            else:
                raise OSError("the connection ended before the answer did")

    def _keep(self, link: _Link) -> None:
        reusable = link.http.our_state is h11.DONE and link.http.their_state is h11.DONE
        if not reusable or len(self._idle) >= IDLE_CONNECTIONS_KEPT:
            link.close()
            return
        link.http.start_next_cycle()
        self._idle.append(link)

    def _drop(self, link: _Link | None) -> None:
        if link is not None:
            link.close()
