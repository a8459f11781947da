"""One soak: a fleet, callers, faults, an end without any, and the verdict."""

import itertools
import random
import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import trio

from rattanhollow_standins.platform._client import Closed
from rattanhollow_standins.soak._callers import ROUTES, Caller, Ledger
from rattanhollow_standins.soak._faults import AROUND_PROMOTIONS, FaultMix, Faults
from rattanhollow_standins.soak._fleet import (
    KEYS,
    QUIET_KEYS,
    RATE_PER_S,
    RATE_SLACK,
    WITHDRAWN_KEY,
    SoakFleet,
)

HOSTS = 4
CALLERS = 12
# What operators allow until all is served again, and a change is in force.
RECOVER_S = 15.0
IN_FORCE_S = 4.0
# How soon behind an evacuation's acknowledgement nothing more runs in the zone.
EVACUATE_S = 5.0
# How long what a link has held may take to run once it goes on.
RELEASED_S = 0.3
# A cut counts as one by planned work where nothing else went wrong for so long.
CALM_S = 5.0
GRACE_S = 3.0
WINDOW_S = 5.0
OVER = 1.1


_numbers = itertools.count(1)


class SoakReport(NamedTuple):
    """``broken`` lists broken promises, ``notes`` what was done to the fleet.

    ``played`` counts the faults by kind.
    """

    seed: int
    broken: list[str]
    notes: list[str]
    answered: int
    refused: int
    promotions: int
    folder: str
    played: dict[str, int]


def soak(
    seed: int, net: int, keep_logs: bool = True, mix: FaultMix = AROUND_PROMOTIONS
) -> SoakReport:
    """Run one soak on the loopback addresses 127.``net``.*."""
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    report = trio.run(_soak, seed, net, folder, mix)
    if not report.broken or not keep_logs:
        for file in folder.iterdir():
            file.unlink()
        folder.rmdir()
    return report


async def _soak(seed: int, net: int, folder: Path, mix: FaultMix) -> SoakReport:
    rng = random.Random(seed)
    fleet = SoakFleet(net, HOSTS, folder)
    ledger = Ledger()
    broken: list[str] = []
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.run)
        faults = Faults(fleet, rng)
        with trio.CancelScope() as calling:
            async with trio.open_nursery() as callers:
                for number in range(CALLERS):
                    seeded = random.Random(rng.random())
                    caller = Caller(f"c{number}", fleet, ledger, seeded)
                    callers.start_soon(caller.run)
                await faults.run(mix)
                fleet.configure(2, withdrawn=True)
                broken += await _recovers(fleet)
                calling.cancel()
        broken += await _key_is_withdrawn(fleet)
        broken += _judge(fleet, ledger, faults)
        nursery.cancel_scope.cancel()
    return SoakReport(
        seed,
        broken,
        faults.notes,
        ledger.answered,
        ledger.refused,
        len(fleet.group.promotions),
        str(folder),
        dict(faults.played),
    )


async def _recovers(fleet: SoakFleet) -> list[str]:
    """Wait until each host serves each route, a write included."""
    missing = {(h.number, route) for h in fleet.hosts for route in ROUTES}
    last = ""
    with trio.move_on_after(RECOVER_S):
        while missing:
            for number, route in sorted(missing):
                last = await _try(fleet, number, route)
                if not last:
                    missing.discard((number, route))
            await trio.sleep(0.2)
    return [f"RECOVER: {sorted(missing)} not served: {last}"] if missing else []


async def _try(fleet: SoakFleet, number: int, route: str) -> str:
    try:
        with trio.fail_after(3):
            client = await fleet.client(fleet.hosts[number], route, QUIET_KEYS["quay"])
            for text in (f"READ r.{route}", f"WRITE r.{route} 1"):
                answer = await client.query(text, f"r-{next(_numbers)}")
                if answer.error:
                    return f"{answer.error} {answer.detail}"
            await client.close()
    except (OSError, Closed, trio.TooSlowError) as error:
        return f"{type(error).__name__} {error}"
    return ""


async def _key_is_withdrawn(fleet: SoakFleet) -> list[str]:
    await trio.sleep(IN_FORCE_S)
    broken = []
    for host in fleet.hosts:
        try:
            client = await fleet.client(host, "bounded", WITHDRAWN_KEY)
        except (OSError, Closed):
            continue
        answer = await client.query("READ key")
        if not answer.error:
            broken.append(f"CONFIG: host {host.number} serves a withdrawn key")
        await client.close()
    return broken


