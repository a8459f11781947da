"""Rates that hosts share by depositing and borrowing, without an owner."""

import math
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

import trio

from rattanhollow.configuration import Organisation
from rattanhollow.coordination import (
    PoolAsk,
    PoolBroker,
    PoolLoan,
    PoolMember,
    Stamp,
    TokenBucket,
    ranked,
)
from rattanhollow.membership import HostDirectory, HostRecord
from rattanhollow.peer import Peers, PoolAnswer, PoolQuestion

# Deposits last several of these; a host in need asks sooner.
ASK_INTERVAL_S = 1.0
ASK_AGAIN_S = 0.1
ASK_TIMEOUT_MS = 400
# A host that has just registered is not yet counted by all others.
SETTLE_S = 1.5
# An operation waits this long for its turn within the rate; a wait evens out what
# parts of a rate can't.
WAIT_AT_MOST_S = 0.25
# What a host keeps above the demand that it saw, which changes.
HEADROOM = 1.4
DEMAND_SMOOTHING = 0.4
# With demand at all a host wants room for this many operations at once.
LEAST_TOKENS = 3.0
FORGET_AFTER_S = 15.0
# One broker for so many hosts.
HOSTS_PER_BROKER = 16
RETRY_AT_MOST_MS = 2_000


class PooledRateParts(NamedTuple):
    """What the limits need of the rest of the host; ``clock`` never stops."""

    organisations: Callable[[], dict[str, Organisation]]
    own: Callable[[], HostRecord]
    hosts: HostDirectory
    peers: Peers
    clock: Callable[[], float]


class Admission(NamedTuple):
    """Whether an operation is within the rate.

    Admitted ones go on after ``wait_s``; refused ones come back after
    ``retry_after_ms``.
    """

    admitted: bool
    wait_s: float = 0.0
    retry_after_ms: int = 0


class _Local:
    """What this host has of one organisation's rate."""

    def __init__(self, base: float, started_at_s: float, parts: PooledRateParts):
        self.member = PoolMember(base, started_at_s)
        self.bucket = TokenBucket(parts.clock)
        self.asked = 0
        self.demand_per_s = 0.0
        self.used_at_s = parts.clock()


