"""Local rate limiting."""

from rattanhollow.flow._token_bucket import TokenBucket

__all__ = ["TokenBucket"]
