"""Rate limits that hosts share through token brokers, without an owner."""

import math
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

import trio

from rattanhollow.configuration import Organisation
from rattanhollow.coordination import (
    TOKEN_LIFETIME_S,
    Depositor,
    Stamp,
    TokenGrant,
    TokenWant,
    kept_fraction,
    shard_of,
)
from rattanhollow.flow import ReturnSchedule
from rattanhollow.membership import HostDirectory, HostRecord
from rattanhollow.observe import Meter, kinds
from rattanhollow.peer import (
    FirstDepositQuestion,
    Message,
    Peers,
    PoolAnswer,
    PoolQuestion,
)
from rattanhollow.rates._broker_service import BrokerService
from rattanhollow.rates._brokers import Brokers
from rattanhollow.rates._organisation_state import (
    MAX_RETRY_AFTER_MS,
    OrganisationState,
    Waiter,
)
from rattanhollow.rates._previous_deposits import (
    REQUEST_TIMEOUT_MS,
    PreviousDeposits,
)
from rattanhollow.rates._region_brokers import RegionBrokers
from rattanhollow.rates._share import HostShare
from rattanhollow.rates._token_forecast import Shortage, token_wait_s

# Shorter than the lifetime of a deposit, so that each is renewed several times.
BROKER_REQUEST_INTERVAL_S = 0.4
# Minimum time between requests, so that one request carries several wants.
REQUEST_SPACING_S = 0.02
# After this time a broker of another region is tried as well. It covers one round
# trip to the most distant host of the fleet.
SLOW_BROKER_TIMEOUT_S = 0.08
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
# Maximum number of waiting operations, relative to what an equal share yields during
# the wait: some hosts receive more operations than others.
MAX_WAITERS_RATIO = 2.0
# How long an organisation counts as over its rate after a response that said so.
NO_TOKENS_PERIOD_S = 0.25
# How long such a response tells when tokens come: others' deposits change within the
# interval of two requests.
SHORTAGE_PERIOD_S = BROKER_REQUEST_INTERVAL_S
# Delay before the brokers of all regions are queried again that granted too few tokens
# together. It grows with each such round to the maximum, so that a flood sends few
# requests while a short peak finds the tokens that other regions have left.
MIN_ROUND_DELAY_S = 0.05
MAX_ROUND_DELAY_S = 0.25
ROUND_DELAY_GROWTH = 1.5
# Tokens are prefetched if at least this many are used between two requests.
MIN_PREFETCH_TOKENS = 1.0
# Callers that retry sooner compete for the same few tokens.
MIN_RETRY_AFTER_MS = 50
# Returns of refused operations are given times for at most this fraction of the tokens
# that a host can expect, so that new operations get some as well.
RETURN_RATIO = 0.5


