"""Local rate limiting, and the spreading of retries."""

from rattanhollow.flow._return_schedule import MAX_RETURN_S, Return, ReturnSchedule
from rattanhollow.flow._token_bucket import TokenBucket

__all__ = ["MAX_RETURN_S", "Return", "ReturnSchedule", "TokenBucket"]
