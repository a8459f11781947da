"""What sessions need of a caller's protocol."""

from typing import NamedTuple, Protocol

from rattanhollow.statements import Answer, Refused, Request, SessionState


class Opening(NamedTuple):
    """How a session begins: the name of a route, and the caller's key.

    The key is empty where the caller showed none.
    """

    route: str
    key: str


class Farewell(NamedTuple):
    """The caller ended the session; ``reason`` says how."""

    reason: str


class BadLine(NamedTuple):
    """Something that is no request; ``framing_lost`` where no other can follow."""

    framing_lost: bool


class NoRoom(NamedTuple):
    """A request that was dropped, as there is no memory to run it."""

    request_id: str


Received = Opening | Request | Farewell | BadLine | NoRoom


class CallerConnection(Protocol):
    """One caller's connection; one task receives and answers.

    The functions that send return False where the caller is gone.
    """

    async def receive(self) -> Received:
        """Return the next thing that the caller says; the first is an `Opening`."""

    async def until_left(self) -> None:
        """Return once the caller has closed its side; may be cancelled.

        What it sends meanwhile is kept for `receive`, up to a limit.
        """

    async def welcome(self) -> bool:
        """Tell the caller that its session has begun."""

    async def answer(self, answer: Answer, state: SessionState) -> bool:
        """Answer a request."""

    async def refuse(self, refused: Refused) -> bool:
        """Send an error behind which the connection is closed."""

    async def dismiss(self, refused: Refused) -> None:
        """Send an error to a caller that waits for nothing, and say goodbye.

        A request that crosses the error is not run: the error answers it.
        """

    async def close(self) -> None:
        """Close at once."""

    @property
    def mid_request(self) -> bool:
        """Whether a part of a request has arrived that isn't answered."""
