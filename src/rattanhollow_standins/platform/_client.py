"""A caller that speaks the line protocol."""

from typing import NamedTuple

import trio


class Answer(NamedTuple):
    """The answer to one statement; ``error`` is a code, empty for a success."""

    rows: tuple[str, ...]
    proof: str
    error: str
    detail: str
    state: str


class Closed(Exception):
    """The connection ended before the answer did; the text holds its last error."""


class LineClient:
    """One session; ``waiting`` while the answer to a statement is due."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.waiting = False
        self._last_error = ""
        self._pending = b""
        self._count = 0

    async def start(self, route: str, key: str) -> str:
        """Begin the session; returns an error code, empty for a success."""
        await self.stream.send_all(f"CONNECT {route} {key}\r\n".encode())
        word, _, rest = (await self.read_line()).partition(" ")
        return "" if word == "READY" else rest.partition(" ")[0]

    async def query(self, text: str, request_id: str = "") -> Answer:
        """Run one statement."""
        self._count += 1
        request_id = request_id or f"{id(self):x}{self._count}"
        await self.stream.send_all(f"QUERY {request_id} {text}\r\n".encode())
        self.waiting = True
        answer = await self.read_answer()
        self.waiting = False
        return answer

    async def read_answer(self) -> Answer:
        """Return the next answer."""
        rows: list[str] = []
        proof = error = detail = ""
        while True:
            word, _, rest = (await self.read_line()).partition(" ")
            if word == "ROW":
                rows.append(rest)
            elif word == "COMPLETE":
                proof = rest
            elif word == "ERROR":
                error, _, detail = rest.partition(" ")
            else:
                return Answer(tuple(rows), proof, error, detail, rest[0])

    async def read_line(self) -> str:
        """Return the next line.

        Raises:
            Closed: the connection ended.

        """
        while b"\r\n" not in self._pending:
            try:
                data = await self.stream.receive_some(65_536)
            except trio.BrokenResourceError as error:
                raise Closed(str(error)) from error
            if not data:
                raise Closed(f"ended: {self._last_error}")
            self._pending += data
        line, _, self._pending = self._pending.partition(b"\r\n")
        if line.startswith(b"ERROR"):
            self._last_error = line.decode()
        return line.decode()

    async def close(self) -> None:
        """Leave."""
        await self.stream.aclose()
