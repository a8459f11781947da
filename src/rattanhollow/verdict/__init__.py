"""What became of a request: the verdict that every refusal carries."""

from rattanhollow.verdict import sqlstates
from rattanhollow.verdict._verdict import (
    Refusal,
    Verdict,
    may_have_run,
    not_run,
)

__all__ = [
    "Refusal",
    "Verdict",
    "may_have_run",
    "not_run",
    "refused_by_backend",
    "sqlstates",
]
