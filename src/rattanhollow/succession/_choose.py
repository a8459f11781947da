"""Selecting the server to promote, from the responses of the service's servers.

The functions have no side effects.
"""

from collections.abc import Collection
from typing import NamedTuple

from result import Err, Ok, Result

from rattanhollow.coordination import Position
from rattanhollow.serving import BackendServer, ServerStatus


class Member(NamedTuple):
    """A server of the service after the command that made it stop.

    ``status`` is its response to that command, None without a response.
    ``log_complete`` is False for a log that was started again from empty and may
    lack commits that the server had acknowledged to its primary.
    """

    server: BackendServer
    status: ServerStatus | None
    log_complete: bool = True


def next_term(statuses: Collection[ServerStatus]) -> int:
    """Return the term after the newest that any server has seen a primary lead.

    Terms at which a server is only held do not count: the promotion could otherwise
    have an earlier term than the hold and would leave that server held.
    """
    terms = [max(status.term, status.received.term) for status in statuses]
    return max(terms, default=0) + 1


class StoppedGroup(NamedTuple):
    """The servers of a service after the commands to stop at ``term``.

    ``primary`` is the old primary if it confirmed that it no longer leads.
    """

    replicas: list[Member]
    primary: Member | None
    sync_replica_count: int
    term: int


def choose_successor(
    replicas: Collection[Member],
    stopped_primary: Member | None,
    sync_replica_count: int,
    term: int,
) -> Result[BackendServer, str]:
    """Return the server to promote.

    Every acknowledged commit is on the primary and on ``sync_replica_count``
    replicas. A log therefore holds all of them if it reaches as far as that of the
    stopped primary, or if it is the longest and fewer than ``sync_replica_count``
    replicas are not held at ``term``. A stopped primary that is not draining may
    be promoted again.
    """
    held = [m for m in replicas if m.status is not None and _is_held(m.status, term)]
    candidates = [m for m in held if not m.server.draining]
    if stopped_primary is not None and not stopped_primary.server.draining:
        candidates.append(stopped_primary)
    if not candidates:
        return Err("no server responded that is not draining")
    best = max(candidates, key=lambda m: (_received(m), m is not stopped_primary))
    if stopped_primary is not None and _received(best) >= _received(stopped_primary):
        return Ok(best.server)
    if any(_received(member) > _received(best) for member in held):
        return Err("the longest log is on a server that is draining")
    complete = [member for member in held if member.log_complete]
    if len(replicas) - len(complete) < max(1, sync_replica_count):
        return Ok(best.server)
    return Err(
        f"only {len(complete)} of {len(replicas)} replicas are held with a complete log"
    )


def _is_held(status: ServerStatus, term: int) -> bool:
    return not status.leads and status.held_term >= term


def _received(member: Member) -> Position:
    assert member.status is not None
    return member.status.received
