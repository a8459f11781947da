"""Distributed rate limiting through token brokers.

Each host is allotted an equal fraction of every rate. It keeps some of that
fraction and deposits the rest with a broker, which grants tokens out of all
deposits on request. Deposits expire, and a host doesn't use a deposited fraction
before the deposit has expired. The fractions in use therefore never exceed the
configured rate, even if messages are lost, hosts fail, or hosts disagree on which
host is the broker.
"""

import functools
import hashlib
import math
from collections.abc import Callable
from typing import NamedTuple

from rattanhollow.flow import TokenBucket

# A deposit is renewed several times before it expires. After its broker or its
# depositor has failed, hosts are limited to what they kept until it expires.
DEPOSIT_LIFETIME_S = 1.5
# For how long after its start a broker fills the extra depth of its buckets.
START_CREDIT_S = 3.0
# The fraction of its own allotment that a host never deposits.
KEPT_FRACTION = 0.5
# The organisations of a shard are deposited together.
SHARDS = 16
# Unused tokens expire, which limits how many are outstanding at any time.
TOKEN_LIFETIME_S = 0.8
# How long a host that has just started leaves what it deposits unused, in order to
# deposit it with the time for which it was unused. It covers a few lost messages.
UNUSED_CLAIM_S = 0.5


class Stamp(NamedTuple):
    """A reading of the broker's clock, by which it detects delayed messages."""

    broker: str
    at_s: float


class TokenWant(NamedTuple):
    """A request for tokens to admit operations of an organisation."""

    organisation: str
    tokens: int


class TokenGrant(NamedTuple):
    """The tokens granted; more are available after ``wait_ms``."""

    organisation: str
    tokens: int
    wait_ms: int


class UnusedDeposit(NamedTuple):
    """A host's fraction of each rate, unused for ``unused_s`` before its deposit."""

    base: float
    unused_s: float


class _Deposit(NamedTuple):
    base: float
    expires_at_s: float


@functools.cache
def shard_of(organisation: str) -> int:
    """Return the shard that an organisation belongs to."""
    digest = hashlib.blake2b(organisation.encode(), digest_size=2).digest()
    return int.from_bytes(digest) % SHARDS


def kept_fraction(burst: float, base: float) -> float:
    """Return the fraction of its allotment ``base`` that a host keeps.

    Zero if what it keeps could never add up to a whole token.
    """
    return KEPT_FRACTION if burst * base * KEPT_FRACTION >= 1 else 0.0


class Depositor:
    """Tracks which of a host's shards are deposited, and with which broker.

    At first all shards count as deposited with an unknown broker, because the host
    may have deposited them before a restart. Nobody uses what a host deposits from
    its start, or from the end of its previous deposits, until its first deposit.
    """

    def __init__(self, started_at_s: float) -> None:
        self._expiries_s = {
            n: {"": started_at_s + DEPOSIT_LIFETIME_S} for n in range(SHARDS)
        }
        self._unused_since_s: dict[int, float] = {}
        self._claims_end_s = -math.inf

    def clear_previous_start(self, unused_since_s: float, now_s: float) -> None:
        """Clear the assumed deposits of a previous start, once no broker holds any.

        Nobody has used what this host deposits since ``unused_since_s``.
        """
        for shard, brokers in self._expiries_s.items():
            if brokers.pop("", None) is not None:
                self._unused_since_s[shard] = unused_since_s
        self._claims_end_s = now_s + UNUSED_CLAIM_S

    def is_deposited(self, shard: int, now_s: float) -> bool:
        """Whether the host is limited to what it keeps of a shard's rates."""
        if shard in self._unused_since_s and now_s < self._claims_end_s:
            return True
        return any(expiry_s > now_s for expiry_s in self._expiries_s[shard].values())

    def claim_unused_s(self, shard: int, now_s: float) -> float:
        """Return for how long the deposit that is being made was unused before it.

        Zero for all but the first deposit.
        """
        since_s = self._unused_since_s.pop(shard, None)
        if since_s is None or now_s >= self._claims_end_s:
            return 0.0
        return max(0.0, now_s - since_s)

    def deposit(self, shard: int, broker: str, now_s: float) -> bool:
        """Deposit a shard, or renew it; False while another broker holds it."""
        brokers = self._expiries_s[shard]
        if any(
            name != broker and expiry_s > now_s for name, expiry_s in brokers.items()
        ):
            return False
        self._expiries_s[shard] = {broker: now_s + DEPOSIT_LIFETIME_S}
        return True


