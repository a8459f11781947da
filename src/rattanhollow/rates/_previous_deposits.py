"""Finding out which deposits of a previous start of this host are still held."""

import math
from collections.abc import Callable

import trio

from rattanhollow.coordination import DEPOSIT_LIFETIME_S
from rattanhollow.membership import HostRecord
from rattanhollow.peer import DepositAnswer, DepositQuestion, Peers

# How often the brokers that have not responded yet are queried.
DEPOSIT_CHECK_INTERVAL_S = 0.1
REQUEST_TIMEOUT_MS = 400


class PreviousDeposits:
    """Queries the brokers for what they hold from a previous start of this host.

    A broker that started after this host holds nothing. ``candidates()`` returns the
    other hosts that may be brokers of this host.
    """

    def __init__(
        self,
        own_name: str,
        candidates: Callable[[], list[HostRecord]],
        peers: Peers,
        clock: Callable[[], float],
    ) -> None:
        self._own_name = own_name
        self._candidates = candidates
        self._peers = peers
        self._clock = clock
        self._held_until_s = clock()
        self._latest_report_s = -math.inf
        self._pending: set[str] = set()
        self._responded: set[str] = set()
        self._first_incarnation: dict[str, str] = {}

    async def await_end(self, is_counted: Callable[[], bool]) -> float | None:
        """Wait until no broker holds any, once this host ``is_counted``.

        Returns when the last reported one ended, minus infinity if none was reported,
        or None if some brokers did not respond for as long as deposits last.
        """
        async with trio.open_nursery() as nursery:
            while self._clock() < self._held_until_s + DEPOSIT_LIFETIME_S:
                await trio.sleep(DEPOSIT_CHECK_INTERVAL_S)
                if not is_counted():
                    continue
                unresolved = [r for r in self._candidates() if not self._resolved(r)]
                if not unresolved:
                    await trio.sleep(max(0.0, self._held_until_s - self._clock()))
                    nursery.cancel_scope.cancel()
                    return self._latest_report_s
                for record in unresolved:
                    if record.incarnation not in self._pending:
                        self._pending.add(record.incarnation)
                        nursery.start_soon(self._query, record)
            nursery.cancel_scope.cancel()
        return None

    def _resolved(self, record: HostRecord) -> bool:
        """Whether a broker has reported its deposits, or restarted and holds none."""
        first = self._first_incarnation.setdefault(record.name, record.incarnation)
        return first != record.incarnation or record.name in self._responded

    async def _query(self, record: HostRecord) -> None:
        question = DepositQuestion(self._own_name)
        reply = await self._peers.ask(record.peer, question, REQUEST_TIMEOUT_MS)
        answer = reply.ok()
        if isinstance(answer, DepositAnswer):
            until_s = self._clock() + answer.held_ms / 1000
            self._responded.add(record.name)
            self._held_until_s = max(self._held_until_s, until_s)
            if answer.held_ms:
                self._latest_report_s = max(self._latest_report_s, until_s)
        self._pending.discard(record.incarnation)
