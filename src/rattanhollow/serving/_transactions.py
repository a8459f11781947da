"""The open transactions of callers at one backend server."""

from collections.abc import Callable

from rattanhollow.observe import log_event
from rattanhollow.serving._connections import ServerConnection
from rattanhollow.serving._connector import Connector


class Transaction:
    """A caller's open transaction, which has a connection to itself."""

    def __init__(self, connection: ServerConnection, read_only: bool) -> None:
        self.connection = connection
        self.read_only = read_only
        self.wrote = False
        self.running = False
        self.used_at_s = 0.0


class Transactions:
    """The open transactions, by the names that identify them in the fleet."""

    def __init__(self, connector: Connector, clock: Callable[[], float]) -> None:
        self._connector = connector
        self._clock = clock
        self._open: dict[str, Transaction] = {}

    def __len__(self) -> int:
        return len(self._open)

    def start_statement(self, name: str) -> Transaction | None:
        """Return an open transaction that runs no statement, and mark it as running."""
        transaction = self._open.get(name)
        if transaction is None or transaction.running:
            return None
        transaction.running = True
        return transaction

    def end_statement(self, transaction: Transaction) -> None:
        """Mark a transaction as idle."""
        transaction.running = False
        transaction.used_at_s = self._clock()

    def keep(self, name: str, transaction: Transaction) -> None:
        """Keep a transaction open, unless its connection has been closed."""
        if not self._connector.is_lent(transaction.connection):
            self.drop(name)
            return
        transaction.used_at_s = self._clock()
        self._open[name] = transaction

    def drop(self, name: str) -> None:
        """Remove a transaction that has ended, or whose connection was closed."""
        self._open.pop(name, None)

    def roll_back(self, name: str) -> None:
        """Roll back a transaction if it is open."""
        transaction = self._open.pop(name, None)
        if transaction is None:
            return
        if transaction.running:
            # Its statement may still be queued for a slot that it won't get in time,
            # so the connection is closed instead of waiting for the statement.
            self._connector.close(transaction.connection)
        else:
            self._connector.start_rollback(transaction.connection)

    def end_idle(self) -> None:
        """Close the connections of transactions that run no statement.

        The server rolls them back without being sent anything.
        """
        for name, transaction in list(self._open.items()):
            if not transaction.running:
                log_event("transaction.ended", transaction=name)
                self._open.pop(name)
                self._connector.close(transaction.connection)

    def expire(self, idle_s: float) -> None:
        """Roll back transactions idle for longer than ``idle_s``."""
        now_s = self._clock()
        for name, transaction in list(self._open.items()):
            if not transaction.running and now_s - transaction.used_at_s > idle_s:
                log_event("transaction.expired", transaction=name)
                self.roll_back(name)

    def clear(self) -> None:
        """Forget all, as their connections have been closed."""
        self._open.clear()
