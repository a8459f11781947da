"""Another writer's entry has a number that 64 bits don't hold."""

from pathlib import Path

import trio
from review_support.callers import Told, keep_writing
from review_support.fleet import Fleet, HostPlace, Record, run_case

from rattanhollow_standins.platform._cluster import put

# As in the site: three hosts in one zone, two in each of the others.
PLACES = [
    HostPlace("host-0", "lothian-a"),
    HostPlace("host-1", "tayside-a"),
    HostPlace("host-2", "highland-a"),
    HostPlace("host-3", "lothian-a"),
    HostPlace("host-4", "lothian-a"),
    HostPlace("host-5", "tayside-a"),
    HostPlace("host-6", "highland-a"),
]
ENTRY = {
    "service": "bookings",
    "address": "127.0.0.9:80",
    "zone": "lothian-a",
    "version": "v1",
    "slots": 3,
    # No state that the pages name: it is no database to use.
    "state": "sleeping",
    "cold_left_ms": 0,
    "born": 1,
    "db_role": "replica",
    # Another writer's identifier, a UUID as a whole number, where a count belongs.
    "seq_no": 0x7F3A91C25C0E7A21D94B36F890E1C4D2,
}
RESTART_S = 1.0
WATCHED_S = 25.0
ENDS_ALLOWED = 2


async def restart_ended(fleet: Fleet, name: str, ends: dict[str, int]) -> None:
    """Start a process that ended by itself again, as the platform does."""
    host = fleet.hosts[name]
    while True:
        await trio.sleep(0.05)
        if host.runs:
            continue
        ends[name] = ends.get(name, 0) + 1
        reasons = [line for line in host.log() if "Error" in line]
        reason = reasons[-1].strip() if reasons else "no reason in its log"
        fleet.record.note(f"{name} ended by itself ({ends[name]}): {reason[:160]}")
        await trio.sleep(RESTART_S)
        host.start()


async def case(folder: Path, record: Record, trouble: bool) -> list[str]:
    """Serve, take the entry, and count the processes that end by themselves."""
    fleet = Fleet(PLACES, folder, record)
    told: list[Told] = []
    ends: dict[str, int] = {}
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.run)
        for name in fleet.hosts:
            nursery.start_soon(restart_ended, fleet, name, ends)
        await trio.sleep(3)
        for number, host in enumerate(fleet.hosts.values()):
            nursery.start_soon(keep_writing, fleet, host, f"w{number}", 0.2, told)
        await trio.sleep(5)
        began_s = trio.current_time()
        if trouble:
            put(fleet.table, "servers", "x-of-another-writer", ENTRY)
            record.note(
                "disruption: an entry of kind servers with a number of 39 digits"
            )
        await trio.sleep(WATCHED_S)
        asked = [item for item in told if item.sent_at_s >= began_s]
        done = sum(item.outcome == "done" for item in asked)
        record.note(f"behind the entry: {done} of {len(asked)} served; ends: {ends}")
        nursery.cancel_scope.cancel()
    often = {name: count for name, count in ends.items() if count > ENDS_ALLOWED}
    if len(often) >= 2:
        return [f"Fault: processes ended by themselves: {often}"]
    return []


if __name__ == "__main__":
    run_case(__file__, case)
