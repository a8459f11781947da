"""Answering the requests of hosts that deposit with this broker or want tokens."""

import math
from collections.abc import Callable

from rattanhollow.configuration import Organisation
from rattanhollow.coordination import (
    DEPOSIT_LIFETIME_S,
    Stamp,
    TokenBroker,
    UnusedDeposit,
    shard_of,
)
from rattanhollow.membership import HostRecord
from rattanhollow.peer import (
    DepositAnswer,
    DepositQuestion,
    FirstDepositQuestion,
    PoolAnswer,
    PoolQuestion,
)

# The brokers' buckets together are deeper than the burst by this fraction of the
# allowed slack, and start with it, which smooths uneven demand of small organisations.
# A window may therefore contain the extra depth twice, plus some tokens that were
# fetched before it.
EXTRA_DEPTH_RATIO = 0.4


class BrokerService:
    """The broker of this host.

    ``slack`` is how many operations are allowed above rate and burst.
    """

    def __init__(
        self,
        organisations: Callable[[], dict[str, Organisation]],
        own: Callable[[], HostRecord],
        clock: Callable[[], float],
        slack: int,
    ) -> None:
        self._organisations = organisations
        self._own = own
        self._clock = clock
        self._extra_depth = slack * EXTRA_DEPTH_RATIO
        self._broker = TokenBroker(clock)

    def handle_deposit_request(self, request: DepositQuestion) -> DepositAnswer:
        """Return for how long deposits of a newly started host are held here."""
        left_s = self._broker.holds_until_s(request.host) - self._clock()
        held_s = min(max(left_s, 0.0), DEPOSIT_LIFETIME_S)
        return DepositAnswer(math.ceil(held_s * 1000))

    def handle_first_deposit(self, request: FirstDepositQuestion) -> PoolAnswer:
        """Accept the first deposits of a host, with the tokens that nobody used."""
        return self.handle_pool_request(request.request, request.unused_ms / 1000)

    def handle_pool_request(
        self, request: PoolQuestion, unused_s: float = 0.0
    ) -> PoolAnswer:
        """Accept deposits of a host and grant it tokens.

        Nobody used the deposits for ``unused_s`` before.
        """
        own = self._own().incarnation
        if request.stamp.broker == own:
            self._accept(request, unused_s)
        organisations = self._organisations()
        grants = []
        for want in request.wants:
            known = organisations.get(want.organisation)
            if known is not None:
                grant = self._broker.grant(
                    want, known.rate_per_s, known.burst, self._extra_depth
                )
                grants.append(grant)
        return PoolAnswer(Stamp(own, self._clock()), tuple(grants))

    def _accept(self, request: PoolQuestion, unused_s: float) -> None:
        changed = {
            shard
            for shard in request.shards
            if self._broker.accept_deposit(
                request.host, shard, request.base, request.stamp.at_s
            )
        }
        unused = UnusedDeposit(request.base, unused_s)
        for name, limits in self._organisations().items():
            if shard_of(name) in changed:
                rate_per_s, burst = limits.rate_per_s, limits.burst
                self._broker.refresh(name, rate_per_s, burst, self._extra_depth)
                self._broker.credit_unused(name, rate_per_s, burst, unused)
