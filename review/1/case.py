"""The guardian of a primary freezes as that begins to drain, and wakes up."""

import signal
from pathlib import Path

import trio
from review_support.callers import Told, keep_writing
from review_support.fleet import Fleet, HostPlace, Record, run_case

PLACES = [
    HostPlace("host-0", "lothian-a"),
    HostPlace("host-1", "tayside-a"),
    HostPlace("host-2", "highland-a"),
]
# The primary stands in another geo than the store.
DATABASE_ZONES = ("tayside-a", "lothian-a", "highland-a")
GUARDIAN = "host-1"
FREEZE_S = 4.0
# The news takes 20 ms to the guardian; its claim takes two calls of 44 ms there.
FREEZE_AFTER_S = 0.08
WATCHED_S = 8.0
PAUSE_S = 0.1


def lost(fleet: Fleet, told: list[Told]) -> list[str]:
    """Return the acknowledged writes that the present primary's log lacks."""
    leader = fleet.group.leader
    held = {entry.request_id for entry in leader.log} if leader is not None else set()
    return [t.request for t in told if t.outcome == "done" and t.request not in held]


async def case(folder: Path, record: Record, trouble: bool) -> list[str]:
    """Release the primary; freeze the host of its zone as the news arrives there."""
    fleet = Fleet(PLACES, folder, record, DATABASE_ZONES)
    told: list[Told] = []
    broken: list[str] = []
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.run)
        await trio.sleep(3)
        for number, host in enumerate(fleet.hosts.values()):
            name = f"w{number}"
            nursery.start_soon(keep_writing, fleet, host, name, PAUSE_S, told)
        await trio.sleep(3)
        primary = fleet.group.leader
        assert primary is not None
        record.note(f"{primary.id} leads in {primary.zone}")
        nursery.start_soon(fleet.release, primary, "i-3")
        await fleet.until_described(primary)
        await trio.sleep(FREEZE_AFTER_S)
        if trouble:
            fleet.hosts[GUARDIAN].send(signal.SIGSTOP)
            record.note(f"disruption: {GUARDIAN} freezes")
        await trio.sleep(FREEZE_S)
        if trouble:
            fleet.hosts[GUARDIAN].send(signal.SIGCONT)
            record.note(f"disruption: {GUARDIAN} wakes up")
        await trio.sleep(WATCHED_S)
        record.note(f"promoted: {fleet.group.promotions}")
        record.note(f"orders to promote: {fleet.promotions.orders}")
        gone = lost(fleet, told)
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
