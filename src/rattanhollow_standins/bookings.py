"""A booking workload that knows what it was told, and checks it."""

import itertools
import random
import time
from collections import Counter

import trio

from rattanhollow.pgwire import ConnectionLost
from rattanhollow_standins.client import Client, LoginRefused, Place, connect
from rattanhollow_standins.database._member import LogEntry
from rattanhollow_standins.fleet import Fleet

PAUSE_S = 0.01
RECONNECT_S = 0.05
MARK = "booking "


class Ledger:
    """What callers were told about each booking, by its number."""

    def __init__(self) -> None:
        self.acknowledged: list[int] = []
        self.not_run: list[int] = []
        self.unknown: list[int] = []
        self.stale = 0
        self._numbers = itertools.count(1)
        self._acknowledged_at_s: list[float] = []

    def next_number(self) -> int:
        """Return the number of a new booking."""
        return next(self._numbers)

    def acknowledge(self, number: int) -> None:
        """Note that a booking was acknowledged."""
        self.acknowledged.append(number)
        self._acknowledged_at_s.append(time.monotonic())

    def longest_gap_s(self) -> float:
        """Return the longest time between two acknowledgements."""
        pairs = itertools.pairwise(self._acknowledged_at_s)
        return max((later - earlier for earlier, later in pairs), default=0.0)

    async def prepare(self, place: Place) -> None:
        """Create the table."""
        client = await connect(place)
        result = await client.run("CREATE TABLE slots (number int, note text)")
        assert result.error is None, result.error
        await client.close()

    def found_in(self, log: list[LogEntry]) -> Counter[int]:
        """Count how often each booking stands in a log."""
        found: Counter[int] = Counter()
        for entry in log:
            for statement in entry.statements:
                _, mark, rest = statement.sql.partition(MARK)
                if mark:
                    found[int(rest.split("'")[0])] += 1
        return found


async def book_until(
    done: trio.Event,
    fleet: Fleet,
    ledger: Ledger,
    rng: random.Random,
    home: int | None,
) -> None:
    """Book and look up until ``done``: at the proxy ``home``, or at random ones."""
    clients: dict[int, Client] = {}
    while not done.is_set():
        number = ledger.next_number()
        if await _book(clients, fleet, ledger, rng, home, number):
            await _look_up(clients, fleet, ledger, rng, home, number)
        await trio.sleep(rng.uniform(0, PAUSE_S))
    for client in clients.values():
        await client.close()


async def _client(
    clients: dict[int, Client],
    fleet: Fleet,
    rng: random.Random,
    home: int | None,
) -> tuple[int, Client] | None:
    at = rng.choice(sorted(fleet.proxies) or [0]) if home is None else home
    if at not in clients:
        try:
            clients[at] = await connect(fleet.place(at))
        except (ConnectionLost, LoginRefused):
            await trio.sleep(RECONNECT_S)
            return None
    return at, clients[at]


async def _book(
    clients: dict[int, Client],
    fleet: Fleet,
    ledger: Ledger,
    rng: random.Random,
    home: int | None,
    number: int,
) -> bool:
    chosen = await _client(clients, fleet, rng, home)
    if chosen is None:
        return False
    at, client = chosen
    sql = f"INSERT INTO slots VALUES ({number}, '{MARK}{number}')"
    try:
        result = await client.run(sql)
    except ConnectionLost:
        await _drop(clients, at)
        ledger.unknown.append(number)
        return False
    if result.error is None:
        ledger.acknowledge(number)
        return True
    refused = result.error.message.startswith("not run")
    (ledger.not_run if refused else ledger.unknown).append(number)
    return False


async def _look_up(
    clients: dict[int, Client],
    fleet: Fleet,
    ledger: Ledger,
    rng: random.Random,
    home: int | None,
    number: int,
) -> None:
    chosen = await _client(clients, fleet, rng, home)
    if chosen is None:
        return
    at, client = chosen
    try:
        result = await client.run(f"SELECT note FROM slots WHERE number = {number}")
    except ConnectionLost:
        await _drop(clients, at)
        return
    if result.error is None and len(result.rows) != 1:
        ledger.stale += 1


async def _drop(clients: dict[int, Client], at: int) -> None:
    await clients.pop(at).wire.aclose()
