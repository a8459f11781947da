"""The verdict type and the refusals built on it."""

import enum
from typing import NamedTuple

from rattanhollow.verdict import sqlstates


class Verdict(enum.Enum):
    """Whether a request may have taken effect at a backend server."""

    RAN = "ran"
    NOT_RUN = "not run"
    MAY_HAVE_RUN = "may have run"


class Refusal(NamedTuple):
    """A request that got no answer of its own.

    ``sqlstate`` is the five-character code sent to the caller, ``reason`` the
    text without the verdict.
    """

    verdict: Verdict
    sqlstate: str
    reason: str

    @property
    def message(self) -> str:
        """The text sent to the caller: the verdict, then the reason."""
        return f"{self.verdict.value}: {self.reason}"


def not_run(reason: str, sqlstate: str = sqlstates.UNAVAILABLE) -> Refusal:
    """Refuse a request of which no byte was executed; it may be repeated."""
    return Refusal(Verdict.NOT_RUN, sqlstate, reason)


def may_have_run(reason: str) -> Refusal:
    """Refuse a request whose effect is unknown; the caller must check."""
    return Refusal(Verdict.MAY_HAVE_RUN, sqlstates.UNKNOWN_OUTCOME, reason)
