"""An entry holds bytes that can't be read, and all processes are killed."""

from pathlib import Path

import trio
from review_support.callers import Told, keep_writing
from review_support.fleet import Fleet, HostPlace, Record, run_case
from review_support.store import MARK

from rattanhollow_standins.platform._cluster import put

PLACES = [
    HostPlace("host-0", "lothian-a"),
    HostPlace("host-1", "tayside-a"),
    HostPlace("host-2", "highland-a"),
]
ENTRY = {
    "service": MARK,
    "address": MARK,
    "zone": MARK,
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_left_ms": 0,
    "born": 1,
    "db_role": "replica",
    "seq_no": 1,
}
DOWN_S = 1.5
RECOVER_S = 12.0
WATCHED_S = 15.0
PAUSE_S = 0.2


def served(told: list[Told], from_s: float) -> tuple[int, int]:
    """Return how many requests were sent from a time on, and how many succeeded."""
    asked = [item for item in told if item.sent_at_s >= from_s]
    return len(asked), sum(item.outcome == "done" for item in asked)


async def case(folder: Path, record: Record, trouble: bool) -> list[str]:
    """Serve, take the entry, kill all processes, and see whether they serve again."""
    fleet = Fleet(PLACES, folder, record)
    told: list[Told] = []
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.run)
        await trio.sleep(3)
        for number, host in enumerate(fleet.hosts.values()):
            name = f"w{number}"
            nursery.start_soon(keep_writing, fleet, host, name, PAUSE_S, told)
        await trio.sleep(5)
        asked_before, before = served(told, 0)
        record.note(f"before: {before} of {asked_before} served")
        if trouble:
            put(fleet.table, "servers", "x-of-another-writer", ENTRY)
            record.note("disruption: an entry of kind servers with unreadable bytes")
        await trio.sleep(5)
        for host in fleet.hosts.values():
            host.end()
        record.note("final fault: all processes are killed")
        await trio.sleep(DOWN_S)
        fleet.start_hosts(first=False)
        back_at_s = trio.current_time()
        record.note("the processes are started again")
        await trio.sleep(RECOVER_S + WATCHED_S)
        asked, after = served(told, back_at_s + RECOVER_S)
        for host in fleet.hosts.values():
            name, ready = host.place.name, await fleet.is_ready(host)
            record.note(f"{name}: runs={host.runs} ready={ready}")
            record.note(f"last line of {name}: {host.log()[-1][:300]}")
        record.note(f"after: {after} of {asked} served")
        nursery.cancel_scope.cancel()
    if before * 4 >= asked_before and after * 4 < asked:
        return [f"RECOVER: {after} of {asked} served later than {RECOVER_S} s after"]
    return []


if __name__ == "__main__":
    run_case(__file__, case)
