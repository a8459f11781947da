"""Rate limits that hosts share through token brokers, without an owner."""

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
    UnusedDeposit,
    kept_fraction,
    shard_of,
)
from rattanhollow.membership import HostDirectory, HostRecord
from rattanhollow.observe import Meter, kinds
from rattanhollow.peer import (
    DepositAnswer,
    DepositQuestion,
    FirstDepositQuestion,
    Peers,
    PoolAnswer,
    PoolQuestion,
)
from rattanhollow.rates._brokers import (
    Brokers,
    broker_candidates,
    brokers_by_region,
)

# Shorter than the lifetime of a deposit, so that each is renewed several times.
BROKER_REQUEST_INTERVAL_S = 0.4
# Minimum time between requests, so that one request carries several wants.
REQUEST_SPACING_S = 0.02
REQUEST_TIMEOUT_MS = 400
# After this time a broker of another region is tried as well. It covers one round
# trip to the most distant host of the fleet.
SLOW_BROKER_TIMEOUT_S = 0.08
# How often a newly started host queries the brokers that have not responded yet.
DEPOSIT_CHECK_INTERVAL_S = 0.1
# Maximum time an operation waits for a token: two requests to another region, and
# at most this fraction of the latency that the caller expects.
MAX_WAIT_S = 0.25
WAIT_TARGET_RATIO = 0.2
# Longer limits after this host's start, while brokers that started with it hold few
# deposits or none: a refused caller would use up its retries before any tokens
# exist. The rest of the expected latency is left for the statement itself.
STARTUP_PERIOD_S = 2.0
STARTUP_MAX_WAIT_S = 0.6
STARTUP_WAIT_TARGET_RATIO = 0.6
# Timers may fire slightly early.
TIMER_SLACK_S = 0.002
# The brokers' buckets together are deeper than the burst by this fraction of the
# allowed slack, and start with it, which smooths uneven demand of small organisations.
# A window may therefore contain the extra depth twice, plus some tokens that were
# fetched before it.
EXTRA_DEPTH_RATIO = 0.4
# Maximum number of waiting operations, relative to what an equal share yields during
# the wait: some hosts receive more operations than others.
MAX_WAITERS_RATIO = 2.0
# How long an organisation counts as over its rate after a response that said so.
NO_TOKENS_PERIOD_S = 0.25
# Delay before the brokers of all regions are queried again that granted too few tokens
# together. It grows with each such round to the maximum, so that a flood sends few
# requests while a short peak finds the tokens that other regions have left.
MIN_ROUND_DELAY_S = 0.05
MAX_ROUND_DELAY_S = 0.25
ROUND_DELAY_GROWTH = 1.5
# Tokens are prefetched if at least this many are used between two requests.
MIN_PREFETCH_TOKENS = 1.0
DEMAND_SMOOTHING = 0.4
MAX_RETRY_AFTER_MS = 2_000
# Callers that retry sooner compete for the same few tokens.
MIN_RETRY_AFTER_MS = 50


class PooledRateLimiterParts(NamedTuple):
    """Dependencies of the rate limiter; ``clock`` also advances while suspended.

    ``region_of(zone)`` returns the region of an availability zone.
    ``process_started_at_s`` is when this host's process began by ``clock``,
    ``settle_s`` is the time after its registration until all other hosts count
    a host, ``slack`` the number of operations allowed above rate and burst.
    """

    organisations: Callable[[], dict[str, Organisation]]
    own: Callable[[], HostRecord]
    hosts: HostDirectory
    peers: Peers
    clock: Callable[[], float]
    region_of: Callable[[str], str]
    process_started_at_s: float
    settle_s: float
    slack: int
    meter: Meter


class Admission(NamedTuple):
    """Whether an operation is within the rate, and when to retry a refused one.

    ``detail`` gives the cause of a refusal.
    """

    admitted: bool
    retry_after_ms: int = 0
    detail: str = ""


class _TokenBatch(NamedTuple):
    remaining: int
    until_s: float


class _Waiter:
    """An operation that waits for a token."""

    def __init__(self) -> None:
        self.decided = trio.Event()
        self.admitted = False

    def decide(self, admitted: bool) -> None:
        self.admitted = admitted
        self.decided.set()


