"""Fleet-wide rate limits of organisations."""

from rattanhollow.rates._brokers import broker_candidates, brokers_by_region
from rattanhollow.rates._pooled import Admission, PooledRateParts, PooledRates
from rattanhollow.rates._rates import RateParts, Rates

__all__ = [
    "Admission",
    "PooledRateParts",
    "PooledRates",
    "RateParts",
    "Rates",
    "brokers_by_region",
    "broker_candidates",
]
