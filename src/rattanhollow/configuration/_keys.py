"""Keys that callers show; only a digest of them is ever stored."""

import hashlib
import secrets

KEY_BYTES = 24


def new_key() -> str:
    """Return a new random key, 32 characters that need no quoting in a URL."""
    return secrets.token_urlsafe(KEY_BYTES)


def digest_of(key: str) -> str:
    """Return what is stored of a key.

    A plain SHA-256 is enough since keys are random and long.
    """
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()
