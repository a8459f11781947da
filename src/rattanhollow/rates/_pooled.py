"""Rates that hosts share through brokers of tokens, without an owner."""

import math
from collections import defaultdict, deque
from collections.abc import Callable
from typing import NamedTuple

import trio

from rattanhollow.configuration import Organisation
from rattanhollow.coordination import (
    DEPOSIT_LIFETIME_S,
    TOKEN_LIFETIME_S,
    Depositor,
    Stamp,
    TokenBroker,
    TokenBucket,
    TokenGrant,
    TokenWant,
    kept_fraction,
    shard_of,
)
from rattanhollow.membership import HostDirectory, HostRecord
from rattanhollow.observe import Meter, kinds
from rattanhollow.peer import (
    DepositAnswer,
    DepositQuestion,
    Peers,
    PoolAnswer,
    PoolQuestion,
)
from rattanhollow.rates._brokers import (
    Brokers,
    brokers_by_region,
    possible_brokers,
)

# Deposits last for several of these.
ASK_INTERVAL_S = 0.4
# Questions to a broker are this far apart at least, so that they gather wants.
ASK_SPACING_S = 0.02
ASK_TIMEOUT_MS = 400
# How long a broker is waited for before one of another region is asked: a question
# to the far end of the fleet and back.
PATIENCE_S = 0.08
# How often a host that has started asks those that did not answer yet.
LOOK_INTERVAL_S = 0.1
# How long an operation waits for a token: two questions to another region, and no
# more than this part of the time within which its caller expects the answer.
WAIT_AT_MOST_S = 0.25
WAIT_PART = 0.2
# The same behind this host's start, while brokers that started with it hold few
# deposits or none: refused, a caller would use up its retries before there are any.
# What is left of the time that a caller expects is for the statement itself.
STARTING_S = 2.0
STARTING_WAIT_AT_MOST_S = 0.6
STARTING_WAIT_PART = 0.6
# Timers may fire a little early.
SLEEP_SLACK_S = 0.002
# The part of the allowed slack that all hosts of a small fleet together begin
# with; the rest is for tokens that were fetched before a window and used in it.
STARTING_PART = 0.75
# In a large fleet no host would begin with a whole token: there the brokers'
# buckets are deeper by this part, which evens out what small organisations ask,
# and begin with it. So a window may hold it twice, and some tokens fetched before.
DEEPER_PART = 0.4
# How many operations may wait, in parts of what an equal share gives meanwhile:
# some hosts get more than others.
WAITING_PART = 2.0
# How long an organisation counts as over its rate behind an answer that said so.
DRY_S = 0.25
# How soon brokers are asked again that had too few tokens for all who asked: a flood
# would ask as often as questions are gathered.
ASK_AGAIN_S = 0.1
# Tokens are fetched ahead where at least so many are used between two questions.
AHEAD_FROM = 1.0
DEMAND_SMOOTHING = 0.4
RETRY_AT_MOST_MS = 2_000
# Callers that come back sooner find the same few tokens.
LEAST_RETRY_MS = 50


class PooledRateParts(NamedTuple):
    """What the limits need of the rest of the host; ``clock`` never stops.

    ``region_of(zone)`` gives an availability zone's region.
    ``settle_s`` is how long a host that has just registered is not yet counted
    by all others, ``slack`` how many operations may go above rate and burst.
    """

    organisations: Callable[[], dict[str, Organisation]]
    own: Callable[[], HostRecord]
    hosts: HostDirectory
    peers: Peers
    clock: Callable[[], float]
    region_of: Callable[[str], str]
    settle_s: float
    slack: int
    meter: Meter


class Admission(NamedTuple):
    """Whether an operation is within the rate, and when a refused one may return.

    ``detail`` tells what decided about a refused one.
    """

    admitted: bool
    retry_after_ms: int = 0
    detail: str = ""


class _Tokens(NamedTuple):
    left: int
    until_s: float


class _Waiter:
    """An operation that waits for a token."""

    def __init__(self) -> None:
        self.decided = trio.Event()
        self.admitted = False

    def decide(self, admitted: bool) -> None:
        self.admitted = admitted
        self.decided.set()


