"""Sharing a rate among hosts without an owner.

Every host has an equal part of each rate. It keeps some of it, and deposits the
rest with a broker, which hands tokens out of all deposits to whoever asks. A
deposit ends by itself; until then its depositor leaves that part alone. So the
parts in use never add up to more than the whole, whatever is lost, whoever dies,
and also where hosts differ on who the broker is.
"""

import functools
import hashlib
import math
from collections.abc import Callable
from typing import NamedTuple

from rattanhollow.flow import TokenBucket

# A deposit is renewed several times before it ends. While it lasts behind its
# broker's death, or its depositor's, hosts have only what they kept.
DEPOSIT_LIFETIME_S = 1.5
# How long behind its start a broker's buckets begin with their extra depth.
YOUNG_S = 3.0
# The part of its own share that a host never deposits.
KEPT_FRACTION = 0.5
# Organisations whose parts are deposited together.
SHARDS = 16
# A token that wasn't used is given up: so few of them are about at any time.
TOKEN_LIFETIME_S = 0.8


class Stamp(NamedTuple):
    """A time of the broker's clock, which shows how late a message is."""

    broker: str
    at_s: float


class TokenWant(NamedTuple):
    """How many operations of an organisation a host wants to admit."""

    organisation: str
    tokens: int


class TokenGrant(NamedTuple):
    """How many may be admitted; ``wait_ms`` until there are more."""

    organisation: str
    tokens: int
    wait_ms: int


class _Deposit(NamedTuple):
    base: float
    until_s: float


@functools.cache
def shard_of(organisation: str) -> int:
    """Return the shard that an organisation belongs to."""
    digest = hashlib.blake2b(organisation.encode(), digest_size=2).digest()
    return int.from_bytes(digest) % SHARDS


def kept_fraction(burst: float, base: float) -> float:
    """Return how much of its own part ``base`` of a rate a host keeps.

    Nothing where that would never make up a whole token.
    """
    return KEPT_FRACTION if burst * base * KEPT_FRACTION >= 1 else 0.0


class Depositor:
    """Which of a host's shards are deposited, and with whom.

    An earlier start of the host may have deposited all of them.
    """

    def __init__(self, started_at_s: float) -> None:
        self._until_s = {
            n: {"": started_at_s + DEPOSIT_LIFETIME_S} for n in range(SHARDS)
        }

    def clear_previous_start(self) -> None:
        """Note that no broker holds anything of an earlier start."""
        for brokers in self._until_s.values():
            brokers.pop("", None)

    def is_deposited(self, shard: int, now_s: float) -> bool:
        """Whether a host may use only what it keeps of a shard's rates."""
        return any(until_s > now_s for until_s in self._until_s[shard].values())

    def deposit(self, shard: int, broker: str, now_s: float) -> bool:
        """Deposit a shard's part, from now on; False while another broker has it."""
        brokers = self._until_s[shard]
        if any(name != broker and until > now_s for name, until in brokers.items()):
            return False
        self._until_s[shard] = {broker: now_s + DEPOSIT_LIFETIME_S}
        return True


class TokenBroker:
    """Hands out tokens of the rates whose parts were deposited."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._deposits: dict[int, dict[str, _Deposit]] = {}
        self._buckets: dict[str, TokenBucket] = {}
        # Parts worked out, by burst, while a shard's deposits stay the same, and
        # a time before which none of them ends.
        self._parts: dict[int, dict[float, float]] = {}
        self._lasting_until_s: dict[int, float] = {}
        self._started_at_s = clock()
        self._credited: dict[str, float] = {}

    def accept_deposit(
        self, host: str, shard: int, base: float, stamped_at_s: float
    ) -> bool:
        """Take what a host doesn't keep of its own part ``base``.

        It was sent after this broker's time ``stamped_at_s``. Returns whether
        more, or less, is deposited than before.
        """
        deposits = self._deposits.setdefault(shard, {})
        known = deposits.get(host)
        deposit = deposits[host] = _Deposit(base, stamped_at_s + DEPOSIT_LIFETIME_S)
        lasting_until_s = self._lasting_until_s.get(shard, math.inf)
        self._lasting_until_s[shard] = min(lasting_until_s, deposit.until_s)
        if known is not None and known.base == base and known.until_s > self._clock():
            return False
        self._parts.pop(shard, None)
        return True

    def holds_until_s(self, host: str) -> float:
        """Return until when tokens of a host's deposits may be handed out.

        Minus infinity where there are none.
        """
        ends = [item[host].until_s for item in self._deposits.values() if host in item]
        return max(ends, default=-math.inf)

    def grant(
        self, want: TokenWant, rate_per_s: float, burst: float, extra: float = 0.0
    ) -> TokenGrant:
        """Hand out tokens of an organisation's rate, as many as there are.

        ``extra`` is how much deeper than ``burst`` the buckets of all brokers
        together may be. Behind a start they begin with that much: nothing was
        handed out for a while.
        """
        bucket = self._buckets.get(want.organisation)
        if bucket is None:
            bucket = self._buckets[want.organisation] = TokenBucket(self._clock)
        part = self._part(shard_of(want.organisation), burst)
        bucket.resize(rate_per_s * part, (burst + extra) * part)
        credited = self._credited.get(want.organisation, 0.0)
        if part > credited and self._clock() - self._started_at_s < YOUNG_S:
            self._credited[want.organisation] = part
            bucket.add(extra * (part - credited))
        tokens = 0
        while tokens < want.tokens and bucket.take():
            tokens += 1
        wait_ms = min(int(bucket.wait_for_token_s() * 1000) + 1, 60_000)
        return TokenGrant(want.organisation, tokens, wait_ms)

    def refresh(
        self, organisation: str, rate_per_s: float, burst: float, extra: float = 0.0
    ) -> None:
        """Bring an organisation's bucket up to the deposits that there are now."""
        self.grant(TokenWant(organisation, 0), rate_per_s, burst, extra)

    def _part(self, shard: int, burst: float) -> float:
        self._end_deposits(shard)
        parts = self._parts.setdefault(shard, {})
        if burst not in parts:
            bases = [item.base for item in self._deposits.get(shard, {}).values()]
            parts[burst] = sum(
                base * (1 - kept_fraction(burst, base)) for base in bases
            )
        return parts[burst]

    def _end_deposits(self, shard: int) -> None:
        now_s = self._clock()
        if now_s < self._lasting_until_s.get(shard, math.inf):
            return
        deposits = self._deposits[shard]
        ended = [host for host, item in deposits.items() if item.until_s <= now_s]
        for host in ended:
            del deposits[host]
        if ended:
            self._parts.pop(shard, None)
        ends = [item.until_s for item in deposits.values()]
        self._lasting_until_s[shard] = min(ends, default=math.inf)
