"""Log shipping and applying between the members of a stand-in group."""

import time
from collections.abc import Callable

import trio

from rattanhollow_standins.database._member import Ack, LogEntry, StandInMember

POLL_S = 0.01

Find = Callable[[str], StandInMember | None]


def linked(one: StandInMember, other: StandInMember) -> bool:
    """Whether two members reach each other."""
    if not (one.alive and other.alive) or one.faults.frozen or other.faults.frozen:
        return False
    return (
        other.name not in one.faults.cut_members
        and one.name not in other.faults.cut_members
    )


def _accepted(replica: StandInMember, primary: StandInMember) -> bool:
    """Whether the replica takes this primary's log."""
    return (
        linked(replica, primary)
        and replica.role == "replica"
        and replica.following == primary.name
        and primary.role == "primary"
        and primary.term == replica.term
        and primary.term >= replica.fenced_term
    )


async def receive_log(replica: StandInMember, find: Find, one_way_s: float) -> None:
    """Receive the log of whichever primary is followed; until cancelled."""
    while True:
        primary = find(replica.following)
        if primary is None or not _accepted(replica, primary):
            await _either(replica, primary)
            continue
        seen_round, seen_end = primary.round, len(primary.log)
        await trio.sleep(one_way_s)
        if not _accepted(replica, primary):
            continue
        received = _take_log(replica, primary)
        await trio.sleep(one_way_s)
        if not _accepted(replica, primary):
            continue
        primary.acks[replica.name] = Ack(seen_round, received)
        primary.notify()
        if primary.round == seen_round and received >= len(primary.log) >= seen_end:
            await _either(replica, primary)
        elif received < len(primary.log):
            await trio.sleep(min(POLL_S, max(replica.faults.ship_lag_s, 0.0)))


async def _either(replica: StandInMember, primary: StandInMember | None) -> None:
    """Wait for a change of either side, or a moment."""
    watched = primary or replica
    with trio.move_on_after(POLL_S):
        await watched.changed()


def _take_log(replica: StandInMember, primary: StandInMember) -> int:
    """Take what has arrived by now; returns how much of the log is held."""
    common = _common_length(replica.log, primary.log)
    if common < len(replica.log):
        replica.truncate(common)
    oldest_s = time.monotonic() - replica.faults.ship_lag_s
    arrived = [e for e in primary.log[common:] if e.written_at_s <= oldest_s]
    if arrived:
        replica.log.extend(arrived)
        replica.notify()
    return len(replica.log)


def _common_length(one: list[LogEntry], other: list[LogEntry]) -> int:
    """Return how many entries two logs share: equal terms mean equal logs."""
    length = min(len(one), len(other))
    while length and one[length - 1].term != other[length - 1].term:
        length -= 1
    return length


async def apply_log(replica: StandInMember) -> None:
    """Apply what was received, behind by the apply lag; until cancelled."""
    while True:
        ready = not replica.faults.frozen and replica.applied < len(replica.log)
        if replica.role == "primary" or not ready:
            with trio.move_on_after(POLL_S):
                await replica.changed()
            continue
        entry = replica.log[replica.applied]
        due_s = entry.written_at_s + replica.faults.apply_lag_s - time.monotonic()
        if due_s > 0:
            await trio.sleep(min(due_s, POLL_S))
            continue
        replica.apply_to(replica.applied + 1)
        await trio.lowlevel.checkpoint()
