"""The demonstration: bookings through a cut primary and a dead host."""

import random
from typing import NamedTuple

import trio

from rattanhollow.coordination import Step
from rattanhollow.proxy import ALL_GUARDS, Guards
from rattanhollow_standins.bookings import Ledger, book_until
from rattanhollow_standins.database import StandInMember
from rattanhollow_standins.fleet import Fleet

NET = 90
PROXIES = 3
DESKS = 10
HOMED_DESKS = 6
APPLY_LAG_S = 0.04
SHIP_LAG_S = 0.15
GUARD_NAMES = {
    "write-confirmation": "write_confirmation",
    "fence": "fence",
    "floor": "floor",
}
EXIT_BAD_INPUT = 2
SETTLE_TIMEOUT_S = 8.0


class Verified(NamedTuple):
    """What the log of the last primary says of the ledger."""

    lost: int
    doubled: int
    untrue_refusals: int


def run_demo(without: list[str], hold: bool, seed: int) -> int:
    """Run the demonstration; 0 where every promise held, 1 where not."""
    unknown = [name for name in without if name not in GUARD_NAMES]
    if unknown:
        print(f"--without {unknown[0]}: expected one of {', '.join(GUARD_NAMES)}")
        return EXIT_BAD_INPUT
    off = {GUARD_NAMES[name]: False for name in without}
    guards = ALL_GUARDS._replace(**off)
    if hold:
        trio.run(_hold, guards, seed)
        return 0
    return trio.run(_demonstrate, guards, seed)


async def _hold(guards: Guards, seed: int) -> None:
    fleet = Fleet(NET, seed=seed, guards=guards)
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.run)
        for number in fleet.proxies:
            print(fleet.url_of(number), flush=True)
        print("ready", flush=True)


async def _demonstrate(guards: Guards, seed: int) -> int:
    fleet = Fleet(NET, seed=seed, guards=guards)
    ledger = Ledger()
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.run)
        for replica in fleet.group.replicas:
            replica.faults.apply_lag_s = APPLY_LAG_S
        await ledger.prepare(fleet.place(0))
        done = trio.Event()
        async with trio.open_nursery() as desks:
            for desk in range(DESKS):
                rng = random.Random(seed * 100 + desk)
                home = desk % PROXIES if desk < HOMED_DESKS else None
                desks.start_soon(book_until, done, fleet, ledger, rng, home)
            await _faults(fleet)
            done.set()
        await _settle(fleet)
        verified = _verify(fleet, ledger)
        counts = _counts(fleet)
        nursery.cancel_scope.cancel()
    return _report(ledger, verified, counts)


async def _faults(fleet: Fleet) -> None:
    await trio.sleep(1.5)
    await _cut_primary(fleet)
    await trio.sleep(1.0)
    fleet.kill_proxy(1)
    await trio.sleep(1.0)
    await fleet.start_proxy(1)
    await trio.sleep(0.5)
    await _partial_partition(fleet)
    await trio.sleep(1.0)


async def _cut_primary(fleet: Fleet) -> None:
    """Cut the primary off with commits that no replica has yet; heal later."""
    primary = fleet.group.primary
    assert primary is not None
    for replica in fleet.group.replicas:
        replica.faults.ship_lag_s = SHIP_LAG_S
    await trio.sleep(0.5)
    others = {member.name for member in fleet.group.replicas}
    primary.faults.cut_callers = True
    primary.faults.cut_members = others
    for member in fleet.group.members.values():
        member.faults.ship_lag_s = 0.0
    await _until_replaced(fleet, primary)
    await trio.sleep(0.5)
    _heal(primary)


async def _partial_partition(fleet: Fleet) -> None:
    """Let one host and the replicas see an old primary that the others lost.

    The coordinator pauses once the members are fenced, and meanwhile the old
    primary loses the replica that is about to lead, not the other one.
    """
    primary = fleet.group.primary
    assert primary is not None
    away = {fleet.addresses.proxy(1), fleet.addresses.proxy(2)}
    paused = trio.Event()
    ahead, behind = fleet.group.replicas
    behind.faults.ship_lag_s = SHIP_LAG_S

    async def pause(database: str, step: Step) -> None:
        if step is Step.FENCE and not paused.is_set():
            paused.set()
            behind.faults.ship_lag_s = 0.0
            primary.faults.cut_members = {ahead.name}
            await trio.sleep(0.7)

    fleet.step_hook = pause
    fleet.table.faults.cut_addresses = {fleet.addresses.proxy(0)}
    primary.faults.cut_addresses = away
    await _until_replaced(fleet, primary)
    await trio.sleep(0.5)
    fleet.table.faults.cut_addresses = set()
    _heal(primary)


def _heal(member: StandInMember) -> None:
    member.faults.cut_callers = False
    member.faults.cut_addresses = set()
    member.faults.cut_members = set()
    member.notify()


async def _until_replaced(fleet: Fleet, old: StandInMember) -> None:
    with trio.move_on_after(SETTLE_TIMEOUT_S):
        while fleet.group.primary in (old, None):
            await trio.sleep(0.02)


async def _settle(fleet: Fleet) -> None:
    """Wait until all members have the same log."""
    with trio.move_on_after(SETTLE_TIMEOUT_S):
        while len({member.end for member in fleet.group.members.values()}) > 1:
            await trio.sleep(0.05)


def _verify(fleet: Fleet, ledger: Ledger) -> Verified:
    primary = fleet.group.primary
    assert primary is not None
    found = ledger.found_in(primary.log)
    lost = sum(found[number] == 0 for number in ledger.acknowledged)
    doubled = sum(count > 1 for count in found.values())
    untrue = sum(found[number] > 0 for number in ledger.not_run)
    return Verified(lost, doubled, untrue)


def _counts(fleet: Fleet) -> dict[str, int]:
    total: dict[str, int] = {}
    for proxy in fleet.proxies.values():
        for name, count in proxy.metrics.counts().items():
            total[name] = total.get(name, 0) + count
    return total


def _report(ledger: Ledger, verified: Verified, counts: dict[str, int]) -> int:
    at_replicas = counts.get("reads.replica", 0)
    reads = at_replicas + counts.get("reads.primary", 0)
    print(f"acknowledged          {len(ledger.acknowledged)}")
    print(f"lost                  {verified.lost}")
    print(f"doubled               {verified.doubled}")
    print(f"stale reads           {ledger.stale}")
    print(f"untrue 'not run'      {verified.untrue_refusals}")
    print(f"outcome unknown       {len(ledger.unknown)}")
    print(f"failover gap          {ledger.longest_gap_s():.2f} s")
    print(f"replica share         {at_replicas / max(reads, 1):.2f}")
    print(f"refused inside rate   {len(ledger.not_run)} (no rates are set)")
    broken = verified.lost + verified.doubled + verified.untrue_refusals
    if broken + ledger.stale or not ledger.acknowledged:
        print("a promise was broken")
        return 1
    print("every promise held")
    return 0