class _OrganisationState:
    """Tokens, waiting operations and demand of one organisation on this host."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.bucket = TokenBucket(clock)
        self.waiters: deque[_Waiter] = deque()
        self.empty_until_s = -math.inf
        self.next_request_at_s = -math.inf
        self.wait_ms = 0
        # How many regions had too few tokens for the current waiters, and the
        # shortest time until one of these regions has more.
        self.regions_tried = 0
        self.min_wait_ms = MAX_RETRY_AFTER_MS
        self.short_rounds = 0
        self.arrivals = 0
        self.demand_per_s = 0.0
        self._batches: deque[_TokenBatch] = deque()

    def take(self, now_s: float) -> bool:
        """Use a fetched token, or one of this host's own share."""
        while self._batches:
            first = self._batches.popleft()
            if first.until_s <= now_s:
                continue
            if first.remaining > 1:
                self._batches.appendleft(first._replace(remaining=first.remaining - 1))
            return True
        return self.bucket.take()

    def add(self, count: int, until_s: float) -> None:
        """Store granted tokens."""
        if count:
            self._batches.append(_TokenBatch(count, until_s))

    def available_tokens(self, now_s: float) -> int:
        """Return the number of fetched tokens that have not expired."""
        return sum(item.remaining for item in self._batches if item.until_s > now_s)


class _PreviousDeposits:
    """What brokers hold from a previous start of this host.

    ``held_until_s`` is when the last reported deposit ends, ``latest_report_s`` the
    same, but minus infinity where no broker reported one.
    """

    def __init__(self, now_s: float) -> None:
        self.held_until_s = now_s
        self.latest_report_s = -math.inf
        self.pending: set[str] = set()
        self._responded: set[str] = set()
        self._first_incarnation: dict[str, str] = {}

    def is_resolved(self, record: HostRecord) -> bool:
        """Whether a broker has reported its deposits, or restarted and holds none."""
        first = self._first_incarnation.setdefault(record.name, record.incarnation)
        return first != record.incarnation or record.name in self._responded

    def mark_pending(self, record: HostRecord) -> bool:
        """Mark a broker as queried; False while its response is pending."""
        if record.incarnation in self.pending:
            return False
        self.pending.add(record.incarnation)
        return True

    def record_response(self, record: HostRecord, held_until_s: float) -> None:
        """Record a broker's response."""
        self._responded.add(record.name)
        self.held_until_s = max(self.held_until_s, held_until_s)


