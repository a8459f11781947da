"""What became of a request: the verdict that every refusal carries."""

from rattanhollow.verdict._verdict import (
    Refusal,
    Verdict,
    may_have_run,
    not_run,
    refused_by_backend,
)

__all__ = ["Refusal", "Verdict", "may_have_run", "not_run", "refused_by_backend"]
