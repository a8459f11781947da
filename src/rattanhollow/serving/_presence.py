"""Whether the caller of the work that a task does is still connected."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import ContextVar
from typing import NamedTuple


class CallerPresence:
    """One caller during one request.

    Tasks that the request starts inherit it through `CURRENT_CALLER`: a hedged read is
    work of the same caller, and the parts between need not know of it.
    """

    def __init__(self) -> None:
        self.gone = False
        self._withdrawals: list[Callable[[], None]] = []

    def leave(self) -> None:
        """Withdraw what waits for the caller, who has left."""
        self.gone = True
        for withdraw in list(self._withdrawals):
            withdraw()

    @contextmanager
    def withdrawing(self, withdraw: Callable[[], None]) -> Iterator[None]:
        """Call ``withdraw()`` if the caller leaves within the block."""
        self._withdrawals.append(withdraw)
        try:
            yield
        finally:
            self._withdrawals.remove(withdraw)


CURRENT_CALLER: ContextVar[CallerPresence | None] = ContextVar(
    "current_caller", default=None
)


class WithdrawalNews(NamedTuple):
    """Tells a serving host that nobody waits for work on a server any longer.

    The work is known by its ``transaction``, which differs for each attempt.
    """

    server: str
    transaction: str
