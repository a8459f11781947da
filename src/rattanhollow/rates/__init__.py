"""Fleet-wide rate limits of organisations."""

from rattanhollow.rates._broker_service import BrokerService
from rattanhollow.rates._brokers import broker_candidates, brokers_by_region
from rattanhollow.rates._leased import (
    LeasedRateLimiter,
    LeasedRateLimiterParts,
)
from rattanhollow.rates._pooled import (
    Admission,
    PooledRateLimiter,
    PooledRateLimiterParts,
)

__all__ = [
    "Admission",
    "BrokerService",
    "LeasedRateLimiter",
    "LeasedRateLimiterParts",
    "PooledRateLimiter",
    "PooledRateLimiterParts",
    "broker_candidates",
    "brokers_by_region",
]