class PooledRates:
    """Admits operations of organisations within their rates."""

    def __init__(self, parts: PooledRateParts) -> None:
        self._parts = parts
        self._started_at_s = parts.clock()
        self._local: dict[str, _Local] = {}
        self._brokers: dict[str, PoolBroker] = {}
        self._stamps: dict[str, Stamp] = {}
        self._registered_at_s = math.inf
        self._asked_at_s = 0.0
        self._urgent = trio.Event()

    def registered(self) -> None:
        """Note that the store has this host's record: others count it soon."""
        self._registered_at_s = min(self._registered_at_s, self._parts.clock())

    def admit(self, organisation: str) -> Admission:
        """Count one operation."""
        limits = self._parts.organisations().get(organisation)
        if limits is None or not limits.rate_per_s:
            return Admission(limits is not None)
        local = self._of(organisation)
        local.asked += 1
        local.used_at_s = self._parts.clock()
        self._resize(local, limits)
        wait_s = local.bucket.take_by(WAIT_AT_MOST_S)
        if wait_s:
            self._urgent.set()
        if wait_s is not None:
            return Admission(True, wait_s)
        self._urgent.set()
        retry_s = local.bucket.wait_for_token_s()
        retry_after_ms = min(RETRY_AT_MOST_MS, int(1000 * min(retry_s, 60.0)) + 1)
        return Admission(False, retry_after_ms=retry_after_ms)

    async def run(self) -> None:
        """Deposit and borrow, until cancelled."""
        while True:
            with trio.move_on_after(ASK_INTERVAL_S):
                await self._urgent.wait()
            since_s = self._parts.clock() - self._asked_at_s
            if since_s < ASK_AGAIN_S:
                await trio.sleep(ASK_AGAIN_S - since_s)
            self._urgent = trio.Event()
            await self._ask_brokers()

    def answer(self, question: PoolQuestion) -> PoolAnswer:
        """Take deposits of another host, and lend to it."""
        now_s = self._parts.clock()
        own = self._parts.own().incarnation
        stamped_at_s = -math.inf
        if question.stamp.broker == own:
            stamped_at_s = question.stamp.at_s
        loans = []
        for ask in question.asks:
            broker = self._brokers.setdefault(ask.organisation, PoolBroker())
            part = broker.answer(
                question.host, ask.deposit, ask.want, stamped_at_s, now_s
            )
            if part > 0:
                loans.append(PoolLoan(ask.organisation, part))
        return PoolAnswer(Stamp(own, now_s), tuple(loans))

    def _of(self, organisation: str) -> _Local:
        local = self._local.get(organisation)
        if local is None:
            local = _Local(self._base(), self._started_at_s, self._parts)
            self._local[organisation] = local
        return local

    def _base(self) -> float:
        """Return this host's own part: equal for all hosts that the store lists.

        Nothing before others can know of this host: they would use more than
        their part meanwhile.
        """
        if self._parts.clock() < self._registered_at_s + SETTLE_S:
            return 0.0
        names = {record.name for record in self._parts.hosts.all()}
        return 1.0 / len(names | {self._parts.own().name})

    def _resize(self, local: _Local, limits: Organisation) -> None:
        part = local.member.usable(self._base(), self._parts.clock())
        local.bucket.resize(limits.rate_per_s * part, limits.burst * part)

    async def _ask_brokers(self) -> None:
        now_s = self._parts.clock()
        interval_s = max(now_s - self._asked_at_s, 1e-3)
        self._asked_at_s = now_s
        asks = self._asks(now_s, interval_s)
        by_broker: dict[str, list[PoolAsk]] = defaultdict(list)
        for ask in asks:
            by_broker[self._broker_of(ask.organisation)].append(ask)
        async with trio.open_nursery() as nursery:
            for name, wanted in by_broker.items():
                nursery.start_soon(self._ask_broker, name, tuple(wanted), now_s)

    def _asks(self, now_s: float, interval_s: float) -> list[PoolAsk]:
        asks = []
        base = self._base()
        for name, limits in self._parts.organisations().items():
            if not limits.rate_per_s:
                continue
            local = self._of(name)
            weight = min(1.0, DEMAND_SMOOTHING * interval_s / ASK_INTERVAL_S)
            seen_per_s = local.asked / interval_s
            local.demand_per_s += weight * (seen_per_s - local.demand_per_s)
            local.asked = 0
            needed = self._needed(local, limits, now_s)
            deposit, want = local.member.ask(base, needed, now_s)
            self._resize(local, limits)
            asks.append(PoolAsk(name, round(deposit, 5), round(want, 5)))
        return asks

    def _needed(self, local: _Local, limits: Organisation, now_s: float) -> float:
        if now_s - local.used_at_s > FORGET_AFTER_S:
            return 0.0
        needed = local.demand_per_s * HEADROOM / limits.rate_per_s
        return max(needed, LEAST_TOKENS / max(limits.burst, 1))

    def _broker_of(self, organisation: str) -> str:
        names = sorted(record.name for record in self._parts.hosts.staying())
        if not names:
            return self._parts.own().name
        brokers = 1 + len(names) // HOSTS_PER_BROKER
        chosen = ranked("rates", names)[:brokers]
        return ranked(organisation, chosen)[0]

    async def _ask_broker(
        self, name: str, asks: tuple[PoolAsk, ...], asked_at_s: float
    ) -> None:
        own = self._parts.own()
        stamp = self._stamps.get(name, Stamp("", 0.0))
        question = PoolQuestion(own.incarnation, stamp, asks)
        answer: object = None
        if name == own.name:
            answer = self.answer(question)
        else:
            record = self._parts.hosts.find(name)
            if record is not None:
                asked = await self._parts.peers.ask(
                    record.peer, question, ASK_TIMEOUT_MS
                )
                answer = asked.ok()
        if not isinstance(answer, PoolAnswer):
            return
        self._stamps[name] = answer.stamp
        lent = {loan.organisation: loan.part for loan in answer.loans}
        organisations = self._parts.organisations()
        for ask in asks:
            limits = organisations.get(ask.organisation)
            if limits is None or ask.organisation not in self._local:
                continue
            local = self._local[ask.organisation]
            local.member.take_loan(lent.get(ask.organisation, 0.0), asked_at_s)
            self._resize(local, limits)
