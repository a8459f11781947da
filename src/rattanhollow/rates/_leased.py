"""Rate limits that hosts share through owners, each elected by a lease.

Each organisation belongs to a shard. The host that holds the shard's lease, its
owner, grants shares of the organisation's rate by demand. A small fraction of each
rate is reserved: every host has a fixed share of it, even if no owner responds.
"""

import hashlib
import time
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

import trio
from result import Err, Ok, Result

from rattanhollow.configuration import Organisation
from rattanhollow.coordination import (
    LEASE_KIND,
    Holding,
    Lease,
    Share,
    ShareOwner,
    TokenBucket,
    ranked,
)
from rattanhollow.membership import HostDirectory, HostRecord
from rattanhollow.peer import Peers, ShareAnswer, ShareAsk, ShareGrant, ShareQuestion
from rattanhollow.settings import RateSettings
from rattanhollow.store import Follower, ObjectStore, Stored, StoreFailure, Trouble

REQUEST_TIMEOUT_MS = 500
IDLE_EXPIRY_S = 60.0
LEASE_RANK_DELAY_S = 0.5
TOKEN_POLL_INTERVAL_S = 0.02
DEMAND_SMOOTHING = 0.5
RESERVED_RATIO = 0.1


class LeasedRateLimiterParts(NamedTuple):
    """Dependencies of the rate limiter."""

    organisations: Callable[[], dict[str, Organisation]]
    own: Callable[[], HostRecord]
    hosts: HostDirectory
    peers: Peers
    store: ObjectStore
    settings: RateSettings


class _OrganisationState:
    """Tokens and demand of one organisation on this host."""

    def __init__(self) -> None:
        self.reserved = TokenBucket()
        self.granted = TokenBucket()
        self.share: Share | None = None
        self.granted_limits = (0, 0)
        self.valid_until_s = 0.0
        self.arrivals = 0
        self.demand_per_s = 0.0
        self.used_at_s = time.monotonic()