class _Local:
    """What this host has of one organisation's rate."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.bucket = TokenBucket(clock)
        self.waiters: deque[_Waiter] = deque()
        self.dry_until_s = -math.inf
        self.ask_from_s = -math.inf
        self.wait_ms = 0
        # How many regions had too few tokens for those that wait now, and when the
        # first of these has more.
        self.regions_tried = 0
        self.least_wait_ms = RETRY_AT_MOST_MS
        self.asked = 0
        self.demand_per_s = 0.0
        self._tokens: deque[_Tokens] = deque()

    def take(self, now_s: float) -> bool:
        """Use a token that was fetched, or one of this host's own part."""
        while self._tokens:
            first = self._tokens.popleft()
            if first.until_s <= now_s:
                continue
            if first.left > 1:
                self._tokens.appendleft(first._replace(left=first.left - 1))
            return True
        return self.bucket.take()

    def add(self, count: int, until_s: float) -> None:
        """Keep tokens that were granted."""
        if count:
            self._tokens.append(_Tokens(count, until_s))

    def at_hand(self, now_s: float) -> int:
        """Return how many fetched tokens are left."""
        return sum(item.left for item in self._tokens if item.until_s > now_s)


class _Earlier:
    """What is known of deposits of an earlier start of this host.

    ``held_until_s`` is when the last that was told of ends.
    """

    def __init__(self, now_s: float) -> None:
        self.held_until_s = now_s
        self.asked: set[str] = set()
        self._answered: set[str] = set()
        self._first_seen: dict[str, str] = {}

    def heard(self, record: HostRecord) -> bool:
        """Whether a broker holds nothing, or has told until when it does."""
        first = self._first_seen.setdefault(record.name, record.incarnation)
        return first != record.incarnation or record.name in self._answered

    def asks(self, record: HostRecord) -> bool:
        """Whether to ask a broker now: not while an answer is due."""
        if record.incarnation in self.asked:
            return False
        self.asked.add(record.incarnation)
        return True

    def answered(self, record: HostRecord, held_until_s: float) -> None:
        """Note a broker's answer."""
        self._answered.add(record.name)
        self.held_until_s = max(self.held_until_s, held_until_s)


