"""Who may succeed a primary: pure decisions on what its servers answered."""

from collections.abc import Collection
from typing import NamedTuple

from result import Err, Ok, Result

from rattanhollow.coordination import Position
from rattanhollow.serving import BackendServer, ServerStatus


class Member(NamedTuple):
    """A server of the service behind the order that made it stop.

    ``status`` is what it answered to that order, None where it didn't.
    ``covers`` is False for a log that began anew and may lack commits that the
    server once acknowledged to its primary.
    """

    server: BackendServer
    status: ServerStatus | None
    covers: bool = True


def next_term(statuses: Collection[ServerStatus]) -> int:
    """Return a term above all that the servers know."""
    terms = [max(s.term, s.held_term, s.received.term) for s in statuses]
    return max(terms, default=0) + 1


def choose(
    replicas: Collection[Member],
    stopped_primary: Member | None,
    copies: int,
    term: int,
) -> Result[BackendServer, str]:
    """Return the replica to promote.

    Every acknowledged commit is on the primary and on ``copies`` replicas. So
    the furthest log holds them all where fewer than ``copies`` replicas are
    missing from those that were held at ``term``, or where the old primary
    itself was made to stop and its log is no longer than the furthest.
    """
    held = [m for m in replicas if m.status is not None and _is_held(m.status, term)]
    usable = [m for m in held if not m.server.draining]
    if not usable:
        return Err("no replica that stays answered")
    best = max(usable, key=lambda m: (_received(m), m.server.cold_ms == 0, m.server.id))
    furthest = max(_received(m) for m in held)
    if _received(best) < furthest:
        return Err("the furthest log is at a server that leaves")
    covering = [m for m in held if m.covers]
    if len(replicas) - len(covering) < max(1, copies):
        return Ok(best.server)
    if stopped_primary is not None and stopped_primary.status is not None:
        if _received(stopped_primary) <= _received(best):
            return Ok(best.server)
        return Err("the stopped primary's log is longer")
    return Err(f"only {len(covering)} of {len(replicas)} replicas are held")


def _is_held(status: ServerStatus, term: int) -> bool:
    return not status.leads and status.held_term >= term


def _received(member: Member) -> Position:
    assert member.status is not None
    return member.status.received
