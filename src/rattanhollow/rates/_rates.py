"""The rate and burst of each organisation, over the whole fleet.

Each organisation belongs to a shard; the host that holds the shard's lease
grants shares of its organisations' rates by demand. A small part of each rate
is reserved: every host has a fixed piece of it, also where no owner is heard.
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

ASK_TIMEOUT_MS = 500
FORGET_AFTER_S = 60.0
TURN_S = 0.5
LOOK_AGAIN_S = 0.02
SMOOTHING = 0.5
RESERVED_PART = 0.1


class RateParts(NamedTuple):
    """What the limits need of the rest of the host."""

    organisations: Callable[[], dict[str, Organisation]]
    own: Callable[[], HostRecord]
    hosts: HostDirectory
    peers: Peers
    store: ObjectStore
    settings: RateSettings


class _Local:
    """What this host has of one organisation's rate."""

    def __init__(self) -> None:
        self.reserved = TokenBucket()
        self.granted = TokenBucket()
        self.share: Share | None = None
        self.share_of = (0, 0)
        self.valid_until_s = 0.0
        self.asked = 0
        self.demand_per_s = 0.0
        self.used_at_s = time.monotonic()


class Rates:
    """Admits requests of organisations within their rates."""

    def __init__(self, parts: RateParts) -> None:
        self._parts = parts
        self.follower = Follower(LEASE_KIND, lambda item, name: None)
        self._local: dict[str, _Local] = {}
        self._owners: dict[str, ShareOwner] = {}
        self._owner_terms: dict[str, int] = {}
        shards = range(parts.settings.shards)
        self._leases = {shard: self._lease(shard) for shard in shards}

    def admit(self, organisation: str) -> bool:
        """Count one new request; whether it is within the rate."""
        local = self._local.get(organisation)
        if local is not None:
            local.asked += 1
        return self._take(organisation)

    async def admit_soon(self, organisation: str) -> bool:
        """Whether a request that `admit` turned down is within the rate after a wait.

        A short wait evens out what shares of a rate can't: without it, requests
        inside the rate are refused where they come in uneven steps.
        """
        until_s = time.monotonic() + self._parts.settings.wait_ms / 1000
        while time.monotonic() < until_s:
            await trio.sleep(LOOK_AGAIN_S)
            if self._take(organisation):
                return True
        return False

    def _take(self, organisation: str) -> bool:
        limits = self._parts.organisations().get(organisation)
        if limits is None or not limits.rate_per_s:
            return limits is not None
        local = self._local.get(organisation)
        if local is None:
            local = self._local[organisation] = _Local()
            self._reserve(local, limits)
        local.used_at_s = time.monotonic()
        if local.used_at_s >= local.valid_until_s:
            local.granted.resize(0.0, 0.0)
            local.share = None
        return local.granted.take() or local.reserved.take()

    async def run(self) -> None:
        """Hold leases and ask for shares, until cancelled."""
        async with trio.open_nursery() as nursery:
            for lease in self._leases.values():
                nursery.start_soon(lease.run)
            interval_s = self._parts.settings.ask_interval_ms / 1000
            while True:
                await trio.sleep(interval_s)
                await self._ask_owners(interval_s)

    async def release(self) -> None:
        """Give all leases up, when the host leaves."""
        for lease in self._leases.values():
            await lease.release()

    def answer(self, question: ShareQuestion) -> ShareAnswer:
        """Grant the shares that another host asks for, where this one owns them."""
        grants = [self._grant(question.host, ask) for ask in question.asks]
        return ShareAnswer(tuple(grant for grant in grants if grant is not None))

    def _grant(self, host: str, ask: ShareAsk) -> ShareGrant | None:
        lease = self._leases[self._shard(ask.organisation)]
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
        granted_part = 1 - RESERVED_PART
        share = self._owners[ask.organisation].grant(
            host,
            ask.demand_per_s,
            holding,
            limits.rate_per_s * granted_part,
            limits.burst * granted_part,
        )
        return ShareGrant(ask.organisation, *share)

    async def _ask_owners(self, interval_s: float) -> None:
        by_shard: dict[int, list[str]] = defaultdict(list)
        now_s = time.monotonic()
        for name, local in list(self._local.items()):
            if now_s - local.used_at_s > FORGET_AFTER_S:
                del self._local[name]
                continue
            per_s = local.asked / interval_s
            local.demand_per_s += SMOOTHING * (per_s - local.demand_per_s)
            local.asked = 0
            limits = self._parts.organisations().get(name)
            if limits is not None and limits.rate_per_s:
                self._reserve(local, limits)
                _fit_share(local, limits)
                by_shard[self._shard(name)].append(name)
        async with trio.open_nursery() as nursery:
            for shard, names in by_shard.items():
                nursery.start_soon(self._ask_owner, shard, names)

    async def _ask_owner(self, shard: int, names: list[str]) -> None:
        asked_at_s = time.monotonic()
        asks = tuple(self._ask_for(name, asked_at_s) for name in names)
        question = ShareQuestion(self._parts.own().incarnation, asks)
        if self._leases[shard].is_held():
            self._take_grants(self.answer(question), asked_at_s)
            return
        owner = self._parts.hosts.find_by_incarnation(self._leases[shard].seen_holder)
        if owner is None:
            return
        asked = await self._parts.peers.ask(owner.peer, question, ASK_TIMEOUT_MS)
        answer = asked.ok()
        if isinstance(answer, ShareAnswer):
            self._take_grants(answer, asked_at_s)

    def _ask_for(self, name: str, now_s: float) -> ShareAsk:
        local = self._local[name]
        valid_ms = int((local.valid_until_s - now_s) * 1000)
        share = local.share
        if share is None or valid_ms <= 0:
            return ShareAsk(name, local.demand_per_s, 0, 0.0, 0.0, 0)
        return ShareAsk(name, local.demand_per_s, *share, valid_ms)

    def _take_grants(self, answer: ShareAnswer, asked_at_s: float) -> None:
        valid_s = self._parts.settings.share_valid_ms / 1000
        for grant in answer.grants:
            local = self._local.get(grant.organisation)
            if local is None:
                continue
            local.share = Share(grant.number, grant.rate_per_s, grant.burst)
            # From the moment of asking: the owner counts from later on.
            local.valid_until_s = asked_at_s + valid_s
            limits = self._parts.organisations().get(grant.organisation)
            if limits is not None:
                local.share_of = (limits.rate_per_s, limits.burst)
                _fit_share(local, limits)

    def _reserve(self, local: _Local, limits: Organisation) -> None:
        """Give this host its fixed piece of the reserved part."""
        at_most = self._parts.settings.hosts_at_most
        own = self._parts.own().name
        others = sum(record.name != own for record in self._parts.hosts.all())
        if others >= at_most:
            local.reserved.resize(0.0, 0.0)
            return
        piece = RESERVED_PART / at_most
        local.reserved.resize(limits.rate_per_s * piece, limits.burst * piece)

    def _shard(self, organisation: str) -> int:
        digest = hashlib.blake2b(organisation.encode(), digest_size=4).digest()
        return int.from_bytes(digest) % self._parts.settings.shards

    def _lease(self, shard: int) -> Lease:
        name = f"rates-{shard}"

        def reluctance_s() -> float:
            names = [record.name for record in self._parts.hosts.active_hosts()]
            own = self._parts.own().name
            order = ranked(name, {*names, own})
            return TURN_S * order.index(own)

        return Lease(
            self._parts.store,
            name,
            self._parts.own().incarnation,
            self._parts.settings.lease_ms / 1000,
            reluctance_s,
            read=self._read_lease,
        )

    async def _read_lease(self, kind: str, name: str) -> Result[Stored, StoreFailure]:
        """Return a lease from the followed copy: no call to the store."""
        if not self.follower.listed.is_set():
            return Err(StoreFailure(Trouble.UNREACHABLE, "not listed yet"))
        item = self.follower.items.get(name)
        if item is None:
            return Err(StoreFailure(Trouble.NOT_FOUND, name))
        return Ok(item)


def _fit_share(local: _Local, limits: Organisation) -> None:
    """Use a share, or less of it where the rate was lowered since it was granted."""
    if local.share is None:
        return
    rate_per_s, burst = local.share_of
    rate_part = min(1.0, limits.rate_per_s / max(rate_per_s, 1))
    burst_part = min(1.0, limits.burst / max(burst, 1))
    local.granted.resize(
        local.share.rate_per_s * rate_part, local.share.burst * burst_part
    )
