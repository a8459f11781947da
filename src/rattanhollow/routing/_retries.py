"""Which failed attempts may be retried, and the responses to those that are not.

Does no I/O: functions of the results of attempts.
"""

from rattanhollow.serving import (
    BackendServer,
    Blocker,
    Work,
    WorkKind,
    WorkOutcome,
    WorkResult,
)
from rattanhollow.statements import Completed, Reason, Refused

# Retries of a failed read that only the primary may serve.
MAX_PRIMARY_READ_RETRIES = 2
# A primary comes back into the home regions by a replacement, which takes seconds.
OUTSIDE_HOMES_RETRY_MS = 1_000
# A zone that is evacuated has a primary elsewhere within seconds, if there can be one.
EVACUATED_RETRY_MS = 1_000

_FORWARDED_REASONS = {
    Reason.FAILED: Reason.FAILED,
    Reason.TIMED_OUT: Reason.TIMED_OUT,
    Reason.MALFORMED: Reason.MALFORMED,
    Reason.IN_DOUBT: Reason.IN_DOUBT,
}
# The server refused before running anything, so a retry is safe.
_NOT_RUN_REASONS = frozenset(
    {Reason.BUSY, Reason.NOT_LEADER, Reason.BEHIND, Reason.NO_STATEMENT}
)


def completed(result: WorkResult) -> Completed:
    """Return the response to a statement that succeeded."""
    return Completed(result.rows, result.proof)


def may_retry(result: WorkResult, repeatable: bool) -> bool:
    """Whether a retry is safe: the statement did not run, or may run twice."""
    if result.outcome is WorkOutcome.NOT_RUN:
        return True
    if result.outcome is WorkOutcome.REFUSED:
        return result.reason in _NOT_RUN_REASONS
    return repeatable


def queue_exceeds(result: WorkResult, budget_ms: int) -> bool:
    """Whether the server has more work queued than it can do in the budget."""
    return result.blocker is Blocker.OVERLOADED and result.retry_after_ms >= budget_ms


def outside_homes(server: BackendServer | None) -> Refused:
    """Return the response to a statement that no server in its home regions can run."""
    where = "every server" if server is None else f"the primary {server.id}"
    detail = f"{where} is outside the home regions of the route and organisation"
    return Refused(Reason.BUSY, detail, OUTSIDE_HOMES_RETRY_MS)


def evacuated() -> Refused:
    """Return the response to a statement whose servers are all evacuated."""
    detail = "all servers that may be used are in zones that are evacuated"
    return Refused(Reason.BUSY, detail, EVACUATED_RETRY_MS)


def without_position(primary_must_stop: bool) -> Refused:
    """Return the response to a read without a proof of the position it must see."""
    detail = "no primary proved its current log position"
    retry_after_ms = EVACUATED_RETRY_MS if primary_must_stop else 0
    return Refused(Reason.BUSY, detail, retry_after_ms)


def busy_refusal(last: WorkResult | None) -> Refused:
    """Return the response to a statement that no server ran in time."""
    detail = last.detail if last is not None else "no backend server available"
    retry_after_ms = last.retry_after_ms if last is not None else 0
    return Refused(Reason.BUSY, detail, retry_after_ms)


def standalone_refusal(result: WorkResult, reads: bool) -> Refused:
    """Return the response to a failed statement outside a transaction."""
    if result.outcome is WorkOutcome.REFUSED and result.reason is not None:
        if result.reason in _FORWARDED_REASONS:
            return Refused(result.reason, result.detail)
        return Refused(Reason.BUSY, result.detail)
    if result.outcome is WorkOutcome.NOT_RUN or reads:
        return Refused(Reason.BUSY, result.detail, result.retry_after_ms)
    return Refused(Reason.IN_DOUBT, result.detail)


def transaction_refusal(work: Work, result: WorkResult) -> Refused:
    """Return the response to a failed statement within a transaction."""
    commits = work.kind is WorkKind.COMMIT
    if result.outcome is WorkOutcome.REFUSED and result.reason is not None:
        if result.reason in _NOT_RUN_REASONS or result.reason is Reason.ABORTED:
            return Refused(Reason.ABORTED, result.detail)
        return Refused(
            _FORWARDED_REASONS.get(result.reason, Reason.IN_DOUBT), result.detail
        )
    if result.outcome is WorkOutcome.UNKNOWN and commits:
        return Refused(Reason.IN_DOUBT, result.detail)
    return Refused(Reason.ABORTED, result.detail)
