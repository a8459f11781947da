"""Sharing a rate among hosts without an owner.

Every host has an equal share of its own. What it doesn't need it deposits with
a broker for a while, and the broker lends it to hosts that need more. Nobody
uses a part that another may be using: a depositor leaves it alone for
``DEPOSIT_S`` from sending, the broker lends it only for less than that, and a
borrower counts from asking. So the parts in use never add up to more than the
whole, whatever is lost, whoever dies, and if several hosts act as the broker.
"""

from typing import NamedTuple

# A deposit is renewed several times before it ends; the shorter it is, the sooner
# a host has its own share back when its broker dies.
DEPOSIT_S = 4.0
# A loan and the age of the stamp that it rests on stay within a deposit.
LOAN_S = 1.8
STAMP_AGE_AT_MOST_S = 2.0
# The part of its own share that a host never deposits: it may use this at once
# when it starts, whatever an earlier start of it has deposited.
KEPT_PART = 0.25


class Stamp(NamedTuple):
    """A time of the broker's clock, which shows how late a message is."""

    broker: str
    at_s: float


class PoolAsk(NamedTuple):
    """What a host deposits and wants of one organisation's rate, as parts of it."""

    organisation: str
    deposit: float
    want: float


class PoolLoan(NamedTuple):
    """A part of an organisation's rate, lent for ``LOAN_S`` from asking."""

    organisation: str
    part: float


class _Timed(NamedTuple):
    part: float
    until_s: float


class PoolMember:
    """One host's parts of one rate; times are of a clock that never stops."""

    def __init__(self, base: float, started_at_s: float) -> None:
        # An earlier start of this host may have deposited all that it could.
        most = base * (1 - KEPT_PART)
        self._deposits = [_Timed(most, started_at_s + DEPOSIT_S)]
        self._loan = _Timed(0.0, 0.0)

    def usable(self, base: float, now_s: float) -> float:
        """Return the part that this host may use, ``base`` being its own."""
        self._deposits = [item for item in self._deposits if item.until_s > now_s]
        deposited = max((item.part for item in self._deposits), default=0.0)
        lent = self._loan.part if self._loan.until_s > now_s else 0.0
        return max(0.0, base - deposited) + lent

    def ask(self, base: float, needed: float, now_s: float) -> tuple[float, float]:
        """Return what to deposit and what to want where ``needed`` is needed.

        The deposit counts from now on.
        """
        deposit = min(base * (1 - KEPT_PART), max(0.0, base - needed))
        self._deposits.append(_Timed(deposit, now_s + DEPOSIT_S))
        usable = self.usable(base, now_s)
        lent = self._loan.part if self._loan.until_s > now_s else 0.0
        return deposit, max(0.0, needed - (usable - lent))

    def take_loan(self, part: float, asked_at_s: float) -> None:
        """Take the broker's answer to what was asked at ``asked_at_s``."""
        self._loan = _Timed(part, asked_at_s + LOAN_S)


class PoolBroker:
    """Lends what hosts deposited with it, of one rate."""

    def __init__(self) -> None:
        self._deposits: dict[str, _Timed] = {}
        self._loans: dict[str, list[_Timed]] = {}
        self._wants: dict[str, _Timed] = {}

    def answer(
        self, host: str, deposit: float, want: float, stamped_at_s: float, now_s: float
    ) -> float:
        """Take a host's deposit and return the part lent to it.

        ``stamped_at_s`` is when this broker made the newest stamp that the host
        had when it sent the message: the deposit was made no earlier.
        """
        self._forget(now_s)
        if now_s - stamped_at_s <= STAMP_AGE_AT_MOST_S:
            self._deposits[host] = _Timed(deposit, stamped_at_s + DEPOSIT_S)
        self._wants[host] = _Timed(want, now_s + LOAN_S)
        if want <= 0.0:
            return 0.0
        wanted = sum(item.part for item in self._wants.values())
        lendable = sum(
            item.part
            for item in self._deposits.values()
            if item.until_s >= now_s + LOAN_S
        )
        others = sum(self._lent(name) for name in self._loans if name != host)
        free = max(0.0, lendable - others)
        part = min(want, lendable * want / wanted, free)
        self._loans.setdefault(host, []).append(_Timed(part, now_s + LOAN_S))
        return part

    def _lent(self, host: str) -> float:
        """Return the most that a host may be using: its answers may cross."""
        return max((item.part for item in self._loans[host]), default=0.0)

    def _forget(self, now_s: float) -> None:
        for timed in (self._deposits, self._wants):
            for host in [h for h, item in timed.items() if item.until_s <= now_s]:
                del timed[host]
        for host, loans in list(self._loans.items()):
            left = [item for item in loans if item.until_s > now_s]
            if left:
                self._loans[host] = left
            else:
                del self._loans[host]