class TokenBroker:
    """Grants tokens out of the fractions of rates that hosts deposited."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._deposits: dict[int, dict[str, _Deposit]] = {}
        self._buckets: dict[str, TokenBucket] = {}
        # Deposited fractions per shard and burst, cached until the shard's deposits
        # change, and a time before which none of its deposits expires.
        self._fractions: dict[int, dict[float, float]] = {}
        self._next_expiry_s: dict[int, float] = {}
        self._started_at_s = clock()
        self._credited_fractions: dict[str, float] = {}

    def accept_deposit(
        self, host: str, shard: int, base: float, stamped_at_s: float
    ) -> bool:
        """Accept a deposit of what a host doesn't keep of its allotment ``base``.

        The deposit was sent after ``stamped_at_s`` on this broker's clock, and
        expires relative to that time. Returns whether the deposited total changed.
        """
        deposits = self._deposits.setdefault(shard, {})
        previous = deposits.get(host)
        deposit = deposits[host] = _Deposit(base, stamped_at_s + DEPOSIT_LIFETIME_S)
        next_expiry_s = self._next_expiry_s.get(shard, math.inf)
        self._next_expiry_s[shard] = min(next_expiry_s, deposit.expires_at_s)
        if (
            previous is not None
            and previous.base == base
            and previous.expires_at_s > self._clock()
        ):
            return False
        self._fractions.pop(shard, None)
        return True

    def credit_unused(
        self, organisation: str, rate_per_s: float, burst: float, deposit: UnusedDeposit
    ) -> None:
        """Add the tokens of the time for which a new deposit was unused before it."""
        bucket = self._buckets.get(organisation)
        if bucket is not None:
            fraction = deposit.base * (1 - kept_fraction(burst, deposit.base))
            bucket.add(rate_per_s * fraction * deposit.unused_s)

    def holds_until_s(self, host: str) -> float:
        """Return when the last of a host's deposits expires.

        Minus infinity if it has none. Until then, tokens may be granted from them.
        """
        expiries_s = [
            item[host].expires_at_s for item in self._deposits.values() if host in item
        ]
        return max(expiries_s, default=-math.inf)

    def grant(
        self, want: TokenWant, rate_per_s: float, burst: float, extra: float = 0.0
    ) -> TokenGrant:
        """Grant up to the requested number of tokens of an organisation's rate.

        ``extra`` is the depth that the buckets of all brokers together may have
        beyond ``burst``. After a broker's start its buckets begin with their
        fraction of it filled, since no tokens were granted for a while.
        """
        bucket = self._buckets.get(want.organisation)
        if bucket is None:
            bucket = self._buckets[want.organisation] = TokenBucket(self._clock)
        fraction = self._deposited_fraction(shard_of(want.organisation), burst)
        bucket.resize(rate_per_s * fraction, (burst + extra) * fraction)
        credited = self._credited_fractions.get(want.organisation, 0.0)
        if fraction > credited and self._clock() - self._started_at_s < START_CREDIT_S:
            self._credited_fractions[want.organisation] = fraction
            bucket.add(extra * (fraction - credited))
        tokens = 0
        while tokens < want.tokens and bucket.take():
            tokens += 1
        wait_ms = min(int(bucket.time_to_next_token_s() * 1000) + 1, 60_000)
        return TokenGrant(want.organisation, tokens, wait_ms)

    def refresh(
        self, organisation: str, rate_per_s: float, burst: float, extra: float = 0.0
    ) -> None:
        """Resize an organisation's bucket to the current deposits."""
        self.grant(TokenWant(organisation, 0), rate_per_s, burst, extra)

    def _deposited_fraction(self, shard: int, burst: float) -> float:
        self._remove_expired_deposits(shard)
        fractions = self._fractions.setdefault(shard, {})
        if burst not in fractions:
            bases = [item.base for item in self._deposits.get(shard, {}).values()]
            fractions[burst] = sum(
                base * (1 - kept_fraction(burst, base)) for base in bases
            )
        return fractions[burst]

    def _remove_expired_deposits(self, shard: int) -> None:
        now_s = self._clock()
        if now_s < self._next_expiry_s.get(shard, math.inf):
            return
        deposits = self._deposits[shard]
        expired = [
            host for host, item in deposits.items() if item.expires_at_s <= now_s
        ]
        for host in expired:
            del deposits[host]
        if expired:
            self._fractions.pop(shard, None)
        expiries_s = [item.expires_at_s for item in deposits.values()]
        self._next_expiry_s[shard] = min(expiries_s, default=math.inf)