class PooledRateLimiter:
    """Admits operations of organisations within their rates."""

    def __init__(self, parts: PooledRateLimiterParts) -> None:
        self._parts = parts
        self._started_at_s = parts.clock()
        self._depositor = Depositor(parts.clock())
        self._broker = TokenBroker(parts.clock)
        self._states: dict[str, _OrganisationState] = {}
        self._stamps: dict[str, Stamp] = {}
        self._region_names: dict[str, list[str]] = {}
        self._region_names_version = -1
        self._counted_from_s = math.inf
        # Since when nobody has used what this host keeps of its share.
        self._unused_since_s = math.inf
        # When the pending request to each broker was sent.
        self._pending_since_s: dict[str, float] = {}
        self._next_regular_at_s = 0.0
        self._wake_up = trio.Event()
        self._nursery: trio.Nursery | None = None

    def registered(self, anew: bool) -> None:
        """Record that the store has this host's record, so others will count it.

        Unless the record is new (``anew``), they already count a previous start.
        """
        if self._counted_from_s < math.inf:
            return
        self._counted_from_s = self._parts.clock()
        self._unused_since_s = self._parts.process_started_at_s
        if anew:
            self._counted_from_s += self._parts.settle_s
            self._unused_since_s = self._counted_from_s
        for organisation, state in self._states.items():
            self._credit_unused(organisation, state)

    async def admit(self, organisation: str, target_ms: int) -> Admission:
        """Admit or refuse one operation, after a short wait for a token if needed.

        ``target_ms`` is the latency that the caller expects.
        """
        ratio = STARTUP_WAIT_TARGET_RATIO if self._is_starting() else WAIT_TARGET_RATIO
        wait_s = min(self._max_wait_s(), target_ms / 1000 * ratio)
        admission = await self._admit(organisation, wait_s)
        outcome = "admitted" if admission.admitted else "over"
        self._parts.meter.count(kinds.ADMISSIONS, organisation, outcome)
        return admission

    async def _admit(self, organisation: str, wait_s: float) -> Admission:
        limits = self._parts.organisations().get(organisation)
        if limits is None or not limits.rate_per_s:
            return Admission(limits is not None)
        state = self._state_for(organisation)
        state.arrivals += 1
        now_s = self._parts.clock()
        self._resize(organisation, state, limits)
        if not state.waiters and state.take(now_s):
            return Admission(True)
        if now_s < state.empty_until_s and len(state.waiters) >= self._queue_limit(
            limits
        ):
            return self._refuse(state, limits, "no token available recently")
        waiter = _Waiter()
        state.waiters.append(waiter)
        self._wake_up.set()
        try:
            await self._wait_for_token(state, waiter, now_s + wait_s)
        finally:
            if not waiter.decided.is_set():
                state.waiters.remove(waiter)
        if waiter.admitted:
            return Admission(True)
        decided = "no token" if waiter.decided.is_set() else "no token in time"
        return self._refuse(state, limits, decided)

    def _refuse(
        self, state: _OrganisationState, limits: Organisation, reason: str
    ) -> Admission:
        demand = round(state.demand_per_s, 1)
        detail = (
            f"{reason}: rate_per_s={limits.rate_per_s} burst={limits.burst}"
            f" demand_here_per_s={demand} regions_tried={state.regions_tried}"
        )
        return Admission(False, max(MIN_RETRY_AFTER_MS, state.wait_ms), detail)

    async def _wait_for_token(
        self, state: _OrganisationState, waiter: _Waiter, until_s: float
    ) -> None:
        """Wait for a fetched token, or for the next one of this host's own share."""
        while not waiter.decided.is_set():
            left_s = until_s - self._parts.clock()
            if left_s <= 0:
                return
            own_s = state.bucket.time_to_next_token_s() + TIMER_SLACK_S
            with trio.move_on_after(min(left_s, own_s)):
                await waiter.decided.wait()
            if state.waiters and state.waiters[0] is waiter and state.bucket.take():
                state.waiters.popleft().decide(admitted=True)

    async def run(self) -> None:
        """Renew deposits and fetch tokens until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._check_previous_deposits)
            self._next_regular_at_s = measured_at_s = self._parts.clock()
            while True:
                left_s = self._next_regular_at_s - self._parts.clock()
                if any(state.waiters for state in self._states.values()):
                    left_s = min(left_s, SLOW_BROKER_TIMEOUT_S)
                with trio.move_on_after(max(0.0, left_s)):
                    await self._wake_up.wait()
                self._wake_up = trio.Event()
                now_s = self._parts.clock()
                regular = now_s >= self._next_regular_at_s
                if regular:
                    self._update_demand(now_s - measured_at_s)
                    measured_at_s = now_s
                    self._next_regular_at_s = now_s + BROKER_REQUEST_INTERVAL_S
                self._send_requests(regular)
                await trio.sleep(REQUEST_SPACING_S)

    async def _check_previous_deposits(self) -> None:
        """Check whether any broker holds deposits of a previous start of this host.

        A broker that started after this host holds none.
        """
        previous = _PreviousDeposits(self._parts.clock())
        async with trio.open_nursery() as nursery:
            while self._parts.clock() < previous.held_until_s + DEPOSIT_LIFETIME_S:
                await trio.sleep(DEPOSIT_CHECK_INTERVAL_S)
                if self._parts.clock() < self._counted_from_s:
                    continue
                unresolved = [
                    r
                    for r in self._region_broker_candidates()
                    if not previous.is_resolved(r)
                ]
                if not unresolved:
                    left_s = previous.held_until_s - self._parts.clock()
                    await trio.sleep(max(0.0, left_s))
                    self._clear_previous_start(previous)
                    break
                for record in unresolved:
                    if previous.mark_pending(record):
                        nursery.start_soon(self._request_held_deposit, record, previous)
            nursery.cancel_scope.cancel()

    def _clear_previous_start(self, previous: "_PreviousDeposits") -> None:
        """Deposit at once what no broker holds from a previous start of this host."""
        held_until_s = previous.latest_report_s
        unused_since_s = max(self._unused_since_s, held_until_s)
        self._depositor.clear_previous_start(unused_since_s, self._parts.clock())
        self._next_regular_at_s = self._parts.clock()
        self._wake_up.set()

    def _region_broker_candidates(self) -> list[HostRecord]:
        """Return the other hosts of this region that are broker candidates."""
        own = self._parts.own()
        regions = self._names_by_region()
        region_names = regions.get(self._parts.region_of(own.zone), [])
        found = map(
            self._parts.hosts.find, broker_candidates(region_names, len(regions))
        )
        return [r for r in found if r is not None and r.name != own.name]

    async def _request_held_deposit(
        self, record: HostRecord, previous: "_PreviousDeposits"
    ) -> None:
        request = DepositQuestion(self._parts.own().name)
        reply = await self._parts.peers.ask(record.peer, request, REQUEST_TIMEOUT_MS)
        response = reply.ok()
        if isinstance(response, DepositAnswer):
            until_s = self._parts.clock() + response.held_ms / 1000
            previous.record_response(record, until_s)
            if response.held_ms:
                previous.latest_report_s = max(previous.latest_report_s, until_s)
        previous.pending.discard(record.incarnation)

    def handle_deposit_request(self, request: DepositQuestion) -> DepositAnswer:
        """Return for how long deposits of a newly started host are held here."""
        left_s = self._broker.holds_until_s(request.host) - self._parts.clock()
        return DepositAnswer(
            max(0, math.ceil(min(max(left_s, 0), DEPOSIT_LIFETIME_S) * 1000))
        )

    def handle_first_deposit(self, request: FirstDepositQuestion) -> PoolAnswer:
        """Accept the first deposits of a host, with the tokens that nobody used."""
        return self.handle_pool_request(request.request, request.unused_ms / 1000)

    def handle_pool_request(
        self, request: PoolQuestion, unused_s: float = 0.0
    ) -> PoolAnswer:
        """Accept deposits of a host and grant it tokens.

        Nobody used the deposits for ``unused_s`` before.
        """
        own = self._parts.own().incarnation
        unused = UnusedDeposit(request.base, unused_s)
        organisations = self._parts.organisations()
        extra_depth = self._extra_depth()
        if request.stamp.broker == own:
            changed = {
                shard
                for shard in request.shards
                if self._broker.accept_deposit(
                    request.host, shard, request.base, request.stamp.at_s
                )
            }
            for name, limits in organisations.items():
                if shard_of(name) in changed:
                    self._broker.refresh(
                        name, limits.rate_per_s, limits.burst, extra_depth
                    )
                    self._broker.credit_unused(
                        name, limits.rate_per_s, limits.burst, unused
                    )
        grants = []
        for want in request.wants:
            known = organisations.get(want.organisation)
            if known is not None:
                grant = self._broker.grant(
                    want, known.rate_per_s, known.burst, extra_depth
                )
                grants.append(grant)
        return PoolAnswer(Stamp(own, self._parts.clock()), tuple(grants))

    def _is_starting(self) -> bool:
        return self._parts.clock() - self._started_at_s < STARTUP_PERIOD_S

    def _max_wait_s(self) -> float:
        return STARTUP_MAX_WAIT_S if self._is_starting() else MAX_WAIT_S

    def _queue_limit(self, limits: Organisation) -> int:
        """Return how many operations may wait while tokens are short."""
        hosts = max(1, self._parts.hosts.count)
        share_per_s = limits.rate_per_s / hosts
        return max(1, round(share_per_s * self._max_wait_s() * MAX_WAITERS_RATIO))

    def _state_for(self, organisation: str) -> _OrganisationState:
        state = self._states.get(organisation)
        if state is not None:
            return state
        state = self._states[organisation] = _OrganisationState(self._parts.clock)
        self._credit_unused(organisation, state)
        return state

    def _credit_unused(self, organisation: str, state: _OrganisationState) -> None:
        """Fill a new bucket with what nobody used of this host's kept share so far."""
        limits = self._parts.organisations().get(organisation)
        unused_s = self._parts.clock() - self._unused_since_s
        if limits is None or unused_s <= 0:
            return
        self._resize(organisation, state, limits)
        share = self._own_share()
        kept = share * kept_fraction(limits.burst, share)
        state.bucket.add(limits.rate_per_s * kept * unused_s)

    def _extra_depth(self) -> float:
        """Return by how much the brokers' buckets may exceed their bursts."""
        return self._parts.slack * EXTRA_DEPTH_RATIO

    def _own_share(self) -> float:
        """Return this host's share of each rate, equal for all listed hosts.

        Zero until the other hosts can know of this host: until then their shares
        are computed without it, and the sum would exceed the rate.
        """
        if self._parts.clock() < self._counted_from_s:
            return 0.0
        hosts = self._parts.hosts
        listed = hosts.find(self._parts.own().name) is not None
        return 1.0 / (hosts.count + (0 if listed else 1))

    def _resize(
        self, name: str, state: _OrganisationState, limits: Organisation
    ) -> None:
        now_s = self._parts.clock()
        share = base = self._own_share()
        if self._depositor.is_deposited(shard_of(name), now_s):
            share = base * kept_fraction(limits.burst, base)
        state.bucket.resize(limits.rate_per_s * share, limits.burst * share)

    def _update_demand(self, interval_s: float) -> None:
        organisations = self._parts.organisations()
        for name, state in list(self._states.items()):
            if name not in organisations:
                del self._states[name]
                continue
            arrivals_per_s = state.arrivals / max(interval_s, 1e-3)
            state.demand_per_s += DEMAND_SMOOTHING * (
                arrivals_per_s - state.demand_per_s
            )
            state.arrivals = 0

    def _send_requests(self, regular: bool) -> None:
        """Send deposits and wants to the brokers, one pending request for each.

        A request with deposits is sent even while another is pending.
        """
        now_s = self._parts.clock()
        wants: dict[str, list[TokenWant]] = defaultdict(list)
        shards: dict[str, list[int]] = defaultdict(list)
        unused_s: dict[str, float] = {}
        regions = self._brokers()
        if not regions:
            return
        if regular:
            for shard, broker in regions[0].items():
                if broker not in self._stamps:
                    # A broker ignores unstamped deposits; its response has the stamp.
                    shards.setdefault(broker, [])
                elif self._depositor.deposit(shard, broker, now_s):
                    shards[broker].append(shard)
                    claimed_s = self._depositor.claim_unused_s(shard, now_s)
                    unused_s[broker] = min(unused_s.get(broker, claimed_s), claimed_s)
        for name, state in self._states.items():
            tokens = self._tokens_to_request(state, now_s, regular)
            if tokens:
                broker = self._select_broker(shard_of(name), state, regions, now_s)
                wants[broker].append(TokenWant(name, tokens))
        assert self._nursery is not None
        for broker in {*shards, *wants}:
            # Deposits must be renewed in time, even if a request is pending.
            if broker in self._pending_since_s and not shards[broker]:
                continue
            self._pending_since_s[broker] = now_s
            self._nursery.start_soon(
                self._send_request,
                broker,
                tuple(shards[broker]),
                tuple(wants[broker]),
                unused_s.get(broker, 0.0),
            )

    def _select_broker(
        self,
        shard: int,
        state: _OrganisationState,
        regions: list[Brokers],
        now_s: float,
    ) -> str:
        """Return the broker of the next region to try, skipping slow ones."""
        start = state.regions_tried % len(regions)
        for brokers in [*regions[start:], *regions[:start]]:
            sent_at_s = self._pending_since_s.get(brokers[shard], now_s)
            if now_s - sent_at_s < SLOW_BROKER_TIMEOUT_S:
                return brokers[shard]
        return regions[start][shard]

    def _names_by_region(self) -> dict[str, list[str]]:
        changes = self._parts.hosts.changes
        if changes != self._region_names_version:
            self._region_names_version = changes
            self._region_names = defaultdict(list)
            for record in self._parts.hosts.all():
                region = self._parts.region_of(record.zone)
                self._region_names[region].append(record.name)
        return self._region_names

    def _brokers(self) -> list[Brokers]:
        """Return the brokers of all regions, this host's own region first."""
        own_region = self._parts.region_of(self._parts.own().zone)
        return brokers_by_region(
            own_region, self._names_by_region(), self._is_available
        )

    def _is_available(self, name: str) -> bool:
        record = self._parts.hosts.find(name)
        if record is None or record.leaving:
            return False
        return not self._parts.peers.is_dark(record.peer)

    def _tokens_to_request(
        self, state: _OrganisationState, now_s: float, regular: bool
    ) -> int:
        tokens = len(state.waiters) if now_s >= state.next_request_at_s else 0
        expected = state.demand_per_s * BROKER_REQUEST_INTERVAL_S
        if regular and expected >= MIN_PREFETCH_TOKENS:
            tokens += max(0, math.ceil(expected) - state.available_tokens(now_s))
        return tokens

    async def _send_request(
        self,
        broker: str,
        shards: tuple[int, ...],
        wants: tuple[TokenWant, ...],
        unused_s: float,
    ) -> None:
        own = self._parts.own()
        sent_at_s = self._parts.clock()
        stamp = self._stamps.get(broker, Stamp("", 0.0))
        request = PoolQuestion(own.name, stamp, self._own_share(), shards, wants)
        unused_ms = int(unused_s * 1000)
        response: object = None
        try:
            if broker == own.name:
                response = self.handle_pool_request(request, unused_s)
            else:
                record = self._parts.hosts.find(broker)
                if record is not None:
                    reply = await self._parts.peers.ask(
                        record.peer,
                        FirstDepositQuestion(request, unused_ms)
                        if unused_ms
                        else request,
                        REQUEST_TIMEOUT_MS,
                    )
                    response = reply.ok()
        finally:
            self._pending_since_s.pop(broker, None)
        if not isinstance(response, PoolAnswer):
            for want in wants:
                self._try_next_region(want.organisation)
            return
        known = self._stamps.get(broker)
        self._stamps[broker] = response.stamp
        if known is None or known.broker != response.stamp.broker:
            self._next_regular_at_s = self._parts.clock()
            self._wake_up.set()
        wanted = {want.organisation: want.tokens for want in wants}
        for grant in response.grants:
            self._apply_grant(grant, wanted.get(grant.organisation, 0), sent_at_s)

    def _try_next_region(self, organisation: str) -> bool:
        """Request missing tokens from the next region; False if all were just tried."""
        state = self._states.get(organisation)
        if state is None or not state.waiters:
            return True
        state.regions_tried += 1
        if state.regions_tried >= len(self._names_by_region()):
            state.regions_tried = 0
            return False
        self._wake_up.set()
        return True

    def _apply_grant(self, grant: TokenGrant, wanted: int, sent_at_s: float) -> None:
        state = self._states.get(grant.organisation)
        if state is None:
            return
        now_s = self._parts.clock()
        state.add(grant.tokens, sent_at_s + TOKEN_LIFETIME_S)
        while state.waiters and state.take(now_s):
            state.waiters.popleft().decide(admitted=True)
        if grant.tokens >= wanted:
            state.regions_tried = 0
            state.short_rounds = 0
            state.min_wait_ms = MAX_RETRY_AFTER_MS
            return
        state.min_wait_ms = min(state.min_wait_ms, grant.wait_ms)
        if self._try_next_region(grant.organisation):
            return
        state.empty_until_s = now_s + NO_TOKENS_PERIOD_S
        delay_s = MIN_ROUND_DELAY_S * ROUND_DELAY_GROWTH**state.short_rounds
        state.next_request_at_s = now_s + min(MAX_ROUND_DELAY_S, delay_s)
        state.short_rounds += 1
        state.wait_ms, state.min_wait_ms = state.min_wait_ms, MAX_RETRY_AFTER_MS
        own_ms = state.bucket.time_to_next_token_s() * 1000
        wait_too_long = min(own_ms, state.wait_ms) > MAX_WAIT_S * 1000
        # Each host that starts deposits more, so waits get shorter during startup.
        if wait_too_long and not self._is_starting():
            while state.waiters:
                state.waiters.popleft().decide(admitted=False)