class PooledRates:
    """Admits operations of organisations within their rates."""

    def __init__(self, parts: PooledRateParts) -> None:
        self._parts = parts
        self._started_at_s = parts.clock()
        self._depositor = Depositor(parts.clock())
        self._broker = TokenBroker(parts.clock)
        self._local: dict[str, _Local] = {}
        self._stamps: dict[str, Stamp] = {}
        self._grouped: dict[str, list[str]] = {}
        self._grouped_at = -1
        self._counted_at_s = math.inf
        # When each broker was asked that has not answered yet.
        self._asking: dict[str, float] = {}
        self._regular_at_s = 0.0
        self._urgent = trio.Event()
        self._nursery: trio.Nursery | None = None

    def registered(self, anew: bool) -> None:
        """Note that the store has this host's record: others count it soon.

        Unless it is there ``anew``, they have counted an earlier start.
        """
        settle_s = self._parts.settle_s if anew else 0.0
        at_s = self._parts.clock() + settle_s
        self._counted_at_s = min(self._counted_at_s, at_s)

    async def admit(self, organisation: str, target_ms: int) -> Admission:
        """Count one operation; it may wait a little for its turn within the rate.

        ``target_ms`` is the latency that its caller expects.
        """
        part = STARTING_WAIT_PART if self._starting() else WAIT_PART
        wait_s = min(self._wait_at_most_s(), target_ms / 1000 * part)
        admission = await self._admit(organisation, wait_s)
        outcome = "admitted" if admission.admitted else "over"
        self._parts.meter.count(kinds.ADMISSIONS, organisation, outcome)
        return admission

    async def _admit(self, organisation: str, wait_s: float) -> Admission:
        limits = self._parts.organisations().get(organisation)
        if limits is None or not limits.rate_per_s:
            return Admission(limits is not None)
        local = self._of(organisation)
        local.asked += 1
        now_s = self._parts.clock()
        self._resize(organisation, local, limits)
        if not local.waiters and local.take(now_s):
            return Admission(True)
        if now_s < local.dry_until_s and len(local.waiters) >= self._room(limits):
            return self._over(local, limits, "no token lately")
        waiter = _Waiter()
        local.waiters.append(waiter)
        self._urgent.set()
        try:
            await self._wait(local, waiter, now_s + wait_s)
        finally:
            if not waiter.decided.is_set():
                local.waiters.remove(waiter)
        if waiter.admitted:
            return Admission(True)
        decided = "no token" if waiter.decided.is_set() else "no token in time"
        return self._over(local, limits, decided)

    def _over(self, local: _Local, limits: Organisation, why: str) -> Admission:
        demand = round(local.demand_per_s, 1)
        detail = (
            f"{why}: rate_per_s={limits.rate_per_s} burst={limits.burst}"
            f" demand_here_per_s={demand} regions_tried={local.regions_tried}"
        )
        return Admission(False, max(LEAST_RETRY_MS, local.wait_ms), detail)

    async def _wait(self, local: _Local, waiter: _Waiter, until_s: float) -> None:
        """Wait for a token that is fetched, or for the next of the own part."""
        while not waiter.decided.is_set():
            left_s = until_s - self._parts.clock()
            if left_s <= 0:
                return
            own_s = local.bucket.wait_for_token_s() + SLEEP_SLACK_S
            with trio.move_on_after(min(left_s, own_s)):
                await waiter.decided.wait()
            if local.waiters and local.waiters[0] is waiter and local.bucket.take():
                local.waiters.popleft().decide(admitted=True)

    async def run(self) -> None:
        """Deposit and fetch tokens, until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._look_for_earlier)
            self._regular_at_s = looked_at_s = self._parts.clock()
            while True:
                left_s = self._regular_at_s - self._parts.clock()
                if any(local.waiters for local in self._local.values()):
                    left_s = min(left_s, PATIENCE_S)
                with trio.move_on_after(max(0.0, left_s)):
                    await self._urgent.wait()
                self._urgent = trio.Event()
                now_s = self._parts.clock()
                regular = now_s >= self._regular_at_s
                if regular:
                    self._measure(now_s - looked_at_s)
                    looked_at_s = now_s
                    self._regular_at_s = now_s + ASK_INTERVAL_S
                self._ask_brokers(regular)
                await trio.sleep(ASK_SPACING_S)

    async def _look_for_earlier(self) -> None:
        """Find out whether any broker holds what an earlier start deposited.

        One that has itself started behind this host holds nothing.
        """
        earlier = _Earlier(self._parts.clock())
        async with trio.open_nursery() as nursery:
            while self._parts.clock() < earlier.held_until_s + DEPOSIT_LIFETIME_S:
                await trio.sleep(LOOK_INTERVAL_S)
                if self._parts.clock() < self._counted_at_s:
                    continue
                others = [r for r in self._nearby_brokers() if not earlier.heard(r)]
                if not others:
                    left_s = earlier.held_until_s - self._parts.clock()
                    await trio.sleep(max(0.0, left_s))
                    self._depositor.clear_previous_start()
                    break
                for record in others:
                    if earlier.asks(record):
                        nursery.start_soon(self._ask_for_earlier, record, earlier)
            nursery.cancel_scope.cancel()

    def _nearby_brokers(self) -> list[HostRecord]:
        """Return the other hosts of this region that may be brokers."""
        own = self._parts.own()
        regions = self._names_by_region()
        nearby = regions.get(self._parts.region_of(own.zone), [])
        found = map(self._parts.hosts.find, possible_brokers(nearby, len(regions)))
        return [r for r in found if r is not None and r.name != own.name]

    async def _ask_for_earlier(self, record: HostRecord, earlier: "_Earlier") -> None:
        question = DepositQuestion(self._parts.own().name)
        asked = await self._parts.peers.ask(record.peer, question, ASK_TIMEOUT_MS)
        answer = asked.ok()
        if isinstance(answer, DepositAnswer):
            until_s = self._parts.clock() + answer.held_ms / 1000
            earlier.answered(record, until_s)
        earlier.asked.discard(record.incarnation)

    def answer_deposit(self, question: DepositQuestion) -> DepositAnswer:
        """Tell a host that has started whether anything of it is held here."""
        left_s = self._broker.holds_until_s(question.host) - self._parts.clock()
        return DepositAnswer(
            max(0, math.ceil(min(max(left_s, 0), DEPOSIT_LIFETIME_S) * 1000))
        )

    def answer(self, question: PoolQuestion) -> PoolAnswer:
        """Take deposits of another host, and grant it tokens."""
        own = self._parts.own().incarnation
        organisations = self._parts.organisations()
        extra = self._extra()
        if question.stamp.broker == own:
            changed = {
                shard
                for shard in question.shards
                if self._broker.accept_deposit(
                    question.host, shard, question.base, question.stamp.at_s
                )
            }
            for name, limits in organisations.items():
                if shard_of(name) in changed:
                    self._broker.refresh(name, limits.rate_per_s, limits.burst, extra)
        grants = []
        for want in question.wants:
            known = organisations.get(want.organisation)
            if known is not None:
                grant = self._broker.grant(want, known.rate_per_s, known.burst, extra)
                grants.append(grant)
        return PoolAnswer(Stamp(own, self._parts.clock()), tuple(grants))

    def _starting(self) -> bool:
        return self._parts.clock() - self._started_at_s < STARTING_S

    def _wait_at_most_s(self) -> float:
        return STARTING_WAIT_AT_MOST_S if self._starting() else WAIT_AT_MOST_S

    def _room(self, limits: Organisation) -> int:
        """Return how many operations may wait while there are too few tokens."""
        hosts = max(1, self._parts.hosts.count)
        share_per_s = limits.rate_per_s / hosts
        return max(1, round(share_per_s * self._wait_at_most_s() * WAITING_PART))

    def _of(self, organisation: str) -> _Local:
        local = self._local.get(organisation)
        if local is None:
            local = self._local[organisation] = _Local(self._parts.clock)
            local.bucket.start_with(self._starting_tokens())
        return local

    def _starting_tokens(self) -> float:
        hosts = max(1, self._parts.hosts.count)
        tokens = self._parts.slack * STARTING_PART / hosts
        return tokens if tokens >= 1 else 0.0

    def _extra(self) -> float:
        """Return how much deeper than their bursts the brokers' buckets may be."""
        return 0.0 if self._starting_tokens() else self._parts.slack * DEEPER_PART

    def _base(self) -> float:
        """Return this host's own part: equal for all hosts that the store lists.

        Nothing before others can know of this host: they would use more than
        their part meanwhile.
        """
        if self._parts.clock() < self._counted_at_s:
            return 0.0
        hosts = self._parts.hosts
        listed = hosts.find(self._parts.own().name) is not None
        return 1.0 / (hosts.count + (0 if listed else 1))

    def _resize(self, name: str, local: _Local, limits: Organisation) -> None:
        now_s = self._parts.clock()
        part = base = self._base()
        if self._depositor.is_deposited(shard_of(name), now_s):
            part = base * kept_fraction(limits.burst, base)
        local.bucket.resize(limits.rate_per_s * part, limits.burst * part)

    def _measure(self, interval_s: float) -> None:
        organisations = self._parts.organisations()
        for name, local in list(self._local.items()):
            if name not in organisations:
                del self._local[name]
                continue
            seen_per_s = local.asked / max(interval_s, 1e-3)
            local.demand_per_s += DEMAND_SMOOTHING * (seen_per_s - local.demand_per_s)
            local.asked = 0

    def _ask_brokers(self, regular: bool) -> None:
        """Ask each broker that has something to hear, and isn't being asked."""
        now_s = self._parts.clock()
        wants: dict[str, list[TokenWant]] = defaultdict(list)
        shards: dict[str, list[int]] = defaultdict(list)
        regions = self._brokers()
        if not regions:
            return
        if regular:
            for shard, broker in regions[0].items():
                if broker not in self._stamps:
                    # It would ignore a deposit; its answer has the first stamp.
                    shards.setdefault(broker, [])
                elif self._depositor.deposit(shard, broker, now_s):
                    shards[broker].append(shard)
        for name, local in self._local.items():
            tokens = self._wanted(local, now_s, regular)
            if tokens:
                broker = self._broker_to_ask(shard_of(name), local, regions, now_s)
                wants[broker].append(TokenWant(name, tokens))
        assert self._nursery is not None
        for broker in {*shards, *wants}:
            # Deposits have to be renewed in time, whatever is under way.
            if broker in self._asking and not shards[broker]:
                continue
            self._asking[broker] = now_s
            self._nursery.start_soon(
                self._ask, broker, tuple(shards[broker]), tuple(wants[broker])
            )

    def _broker_to_ask(
        self, shard: int, local: _Local, regions: list[Brokers], now_s: float
    ) -> str:
        """Return the broker whose turn it is, or the next that isn't slow."""
        at = local.regions_tried % len(regions)
        for brokers in [*regions[at:], *regions[:at]]:
            asked_at_s = self._asking.get(brokers[shard], now_s)
            if now_s - asked_at_s < PATIENCE_S:
                return brokers[shard]
        return regions[at][shard]

    def _names_by_region(self) -> dict[str, list[str]]:
        changes = self._parts.hosts.changes
        if changes != self._grouped_at:
            self._grouped_at = changes
            self._grouped = defaultdict(list)
            for record in self._parts.hosts.all():
                region = self._parts.region_of(record.zone)
                self._grouped[region].append(record.name)
        return self._grouped

    def _brokers(self) -> list[Brokers]:
        """Return the brokers of all regions, those of this host's region first."""
        own_region = self._parts.region_of(self._parts.own().zone)
        return brokers_by_region(own_region, self._names_by_region(), self._answers)

    def _answers(self, name: str) -> bool:
        record = self._parts.hosts.find(name)
        if record is None or record.leaving:
            return False
        return not self._parts.peers.is_dark(record.peer)

    def _wanted(self, local: _Local, now_s: float, regular: bool) -> int:
        tokens = len(local.waiters) if now_s >= local.ask_from_s else 0
        ahead = local.demand_per_s * ASK_INTERVAL_S
        if regular and ahead >= AHEAD_FROM:
            tokens += max(0, math.ceil(ahead) - local.at_hand(now_s))
        return tokens

    async def _ask(
        self, broker: str, shards: tuple[int, ...], wants: tuple[TokenWant, ...]
    ) -> None:
        own = self._parts.own()
        asked_at_s = self._parts.clock()
        stamp = self._stamps.get(broker, Stamp("", 0.0))
        question = PoolQuestion(own.name, stamp, self._base(), shards, wants)
        answer: object = None
        try:
            if broker == own.name:
                answer = self.answer(question)
            else:
                record = self._parts.hosts.find(broker)
                if record is not None:
                    asked = await self._parts.peers.ask(
                        record.peer, question, ASK_TIMEOUT_MS
                    )
                    answer = asked.ok()
        finally:
            self._asking.pop(broker, None)
        if not isinstance(answer, PoolAnswer):
            for want in wants:
                self._try_next_region(want.organisation)
            return
        known = self._stamps.get(broker)
        self._stamps[broker] = answer.stamp
        if known is None or known.broker != answer.stamp.broker:
            self._regular_at_s = self._parts.clock()
            self._urgent.set()
        wanted = {want.organisation: want.tokens for want in wants}
        for grant in answer.grants:
            self._take_grant(grant, wanted.get(grant.organisation, 0), asked_at_s)

    def _try_next_region(self, organisation: str) -> bool:
        """Ask elsewhere for what is missing; False where all were asked lately."""
        local = self._local.get(organisation)
        if local is None or not local.waiters:
            return True
        dry = self._parts.clock() < local.dry_until_s
        local.regions_tried += 1
        if dry or local.regions_tried >= len(self._names_by_region()):
            local.regions_tried = 0
            return False
        self._urgent.set()
        return True

    def _take_grant(self, grant: TokenGrant, wanted: int, asked_at_s: float) -> None:
        local = self._local.get(grant.organisation)
        if local is None:
            return
        now_s = self._parts.clock()
        local.add(grant.tokens, asked_at_s + TOKEN_LIFETIME_S)
        while local.waiters and local.take(now_s):
            local.waiters.popleft().decide(admitted=True)
        if grant.tokens >= wanted:
            local.regions_tried = 0
            local.least_wait_ms = RETRY_AT_MOST_MS
            return
        local.least_wait_ms = min(local.least_wait_ms, grant.wait_ms)
        if self._try_next_region(grant.organisation):
            return
        local.dry_until_s = now_s + DRY_S
        local.ask_from_s = now_s + ASK_AGAIN_S
        local.wait_ms, local.least_wait_ms = local.least_wait_ms, RETRY_AT_MOST_MS
        own_ms = local.bucket.wait_for_token_s() * 1000
        hopeless = min(own_ms, local.wait_ms) > WAIT_AT_MOST_S * 1000
        # More is deposited with every host that starts: waits get shorter.
        if hopeless and not self._starting():
            while local.waiters:
                local.waiters.popleft().decide(admitted=False)
