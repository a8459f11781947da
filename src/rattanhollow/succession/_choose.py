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
    ``stopped_at`` is the end of the log of the last primary that had done so before,
    and ``stopped_term`` the term that it led. ``includes_primary`` is true if the
    replicas are all servers that can have led or confirmed commits.
    """

    replicas: list[Member]
    primary: Member | None
    sync_replica_count: int
    term: int
    stopped_at: Position | None = None
    stopped_term: int = 0
    includes_primary: bool = False


def choose_successor(
    group: StoppedGroup, may_drain: bool = False
) -> Result[BackendServer, str]:
    """Return the server with the longest log, if it holds all acknowledged commits.

    A stopped primary that is not draining may be promoted again.
    """
    held = _held(group)
    candidates = [m for m in held if may_drain or not m.server.draining]
    if group.primary is not None and not group.primary.server.draining:
        candidates.append(group.primary)
    if not candidates:
        return Err("no server responded that is not draining")
    best = max(candidates, key=lambda m: (_received(m), m is not group.primary))
    if holds_all_commits(best, group):
        return Ok(best.server)
    if any(_received(member) > _received(best) for member in held):
        return Err("the longest log is on a server that is draining")
    complete = [member for member in held if member.log_complete]
    return Err(
        f"only {len(complete)} of {len(group.replicas)} replicas are held with a"
        " complete log"
    )


def keep_or_choose(
    group: StoppedGroup, pending: BackendServer | None
) -> Result[BackendServer, str]:
    """Return the target whose promotion is pending, or a successor without one.

    A pending target that lacks commits is given up: an order to promote another server
    makes the platform reject those for it. Without proof either way it is
    kept, since no other server can be chosen, unless a log is known to be longer.
    """
    target = find_member(group, pending)
    if target is None or target.status is None:
        return choose_successor(group)
    if holds_all_commits(target, group):
        return Ok(target.server)
    chosen = choose_successor(group)
    if chosen.is_ok():
        return chosen
    others = [group.primary] if group.primary is not None else []
    others += [member for member in group.replicas if member.status is not None]
    if any(_received(other) > _received(target) for other in others):
        return Err(f"the pending target lacks commits, and {chosen.unwrap_err()}")
    return Ok(target.server)


def choose_longest(group: StoppedGroup) -> Result[BackendServer, str]:
    """Return the server with the longest log where no proof can be had any more.

    Whoever acknowledged or confirmed commits may be gone; servers that crash or leave
    come back with their logs under other identifiers, which nobody can tell. All
    servers must be held.
    """
    held = _held(group)
    if len(held) < len(group.replicas) or len(held) <= group.sync_replica_count + 1:
        return Err(f"only {len(held)} of {len(group.replicas)} servers are held")
    longest = max(held, key=lambda m: (_received(m), not m.server.draining))
    return Ok(longest.server)


def holds_all_commits(member: Member, group: StoppedGroup) -> bool:
    """Whether a server's log holds every acknowledged commit.

    Every acknowledged commit is on the primary and on ``sync_replica_count``
    replicas. A log therefore holds all of them if it reaches as far as that of the
    stopped primary, also one that stopped before and had no successor, or if it is
    the longest and fewer than ``sync_replica_count`` replicas are not held at
    ``term``, the primary not counted.
    """
    if group.primary is not None and _received(member) >= _received(group.primary):
        return True
    if group.stopped_at is not None and not _led_since(group):
        if _received(member) >= group.stopped_at:
            return True
    held = _held(group)
    is_longest = all(_received(other) <= _received(member) for other in held)
    if member not in held or not is_longest:
        return False
    complete = [other for other in held if other.log_complete]
    missing = len(group.replicas) - len(complete)
    allowed = max(1, group.sync_replica_count) - 1
    if group.includes_primary:
        # Also if one of these has led: its commits are on that many of the others.
        allowed += 1
    return missing <= allowed


def find_member(group: StoppedGroup, server: BackendServer | None) -> Member | None:
    """Return a server among those that are to be held, None if it isn't one."""
    for member in group.replicas:
        if server is not None and member.server.id == server.id:
            return member
    return None


def _led_since(group: StoppedGroup) -> bool:
    """Whether a server may have led since the last primary stopped.

    A commit of it would be on a replica, which then knows a newer term.
    """
    members = [*group.replicas, *([group.primary] if group.primary else [])]
    return any(
        member.status is None
        or max(member.status.term, member.status.received.term) > group.stopped_term
        for member in members
    )


def _held(group: StoppedGroup) -> list[Member]:
    return [
        member
        for member in group.replicas
        if member.status is not None and _is_held(member.status, group.term)
    ]


def _is_held(status: ServerStatus, term: int) -> bool:
    return not status.leads and status.held_term >= term


def _received(member: Member) -> Position:
    assert member.status is not None
    return member.status.received
