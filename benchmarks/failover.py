"""The gap without a writable primary, split by step."""

import statistics
import time
from typing import NamedTuple

import trio

from rattanhollow.coordination import GROUP_KIND, Step
from rattanhollow_standins.client import Client, connect
from rattanhollow_standins.fleet import Fleet

RUNS = 5
PAUSE_S = 0.01
NET = 71


class Gap(NamedTuple):
    """One failover: when each step ended, and the first write, in milliseconds."""

    steps_ms: dict[str, float]
    written_ms: float


async def _one(number: int, lose_answer: bool) -> Gap:
    fleet = Fleet(NET + number % 8, seed=number)
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.run)
        client = await connect(fleet.place(0))
        await client.run("CREATE TABLE slots (number int)")
        gap = await _measure(fleet, client, lose_answer)
        nursery.cancel_scope.cancel()
    return gap


async def _measure(fleet: Fleet, client: Client, lose_answer: bool) -> Gap:
    steps_ms: dict[str, float] = {}
    old = fleet.group.primary
    assert old is not None
    if lose_answer:
        fleet.table.faults.lose_kind = GROUP_KIND
        fleet.table.faults.lose_answers = 1
    began_s = time.monotonic()
    old.faults.cut_callers = True
    old.faults.cut_members = set(fleet.group.members)

    async def finished(database: str, step: Step) -> None:
        steps_ms[step.value] = (time.monotonic() - began_s) * 1000

    fleet.step_hook = finished
    while True:
        result = await client.run("INSERT INTO slots VALUES (1)")
        if result.error is None:
            return Gap(steps_ms, (time.monotonic() - began_s) * 1000)
        await trio.sleep(PAUSE_S)


def run() -> None:
    """Print the gap by step: median and worst of some runs."""
    for lose_answer in (False, True):
        gaps = [trio.run(_one, number, lose_answer) for number in range(RUNS)]
        note = "with one store answer lost" if lose_answer else "at default settings"
        print(f"failover gap {note}, {RUNS} runs, ms since the cut")
        for step in Step:
            ends = [gap.steps_ms[step.value] for gap in gaps]
            print(f"  {step.value:10} {statistics.median(ends):8.0f} {max(ends):8.0f}")
        ends = [gap.written_ms for gap in gaps]
        print(f"  {'written':10} {statistics.median(ends):8.0f} {max(ends):8.0f}")