def _judge(fleet: SoakFleet, ledger: Ledger, faults: Faults) -> list[str]:
    """Check what callers were told against what the back ends hold and ran."""
    leader = fleet.group.leader
    log = leader.log if leader is not None else []
    held = Counter(entry.request_id for entry in log)
    outcome = {told.request_id: told.outcome for told in ledger.told}
    broken = [f"STALE: {text}" for text in ledger.stale]
    broken += [f"TWICE: {name}" for name, times in held.items() if times > 1]
    broken += [
        f"LOST: {name} was acknowledged"
        for name, told in outcome.items()
        if told == "done" and name not in held
    ]
    broken += [
        f"REFUSED: {name} is in the log"
        for name, told in outcome.items()
        if told == "refused" and name in held
    ]
    broken += _pinned(fleet, ledger)
    broken += _over_rate(fleet)
    broken += _shared_tokens(fleet)
    broken += _used_though_evacuated(fleet, faults)
    broken += _cuts(fleet, ledger, faults)
    return broken


def _pinned(fleet: SoakFleet, ledger: Ledger) -> list[str]:
    broken = []
    for server in fleet.servers:
        for run in server.runs:
            if run.organisation not in (*KEYS, *QUIET_KEYS, "-"):
                broken.append(f"UNASKED: {run.request_id} as {run.organisation}")
            values = ledger.values.get(run.request_id)
            if values is not None and values != run.values:
                broken.append(f"PINNED: {run.request_id} {run.values} not {values}")
            if run.request_id in ledger.transactions and not run.in_transaction:
                broken.append(f"PINNED: {run.request_id} outside its transaction")
    return broken


def _used_though_evacuated(fleet: SoakFleet, faults: Faults) -> list[str]:
    """Return the databases of evacuated zones that ran something too late.

    Hosts can't know of an evacuation before an outage of the store has ended. What a
    link held was sent before; it reaches the database even if its host has given up
    and closed the connection, other than over TCP with a user timeout.
    """
    broken = []
    for span in faults.evacuations:
        known_s = span.from_s
        for outage in faults.outages:
            if outage.from_s <= known_s + EVACUATE_S and outage.until_s > known_s:
                known_s = outage.until_s
        released_s = [
            at_s
            for seat in fleet.seats.values()
            if seat.server.zone == span.zone
            for at_s in seat.link.released_s
        ]
        late_s = {
            server.id: run.at_s - span.from_s
            for server in fleet.servers
            for run in server.runs
            if server.zone == span.zone
            and known_s + EVACUATE_S < run.at_s < span.until_s
            and not any(0 <= run.at_s - at_s < RELEASED_S for at_s in released_s)
        }
        broken += [
            f"EVACUATED: {name} ran {s:.2f} behind that of {span.zone}, of which"
            f" {known_s - span.from_s:.2f} without the store"
            for name, s in late_s.items()
        ]
    return broken


def _cuts(fleet: SoakFleet, ledger: Ledger, faults: Faults) -> list[str]:
    """Return requests that a planned stop cut, with no other fault near."""
    broken = []
    for cut in ledger.cuts:
        near = [s for s in faults.unplanned_s if -CALM_S < cut.at_s - s < CALM_S + 3]
        if not near and cut.at_s - cut.sent_at_s < GRACE_S / 2:
            broken.append(f"LOST: host {cut.host} cut a request while it stopped")
    return broken


def _shared_tokens(fleet: SoakFleet) -> list[str]:
    """Return the fencing tokens with which two hosts ordered a promotion."""
    holders: dict[int, set[str]] = {}
    for _, _, holder, token in fleet.promotions.orders:
        holders.setdefault(token, set()).add(holder)
    return [
        f"ONE: {', '.join(sorted(names))} ordered with token {token}"
        for token, names in holders.items()
        if len(names) > 1
    ]


def _over_rate(fleet: SoakFleet) -> list[str]:
    """Return the organisations of which too many operations ran in a window."""
    allowed = (RATE_PER_S * WINDOW_S + RATE_PER_S) * OVER + RATE_SLACK
    broken = []
    for organisation in KEYS:
        times = sorted(
            run.at_s
            for server in fleet.servers
            for run in server.runs
            if run.organisation == organisation and run.text != "COMMIT"
        )
        start = 0
        for end, at_s in enumerate(times):
            while at_s - times[start] >= WINDOW_S:
                start += 1
            if end - start + 1 > allowed:
                broken.append(f"QUOTA: {organisation} ran {end - start + 1}")
                break
    return broken
