"""The four quantities that the users measure, at both deployments' sizes.

Everything runs in one process: store, one database group, eight proxies and
the callers. Delays between zones are played by the stand-ins where they can.
"""

import random
from typing import NamedTuple

import trio

from benchmarks.load import Timing
from rattanhollow.configuration import Organisation
from rattanhollow.coordination import TokenBucket
from rattanhollow.pgwire import ConnectionLost
from rattanhollow_standins.client import Client, connect
from rattanhollow_standins.database import GroupTiming
from rattanhollow_standins.fleet import Fleet

PROXIES = 8
SECONDS = 12.0
WARM_UP_S = 3.0
CUT_AFTER_S = 5.0
SHARE_SECONDS = 4.0
WRITE_PART = 0.2
USED_PART = 0.8
FLOOD_PART = 5.0
LAG_S = 0.05
LAGS_S = (0.0, 0.05, 0.5, 5.0)
ALLOWANCE_MS = 10_000
SEED = 1
NET = 60


class Deployment(NamedTuple):
    """A user's sizes; connections are those of one proxy to one server."""

    name: str
    timing: GroupTiming
    connections: int


DEPLOYMENTS = (
    Deployment("Steeple & Chime", GroupTiming(0.010, 0.0005, 3, 20), 2),
    Deployment("Fes", GroupTiming(0.030, 0.0015, 5, 60), 6),
)


def organisations(age_ms: int) -> list[Organisation]:
    """Return eight organisations, two of them large; the first will flood."""
    large = [Organisation(f"large-{n}", rate_per_s=80, burst=60) for n in range(2)]
    small = [Organisation(f"small-{n}", rate_per_s=30, burst=30) for n in range(6)]
    return [item._replace(max_age_ms=age_ms) for item in [*large, *small]]


class Served:
    """What one organisation was answered."""

    def __init__(self, limits: Organisation) -> None:
        self.ideal = TokenBucket()
        self.ideal.resize(limits.rate_per_s, limits.burst)
        self.asked = self.answered = self.inside = self.refused_inside = 0
        self.each_ms: list[float] = []

    @property
    def part(self) -> float:
        """The part of its requests inside the rate that were answered."""
        return 1 - self.refused_inside / max(self.inside, 1)


class Run:
    """One run of the workload."""

    def __init__(self, fleet: Fleet, limits: list[Organisation]) -> None:
        self.fleet = fleet
        self.served = {item.name: Served(item) for item in limits}
        self.counting = False
        self.done = False
        self.written_at_s: list[float] = []
        self.share = 0.0

    async def caller(self, limits: Organisation, pause_s: float, seed: int) -> None:
        """Read and write at one proxy until the run is done."""
        rng = random.Random(seed)
        at = seed % PROXIES
        client: Client | None = None
        while not self.done:
            await trio.sleep(rng.expovariate(1 / pause_s))
            try:
                if client is None:
                    place = self.fleet.place(at, organisation=limits.name)
                    client = await connect(place)
                await self._request(client, limits.name, rng)
            except ConnectionLost:
                client = None
        if client is not None:
            await client.close()

    async def _request(self, client: Client, name: str, rng: random.Random) -> None:
        write = rng.random() < WRITE_PART
        number = rng.randrange(1_000_000)
        sql = f"SELECT count(*) FROM slots WHERE number = {number}"
        if write:
            sql = f"INSERT INTO slots VALUES ({number})"
        served = self.served[name]
        inside = served.ideal.take()
        began_s = trio.current_time()
        result = await client.run(sql)
        ended_s = trio.current_time()
        if result.error is None and write:
            self.written_at_s.append(ended_s)
        if not self.counting:
            return
        served.asked += 1
        served.answered += result.error is None
        served.inside += inside
        over = result.error is not None and result.error.sqlstate == "53400"
        served.refused_inside += inside and over
        if result.error is None:
            served.each_ms.append((ended_s - began_s) * 1000)

    def gap_ms(self) -> float:
        """Return the longest time without an acknowledged write."""
        pairs = zip(self.written_at_s, self.written_at_s[1:], strict=False)
        return max((b - a for a, b in pairs), default=0.0) * 1000


class Reads(NamedTuple):
    """How many reads replicas and primaries have served."""

    replica: int
    primary: int


