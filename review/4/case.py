"""A host gets SIGTERM while callers are inside transactions."""

import random
import signal
from pathlib import Path
from typing import NamedTuple

import trio
from review_support.fleet import Fleet, HostPlace, HostProcess, Record, run_case

from rattanhollow_standins.platform._client import Closed

PLACES = [
    HostPlace("host-0", "lothian-a"),
    HostPlace("host-1", "tayside-a"),
    HostPlace("host-2", "highland-a"),
]
SESSIONS = 12
STATEMENTS = 12
# A statement's work at a database, and a caller's pause behind each answer.
WORK_S = (0.2, 0.3)
PAUSE_S = 0.005
GRACE_S = 6.0
ROUTE_TIMEOUT_S = 2.0
LOSS_SLACK_S = 0.2
# Requests sent later than this are not excused by the work of a database.
EXCUSED_S = 3.0


class Cut(NamedTuple):
    """A request whose connection ended without an answer."""

    request: str
    text: str
    sent_at_s: float
    ended_at_s: float


async def transact(fleet: Fleet, host: HostProcess, name: str, cuts: list[Cut]) -> None:
    """Run one transaction after another in one session, until it is closed."""
    client = await fleet.client(host, "bounded")
    number = 0
    while True:
        texts = ["BEGIN READ", *[f"READ item{n}" for n in range(STATEMENTS)], "COMMIT"]
        for text in texts:
            number += 1
            request, sent_at_s = f"{name}-{number}", trio.current_time()
            try:
                answer = await client.query(text, request)
            except (OSError, Closed, trio.BrokenResourceError) as error:
                ended_at_s = trio.current_time()
                fleet.record.note(f"{request} {text}: {type(error).__name__} {error}")
                if "ERROR" not in str(error):
                    cuts.append(Cut(request, text, sent_at_s, ended_at_s))
                return
            fleet.record.note(f"{request} {text}: {answer.error or 'done'}")
            if answer.error:
                return
            await trio.sleep(PAUSE_S)


async def vary_work(fleet: Fleet) -> None:
    """Let statements differ, so that callers don't keep in step."""
    rng = random.Random(1)
    while True:
        for server in fleet.group.servers.values():
            server.work_s = rng.uniform(*WORK_S)
        await trio.sleep(0.01)


def judge(fleet: Fleet, cuts: list[Cut], term_at_s: float, record: Record) -> list[str]:
    """Return the requests that were lost by the rule."""
    ran = {run.request_id for s in fleet.group.servers.values() for run in s.runs}
    broken = []
    for cut in cuts:
        sent_s, ended_s = cut.sent_at_s - term_at_s, cut.ended_at_s - term_at_s
        after_s = ended_s - sent_s
        record.note(
            f"cut: {cut.request} {cut.text} sent {sent_s:.3f} s behind SIGTERM, ended"
            f" {after_s:.3f} s later, run by a database: {cut.request in ran}"
        )
        planned = 0 <= sent_s and ended_s <= GRACE_S + 1
        passed_on = cut.request in ran or after_s > LOSS_SLACK_S
        if planned and passed_on and sent_s > EXCUSED_S and after_s < ROUTE_TIMEOUT_S:
            broken.append(f"LOST: {cut.request} {cut.text} sent at {sent_s:.3f} s")
    return broken


async def case(folder: Path, record: Record, trouble: bool) -> list[str]:
    """Stop a host by SIGTERM, SIGKILL behind the grace, and look at what was cut."""
    fleet = Fleet(PLACES, folder, record)
    cuts: list[Cut] = []
    broken: list[str] = []
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.run)
        nursery.start_soon(vary_work, fleet)
        await trio.sleep(3)
        host = fleet.hosts["host-1"]
        for number in range(SESSIONS):
            nursery.start_soon(transact, fleet, host, f"s{number}", cuts)
        await trio.sleep(2.5)
        term_at_s = trio.current_time()
        if trouble:
            host.send(signal.SIGTERM)
            record.note("plan: host-1 gets SIGTERM")
        await trio.sleep(GRACE_S)
        if trouble:
            record.note(f"grace is over; host-1 runs: {host.runs}")
            host.end()
        await trio.sleep(1)
        broken = judge(fleet, cuts, term_at_s, record)
        for line in host.log():
            if "signal" in line or "stopped" in line:
                record.note(f"log of host-1: {line}")
        nursery.cancel_scope.cancel()
    return broken


if __name__ == "__main__":
    run_case(__file__, case)
