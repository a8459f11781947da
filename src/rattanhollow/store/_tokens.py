"""Fencing tokens that rise although the store may lose those that it was told."""

# An era of two years at the design size needs some thousands. JSON holds the tokens of
# two thousand million eras exactly.
TOKENS_PER_ERA = 1 << 22


def next_token(token: int, era: int) -> int:
    """Return the token that follows the last known one, in an era of the store.

    The tokens of an era are higher than those of all eras before, which the store may
    have lost.
    """
    return max(token, era * TOKENS_PER_ERA) + 1


def is_token_of(token: int, era: int) -> bool:
    """Whether a token was given in an era of the store, or in a later one."""
    return token > era * TOKENS_PER_ERA