def reads(fleet: Fleet) -> Reads:
    """Count the reads served so far."""
    counts = [proxy.metrics.counts() for proxy in fleet.proxies.values()]
    return Reads(
        sum(count.get("reads.replica", 0) for count in counts),
        sum(count.get("reads.primary", 0) for count in counts),
    )


def replica_share(before: Reads, after: Reads) -> float:
    """Return the share of the reads between that replicas served."""
    replica = after.replica - before.replica
    whole = replica + after.primary - before.primary
    return replica / max(whole, 1)


async def play(deployment: Deployment, net: int, lag_s: float, age_ms: int) -> Run:
    """Run the workload; with 0 allowance also a flood and a cut primary."""
    limits = organisations(age_ms)
    overrides = {"backend": {"connections": str(deployment.connections)}}
    fleet = Fleet(
        net,
        proxies=PROXIES,
        seed=SEED,
        timing=deployment.timing,
        overrides=overrides,
        organisations=limits,
    )
    run = Run(fleet, limits)
    async with trio.open_nursery() as nursery:
        await nursery.start(fleet.run)
        place = fleet.place(0, organisation=limits[0].name)
        first = await connect(place)
        while (await first.run("CREATE TABLE slots (number int)")).error is not None:
            await trio.sleep(0.1)
        for replica in fleet.group.replicas:
            replica.faults.apply_lag_s = lag_s
        async with trio.open_nursery() as callers:
            seed = SEED * 1_000
            for at, item in enumerate(limits):
                count = 8 if at < 2 else 3
                pause_s = count / (USED_PART * item.rate_per_s)
                for _ in range(count):
                    seed += 1
                    floods = at == 0 and not age_ms
                    wait_s = pause_s * USED_PART / FLOOD_PART if floods else pause_s
                    callers.start_soon(run.caller, item, wait_s, seed)
            await trio.sleep(WARM_UP_S if not age_ms else WARM_UP_S + lag_s)
            before = reads(fleet)
            run.counting = True
            await trio.sleep(CUT_AFTER_S if not age_ms else SHARE_SECONDS)
            run.counting = False
            run.share = replica_share(before, reads(fleet))
            if not age_ms and lag_s == LAG_S:
                await cut(fleet)
            run.done = True
        nursery.cancel_scope.cancel()
    return run


async def cut(fleet: Fleet) -> None:
    """Cut the primary off and wait for writes to go on."""
    old = fleet.group.primary
    assert old is not None
    old.faults.cut_callers = True
    old.faults.cut_members = set(fleet.group.members)
    with trio.move_on_after(SECONDS):
        while fleet.group.primary is old:
            await trio.sleep(0.02)
    await trio.sleep(1.0)


def run() -> None:
    """Print the four quantities, and the replicas' share by lag."""
    net = NET
    for deployment in DEPLOYMENTS:
        net += 1
        played = trio.run(play, deployment, net, LAG_S, 0)
        others = [s for name, s in played.served.items() if name != "large-0"]
        inside = sum(s.inside for s in others)
        refused = sum(s.refused_inside for s in others)
        worst = min(others, key=lambda served: served.part)
        slowest = max(Timing(s.each_ms, 0).quantile_ms(0.99) for s in others)
        print(
            f"{deployment.name}: {PROXIES} proxies, lag {LAG_S * 1000:.0f} ms, seed 1"
        )
        print(f"  replica reads                {100 * played.share:8.1f} %")
        print(f"  failover gap                 {played.gap_ms():8.0f} ms")
        print(f"  worst-served organisation    {100 * worst.part:8.1f} % answered")
        print(f"  slowest organisation's p99   {slowest:8.1f} ms")
        print(f"  refused inside the rate      {100 * refused / inside:8.2f} %")
        row, allowed = [], []
        for lag_s in LAGS_S:
            net += 1
            row.append(trio.run(play, deployment, net, lag_s, 0).share)
            net += 1
            allowed.append(trio.run(play, deployment, net, lag_s, ALLOWANCE_MS).share)
        lags = " ".join(f"{lag_s * 1000:7.0f}" for lag_s in LAGS_S)
        print(f"  replica reads by lag, ms   {lags}")
        print("    no allowance           ", " ".join(f"{100 * s:6.1f}%" for s in row))
        print("    an allowance of 10 s   ", end=" ")
        print(" ".join(f"{100 * s:6.1f}%" for s in allowed))
