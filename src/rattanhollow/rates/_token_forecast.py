"""When the next token of an organisation can come.

Does no I/O and reads no clock: callers pass the times.
"""

from typing import NamedTuple


class Shortage(NamedTuple):
    """What the last round of requests to the brokers of all regions told.

    They had too few tokens, and have more from ``more_at_s`` on; the next request is
    sent at ``next_request_at_s``. The knowledge holds until ``holds_until_s``.
    """

    holds_until_s: float
    next_request_at_s: float
    more_at_s: float


def token_wait_s(
    ahead: int, own_wait_s: float, income_per_s: float, shortage: Shortage, now_s: float
) -> float:
    """Return the expected time until an operation behind ``ahead`` others has a token.

    ``own_wait_s`` is the time until this host's own share has as many tokens,
    ``income_per_s`` how many came here lately from everywhere. While no shortage is
    known, the brokers may have one: the time is then 0.
    """
    if now_s >= shortage.holds_until_s:
        return 0.0
    more_at_s = max(shortage.more_at_s, shortage.next_request_at_s)
    pooled_s = max(more_at_s - now_s, (ahead + 1) / income_per_s)
    return min(own_wait_s, pooled_s)