class LeasedRateLimiter:
    """Admits requests of organisations within their rates."""

    def __init__(self, parts: LeasedRateLimiterParts) -> None:
        self._parts = parts
        self.follower = Follower(LEASE_KIND, lambda item, name: None)
        self._states: dict[str, _OrganisationState] = {}
        self._owners: dict[str, ShareOwner] = {}
        self._owner_terms: dict[str, int] = {}
        shards = range(parts.settings.shards)
        self._leases = {shard: self._create_lease(shard) for shard in shards}

    def admit(self, organisation: str) -> bool:
        """Count one new request and return whether it is within the rate."""
        state = self._states.get(organisation)
        if state is not None:
            state.arrivals += 1
        return self._take_token(organisation)

    async def admit_soon(self, organisation: str) -> bool:
        """Wait for a token for a request that `admit` refused; False on timeout.

        Shares of a rate do not absorb uneven arrivals: without the short wait,
        such requests would be refused even within the rate.
        """
        until_s = time.monotonic() + self._parts.settings.wait_ms / 1000
        while time.monotonic() < until_s:
            await trio.sleep(TOKEN_POLL_INTERVAL_S)
            if self._take_token(organisation):
                return True
        return False

    def _take_token(self, organisation: str) -> bool:
        limits = self._parts.organisations().get(organisation)
        if limits is None or not limits.rate_per_s:
            return limits is not None
        state = self._states.get(organisation)
        if state is None:
            state = self._states[organisation] = _OrganisationState()
            self._resize_reserved(state, limits)
        state.used_at_s = time.monotonic()
        if state.used_at_s >= state.valid_until_s:
            state.granted.resize(0.0, 0.0)
            state.share = None
        return state.granted.take() or state.reserved.take()

    async def run(self) -> None:
        """Maintain leases and request shares until cancelled."""
        async with trio.open_nursery() as nursery:
            for lease in self._leases.values():
                nursery.start_soon(lease.run)
            interval_s = self._parts.settings.ask_interval_ms / 1000
            while True:
                await trio.sleep(interval_s)
                await self._request_shares(interval_s)

    async def release(self) -> None:
        """Release all leases when the host leaves."""
        for lease in self._leases.values():
            await lease.release()

    def handle_share_request(self, request: ShareQuestion) -> ShareAnswer:
        """Grant shares to another host, for the shards that this host owns."""
        grants = [self._grant(request.host, ask) for ask in request.asks]
        return ShareAnswer(tuple(grant for grant in grants if grant is not None))

    def _grant(self, host: str, ask: ShareAsk) -> ShareGrant | None:
        lease = self._leases[self._shard_of(ask.organisation)]
        limits = self._parts.organisations().get(ask.organisation)
        if limits is None or not lease.is_held():
            return None
        if self._owner_terms.get(ask.organisation) != lease.terms_held:
            valid_s = self._parts.settings.share_valid_ms / 1000
            confirming_until_s = float("-inf")
            if lease.had_predecessor:
                confirming_until_s = lease.gained_at_s + valid_s
            owner = ShareOwner(valid_s, confirming_until_s)
            self._owners[ask.organisation] = owner
            self._owner_terms[ask.organisation] = lease.terms_held
        holding = None
        if ask.valid_ms > 0:
            share = Share(ask.number, ask.rate_per_s, ask.burst)
            holding = Holding(share, ask.valid_ms)
        granted_ratio = 1 - RESERVED_RATIO
        share = self._owners[ask.organisation].grant(
            host,
            ask.demand_per_s,
            holding,
            limits.rate_per_s * granted_ratio,
            limits.burst * granted_ratio,
        )
        return ShareGrant(ask.organisation, *share)

    async def _request_shares(self, interval_s: float) -> None:
        by_shard: dict[int, list[str]] = defaultdict(list)
        now_s = time.monotonic()
        for name, state in list(self._states.items()):
            if now_s - state.used_at_s > IDLE_EXPIRY_S:
                del self._states[name]
                continue
            arrivals_per_s = state.arrivals / interval_s
            state.demand_per_s += DEMAND_SMOOTHING * (
                arrivals_per_s - state.demand_per_s
            )
            state.arrivals = 0
            limits = self._parts.organisations().get(name)
            if limits is not None and limits.rate_per_s:
                self._resize_reserved(state, limits)
                _apply_share(state, limits)
                by_shard[self._shard_of(name)].append(name)
        async with trio.open_nursery() as nursery:
            for shard, names in by_shard.items():
                nursery.start_soon(self._request_shares_from_owner, shard, names)

    async def _request_shares_from_owner(self, shard: int, names: list[str]) -> None:
        sent_at_s = time.monotonic()
        asks = tuple(self._build_ask(name, sent_at_s) for name in names)
        request = ShareQuestion(self._parts.own().incarnation, asks)
        if self._leases[shard].is_held():
            self._apply_grants(self.handle_share_request(request), sent_at_s)
            return
        owner = self._parts.hosts.find_by_incarnation(self._leases[shard].seen_holder)
        if owner is None:
            return
        reply = await self._parts.peers.ask(owner.peer, request, REQUEST_TIMEOUT_MS)
        response = reply.ok()
        if isinstance(response, ShareAnswer):
            self._apply_grants(response, sent_at_s)

    def _build_ask(self, name: str, now_s: float) -> ShareAsk:
        state = self._states[name]
        valid_ms = int((state.valid_until_s - now_s) * 1000)
        share = state.share
        if share is None or valid_ms <= 0:
            return ShareAsk(name, state.demand_per_s, 0, 0.0, 0.0, 0)
        return ShareAsk(name, state.demand_per_s, *share, valid_ms)

    def _apply_grants(self, response: ShareAnswer, sent_at_s: float) -> None:
        valid_s = self._parts.settings.share_valid_ms / 1000
        for grant in response.grants:
            state = self._states.get(grant.organisation)
            if state is None:
                continue
            state.share = Share(grant.number, grant.rate_per_s, grant.burst)
            # Counted from the request: the owner starts counting later, on its receipt.
            state.valid_until_s = sent_at_s + valid_s
            limits = self._parts.organisations().get(grant.organisation)
            if limits is not None:
                state.granted_limits = (limits.rate_per_s, limits.burst)
                _apply_share(state, limits)

    def _resize_reserved(self, state: _OrganisationState, limits: Organisation) -> None:
        """Set this host's fixed share of the reserved fraction of a rate."""
        max_hosts = self._parts.settings.hosts_at_most
        own = self._parts.own().name
        others = sum(record.name != own for record in self._parts.hosts.all())
        if others >= max_hosts:
            state.reserved.resize(0.0, 0.0)
            return
        host_ratio = RESERVED_RATIO / max_hosts
        state.reserved.resize(limits.rate_per_s * host_ratio, limits.burst * host_ratio)

    def _shard_of(self, organisation: str) -> int:
        digest = hashlib.blake2b(organisation.encode(), digest_size=4).digest()
        return int.from_bytes(digest) % self._parts.settings.shards

    def _create_lease(self, shard: int) -> Lease:
        name = f"rates-{shard}"

        def acquire_delay_s() -> float:
            names = [record.name for record in self._parts.hosts.active_hosts()]
            own = self._parts.own().name
            ranking = ranked(name, {*names, own})
            return LEASE_RANK_DELAY_S * ranking.index(own)

        return Lease(
            self._parts.store,
            name,
            self._parts.own().incarnation,
            self._parts.settings.lease_ms / 1000,
            acquire_delay_s,
            read=self._read_lease,
        )

    async def _read_lease(self, kind: str, name: str) -> Result[Stored, StoreFailure]:
        """Return a lease from the watched cached copy, without a call to the store."""
        if not self.follower.listed.is_set():
            return Err(StoreFailure(Trouble.UNREACHABLE, "leases not listed yet"))
        item = self.follower.items.get(name)
        if item is None:
            return Err(StoreFailure(Trouble.NOT_FOUND, name))
        return Ok(item)


def _apply_share(state: _OrganisationState, limits: Organisation) -> None:
    """Apply a share, scaled down if the rate was lowered since it was granted."""
    if state.share is None:
        return
    rate_per_s, burst = state.granted_limits
    rate_ratio = min(1.0, limits.rate_per_s / max(rate_per_s, 1))
    burst_ratio = min(1.0, limits.burst / max(burst, 1))
    state.granted.resize(
        state.share.rate_per_s * rate_ratio, state.share.burst * burst_ratio
    )
