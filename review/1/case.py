"""The guardian of a primary freezes as that begins to drain, and wakes up."""

import signal
from pathlib import Path

import trio
from review_support.callers import Told, keep_writing
from review_support.fleet import Fleet, HostPlace, NotRunError, Record, run_case

PLACES = [
    HostPlace("host-0", "lothian-a"),
    HostPlace("host-1", "tayside-a"),
    HostPlace("host-2", "highland-a"),
]
# The primary stands in another geo than the store.
DATABASE_ZONES = ("tayside-a", "lothian-a", "highland-a")
FREEZE_S = 4.0
# The news takes 20 ms to a host in another geo than the store, and its claim two calls
# of 44 ms; a host beside the store needs a few milliseconds for each.
FREEZE_AFTER_S = {"lothian-a": 0.015, "tayside-a": 0.045, "highland-a": 0.045}
ROUNDS = 3
WATCHED_S = 8.0
PAUSE_S = 0.2


def lost(fleet: Fleet, told: list[Told]) -> list[str]:
    """Return the acknowledged writes that the present primary's log lacks."""
    leader = fleet.group.leader
    held = {entry.request_id for entry in leader.log} if leader is not None else set()
    return [t.request for t in told if t.outcome == "done" and t.request not in held]


async def release(fleet: Fleet, successor: str, trouble: bool) -> None:
    """Release the primary, and freeze the host of its zone as the news arrives."""
    primary = fleet.group.leader
    if primary is None:
        raise NotRunError("no database leads")
    guardian = next(h for h in fleet.hosts.values() if h.place.zone == primary.zone)
    fleet.record.note(f"{primary.id} leads in {primary.zone}")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.release, primary, successor)
        await fleet.until_described(primary)
        await trio.sleep(FREEZE_AFTER_S[primary.zone])
        if trouble:
            guardian.send(signal.SIGSTOP)
            fleet.record.note(f"disruption: {guardian.place.name} freezes")
        await trio.sleep(FREEZE_S)
        if trouble:
            guardian.send(signal.SIGCONT)
            fleet.record.note(f"disruption: {guardian.place.name} wakes up")
        await trio.sleep(WATCHED_S)


async def case(folder: Path, record: Record, trouble: bool) -> list[str]:
    """Release the primary up to three times, until acknowledged writes are lost."""
    fleet = Fleet(PLACES, folder, record, DATABASE_ZONES)
    told: list[Told] = []
    gone: list[str] = []
    broken: list[str] = []
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.run)
        await trio.sleep(3)
        for number, host in enumerate(fleet.hosts.values()):
            name = f"w{number}"
            nursery.start_soon(keep_writing, fleet, host, name, PAUSE_S, told)
        await trio.sleep(3)
        for number in range(ROUNDS):
            await release(fleet, f"i-{number + 3}", trouble)
            gone = lost(fleet, told)
            if gone:
                break
        record.note(f"promoted: {fleet.group.promotions}")
        record.note(f"orders to promote: {fleet.promotions.orders}")
        for host in fleet.hosts.values():
            for line in host.log():
                if "succession." in line or "order.given" in line:
                    record.note(f"log of {host.place.name}: {line}")
        nursery.cancel_scope.cancel()
    if gone:
        broken.append(
            f"LOST: {len(gone)} acknowledged writes aren't in the log of the promoted"
            f" database: {gone[:8]}"
        )
    return broken


if __name__ == "__main__":
    run_case(__file__, case)