class PooledRateLimiterParts(NamedTuple):
    """Dependencies of the rate limiter; ``clock`` also advances while suspended.

    ``region_of(zone)`` returns the region of an availability zone.
    ``process_started_at_s`` is when this host's process began by ``clock``,
    ``settle_s`` is the time after its registration until all other hosts count
    a host, ``slack`` the number of operations allowed above rate and burst.
    ``scarce`` is whether operations wait only for a token that can come in time.
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
    scarce: bool = False


class Admission(NamedTuple):
    """Whether an operation is within the rate, and when to retry a refused one.

    ``detail`` gives the cause of a refusal.
    """

    admitted: bool
    retry_after_ms: int = 0
    detail: str = ""


class PooledRateLimiter:
    """Admits operations of organisations within their rates.

    ``broker`` answers other hosts.
    """

    def __init__(self, parts: PooledRateLimiterParts) -> None:
        self.broker = BrokerService(
            parts.organisations, parts.own, parts.clock, parts.slack
        )
        self._parts = parts
        self._started_at_s = parts.clock()
        self._share = HostShare(
            parts.own,
            parts.hosts,
            parts.clock,
            parts.process_started_at_s,
            parts.settle_s,
        )
        self._brokers = RegionBrokers(
            parts.own, parts.hosts, parts.peers, parts.region_of
        )
        self._depositor = Depositor(parts.clock())
        self._states: dict[str, OrganisationState] = {}
        self._returns = ReturnSchedule()
        # When the state of an organisation that was withdrawn was last used.
        self._dropped_at_s: dict[str, float] = {}
        self._stamps: dict[str, Stamp] = {}
        # When the pending request to each broker was sent.
        self._pending_since_s: dict[str, float] = {}
        self._next_regular_at_s = 0.0
        self._wake_up = trio.Event()
        self._nursery: trio.Nursery | None = None

    def registered(self, anew: bool) -> None:
        """Record that the store has this host's record, so others will count it.

        Unless the record is new (``anew``), they already count a previous start.
        """
        self._share.registered(anew)
        for organisation, state in self._states.items():
            self._credit_unused(organisation, state)

    def unregistered(self) -> None:
        """Record that the store lost this host's record: others divide its share."""
        self._share.unregistered()

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

    async def run(self) -> None:
        """Renew deposits and fetch tokens until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            nursery.start_soon(self._clear_previous_deposits)
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
        crowded = len(state.waiters) >= self._queue_limit(limits)
        if crowded and now_s < state.empty_until_s:
            return self._refuse(state, limits, "no token available recently")
        waiter = Waiter(now_s + wait_s)
        if self._parts.scarce and not self._is_starting():
            due_s = self._token_wait_s(state, limits, len(state.waiters))
            if due_s > wait_s:
                return self._refuse(state, limits, "no token can come in time")
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

    def _token_wait_s(
        self, state: OrganisationState, limits: Organisation, ahead: int
    ) -> float:
        """Return the shortest time until an operation behind others has a token."""
        shortage = Shortage(
            state.told_at_s + SHORTAGE_PERIOD_S,
            state.next_request_at_s,
            state.told_at_s + state.wait_ms / 1000,
        )
        own_s = state.bucket.time_to_next_token_s(ahead + 1)
        now_s = self._parts.clock()
        share_per_s = limits.rate_per_s / max(1, self._parts.hosts.count)
        income_per_s = max(share_per_s, state.income_per_s)
        return token_wait_s(ahead, own_s, income_per_s, shortage, now_s)

    def _refuse(
        self, state: OrganisationState, limits: Organisation, reason: str
    ) -> Admission:
        """Refuse an operation; where tokens are scarce, its return gets its own time.

        The times of one organisation are as far apart as its tokens come in here.
        """
        refused = _refuse(state, limits, reason)
        if not self._parts.scarce:
            return refused
        now_s = self._parts.clock()
        earliest_s = now_s + max(
            MIN_RETRY_AFTER_MS / 1000,
            self._token_wait_s(state, limits, len(state.waiters)),
        )
        fraction = 1 / max(1, self._parts.hosts.count)
        spacing_s = 1 / (limits.rate_per_s * fraction * RETURN_RATIO)
        due_s, _ = self._returns.book(limits.name, now_s, earliest_s, spacing_s)
        return refused._replace(retry_after_ms=int((due_s - now_s) * 1000) + 1)

    async def _wait_for_token(
        self, state: OrganisationState, waiter: Waiter, until_s: float
    ) -> None:
        """Wait for a fetched token, or for the next one of this host's own share."""
        while not waiter.decided.is_set():
            left_s = until_s - self._parts.clock()
            if left_s <= 0:
                return
            own_s = state.bucket.time_to_next_token_s() + TIMER_SLACK_S
            with trio.move_on_after(min(left_s, own_s)):
                await waiter.decided.wait()
            if state.waiters and state.waiters[0] is waiter and state.take_own():
                state.waiters.popleft().decide(admitted=True)

    async def _clear_previous_deposits(self) -> None:
        """Deposit as soon as no broker holds deposits of a previous start."""
        previous = PreviousDeposits(
            self._parts.own().name,
            self._brokers.own_candidates,
            self._parts.peers,
            self._parts.clock,
        )
        ended_at_s = await previous.await_end(lambda: self._share.is_counted)
        if ended_at_s is None:
            return
        unused_since_s = max(self._share.unused_since_s, ended_at_s)
        self._depositor.clear_previous_start(unused_since_s, self._parts.clock())
        self._next_regular_at_s = self._parts.clock()
        self._wake_up.set()

    def _is_starting(self) -> bool:
        return self._parts.clock() - self._started_at_s < STARTUP_PERIOD_S

    def _max_wait_s(self) -> float:
        return STARTUP_MAX_WAIT_S if self._is_starting() else MAX_WAIT_S

    def _queue_limit(self, limits: Organisation) -> int:
        """Return how many operations may wait while tokens are short."""
        hosts = max(1, self._parts.hosts.count)
        share_per_s = limits.rate_per_s / hosts
        return max(1, round(share_per_s * self._max_wait_s() * MAX_WAITERS_RATIO))

    def _state_for(self, organisation: str) -> OrganisationState:
        state = self._states.get(organisation)
        if state is None:
            state = self._states[organisation] = OrganisationState(self._parts.clock)
            self._credit_unused(organisation, state)
        return state

    def _credit_unused(self, organisation: str, state: OrganisationState) -> None:
        limits = self._parts.organisations().get(organisation)
        if limits is not None:
            self._resize(organisation, state, limits)
            used_until_s = self._dropped_at_s.get(organisation, -math.inf)
            self._share.credit_unused(state.bucket, limits, used_until_s)

    def _resize(
        self, name: str, state: OrganisationState, limits: Organisation
    ) -> None:
        now_s = self._parts.clock()
        share = base = self._share.fraction
        if self._depositor.is_deposited(shard_of(name), now_s):
            share = base * kept_fraction(limits.burst, base)
        state.bucket.resize(limits.rate_per_s * share, limits.burst * share)

    def _update_demand(self, interval_s: float) -> None:
        organisations = self._parts.organisations()
        for name, state in list(self._states.items()):
            if name in organisations:
                state.update_demand(interval_s)
                continue
            del self._states[name]
            self._dropped_at_s[name] = self._parts.clock()

    def _send_requests(self, regular: bool) -> None:
        """Send deposits and wants to the brokers, one pending request for each.

        A request with deposits is sent even while another is pending.
        """
        now_s = self._parts.clock()
        regions = self._brokers.by_region()
        if not regions:
            return
        shards: dict[str, list[int]] = {}
        unused_s: dict[str, float] = {}
        if regular:
            shards, unused_s = self._renew_deposits(regions[0], now_s)
        wants: dict[str, list[TokenWant]] = defaultdict(list)
        for name, state in self._states.items():
            tokens = self._tokens_to_request(state, now_s, regular)
            if tokens:
                broker = self._select_broker(shard_of(name), state, regions, now_s)
                wants[broker].append(TokenWant(name, tokens))
        assert self._nursery is not None
        for broker in {*shards, *wants}:
            deposits = tuple(shards.get(broker, ()))
            # Deposits must be renewed in time, even if a request is pending.
            if broker in self._pending_since_s and not deposits:
                continue
            self._pending_since_s[broker] = now_s
            request = PoolQuestion(
                self._parts.own().name,
                self._stamps.get(broker, Stamp("", 0.0)),
                self._share.fraction,
                deposits,
                tuple(wants[broker]),
            )
            unused_ms = int(unused_s.get(broker, 0.0) * 1000)
            self._nursery.start_soon(self._send_request, broker, request, unused_ms)

    def _renew_deposits(
        self, brokers: Brokers, now_s: float
    ) -> tuple[dict[str, list[int]], dict[str, float]]:
        """Return the shards to deposit with each broker, and how long all were unused.

        A broker of which no stamp is known ignores deposits; its answer has a stamp.
        """
        shards: dict[str, list[int]] = {}
        unused_s: dict[str, float] = {}
        for shard, broker in brokers.items():
            deposits = shards.setdefault(broker, [])
            if broker in self._stamps and self._depositor.deposit(shard, broker, now_s):
                deposits.append(shard)
                claimed_s = self._depositor.claim_unused_s(shard, now_s)
                unused_s[broker] = min(unused_s.get(broker, claimed_s), claimed_s)
        wanted = {
            broker: deposits
            for broker, deposits in shards.items()
            if deposits or broker not in self._stamps
        }
        return wanted, unused_s

    def _select_broker(
        self,
        shard: int,
        state: OrganisationState,
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

    def _tokens_to_request(
        self, state: OrganisationState, now_s: float, regular: bool
    ) -> int:
        tokens = len(state.waiters) if now_s >= state.next_request_at_s else 0
        expected = state.demand_per_s * BROKER_REQUEST_INTERVAL_S
        if regular and expected >= MIN_PREFETCH_TOKENS:
            tokens += max(0, math.ceil(expected) - state.available_tokens(now_s))
        return tokens

    async def _send_request(
        self, broker: str, request: PoolQuestion, unused_ms: int
    ) -> None:
        sent_at_s = self._parts.clock()
        try:
            response = await self._request(broker, request, unused_ms)
        finally:
            self._pending_since_s.pop(broker, None)
        if not isinstance(response, PoolAnswer):
            for want in request.wants:
                self._try_next_region(want.organisation)
            return
        known = self._stamps.get(broker)
        self._stamps[broker] = response.stamp
        if known is None or known.broker != response.stamp.broker:
            self._next_regular_at_s = self._parts.clock()
            self._wake_up.set()
        wanted = {want.organisation: want.tokens for want in request.wants}
        for grant in response.grants:
            self._apply_grant(grant, wanted.get(grant.organisation, 0), sent_at_s)

    async def _request(
        self, broker: str, request: PoolQuestion, unused_ms: int
    ) -> Message | None:
        if broker == request.host:
            return self.broker.handle_pool_request(request, unused_ms / 1000)
        record = self._parts.hosts.find(broker)
        if record is None:
            return None
        question: Message = request
        if unused_ms:
            question = FirstDepositQuestion(request, unused_ms)
        reply = await self._parts.peers.ask(record.peer, question, REQUEST_TIMEOUT_MS)
        return reply.ok()

    def _try_next_region(self, organisation: str) -> bool:
        """Request missing tokens from the next region; False if all were just tried."""
        state = self._states.get(organisation)
        if state is None or not state.waiters:
            return True
        state.regions_tried += 1
        if state.regions_tried >= self._brokers.region_count:
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
        state.admit_waiters(now_s)
        if grant.tokens >= wanted:
            state.regions_tried = 0
            state.short_rounds = 0
            state.min_wait_ms = MAX_RETRY_AFTER_MS
            return
        state.min_wait_ms = min(state.min_wait_ms, grant.wait_ms)
        if not self._try_next_region(grant.organisation):
            self._end_short_round(grant.organisation, state, now_s)

    def _end_short_round(
        self, organisation: str, state: OrganisationState, now_s: float
    ) -> None:
        """Decide about the waiters for whom no region had enough tokens."""
        state.empty_until_s = now_s + NO_TOKENS_PERIOD_S
        delay_s = MIN_ROUND_DELAY_S * ROUND_DELAY_GROWTH**state.short_rounds
        state.next_request_at_s = now_s + min(MAX_ROUND_DELAY_S, delay_s)
        state.short_rounds += 1
        state.wait_ms, state.min_wait_ms = state.min_wait_ms, MAX_RETRY_AFTER_MS
        state.told_at_s = now_s
        limits = self._parts.organisations().get(organisation)
        if self._parts.scarce and limits is not None and limits.rate_per_s:
            if not self._is_starting():
                refusable = limits
                state.refuse_hopeless(
                    lambda ahead: self._token_wait_s(state, refusable, ahead), now_s
                )
            return
        own_ms = state.bucket.time_to_next_token_s() * 1000
        wait_too_long = min(own_ms, state.wait_ms) > MAX_WAIT_S * 1000
        # Each host that starts deposits more, so waits get shorter during startup.
        if wait_too_long and not self._is_starting():
            state.refuse_waiters()


def _refuse(state: OrganisationState, limits: Organisation, reason: str) -> Admission:
    demand = round(state.demand_per_s, 1)
    detail = (
        f"{reason}: rate_per_s={limits.rate_per_s} burst={limits.burst}"
        f" demand_here_per_s={demand} regions_tried={state.regions_tried}"
    )
    return Admission(False, max(MIN_RETRY_AFTER_MS, state.wait_ms), detail)
