"""Callers that keep using open sessions, and write down all that they are told."""

import random
from typing import NamedTuple

import trio

from rattanhollow_standins.platform import Answer, LineClient
from rattanhollow_standins.platform._client import Closed
from rattanhollow_standins.soak._fleet import KEYS, HostProcess, SoakFleet

ROUTES = ("newest", "bounded", "session")
# What a bounded route allows, as the stand-in's configuration says.
MAX_AGE_S = 1.5
ANSWER_WITHIN_S = 6.0
PAUSE_S = 0.08
PROMISES = frozenset(
    {"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}
)


class Told(NamedTuple):
    """What a caller was told of one write or commit."""

    request_id: str
    outcome: str


class Cut(NamedTuple):
    """A request whose connection ended without an answer."""

    host: int
    sent_at_s: float
    at_s: float


class Ledger:
    """What all callers were told; times are trio's."""

    def __init__(self) -> None:
        self.told: list[Told] = []
        self.cuts: list[Cut] = []
        self.stale: list[str] = []
        self.answered = 0
        self.refused = 0
        self.values: dict[str, dict[str, str]] = {}
        self.transactions: set[str] = set()
        # Acknowledged numbers of each item, with the time of acknowledgement.
        self._acknowledged: dict[str, list[tuple[float, int]]] = {}

    def acknowledge(self, item: str, number: int) -> None:
        """Note that a write was acknowledged now."""
        entry = (trio.current_time(), number)
        self._acknowledged.setdefault(item, []).append(entry)

    def least(self, item: str, before_s: float) -> int:
        """Return the newest number of an item acknowledged before a time."""
        numbers = [n for at_s, n in self._acknowledged.get(item, []) if at_s < before_s]
        return max(numbers, default=0)


class Caller:
    """One caller: one session after another, each at any host that is up."""

    def __init__(
        self, name: str, fleet: SoakFleet, ledger: Ledger, rng: random.Random
    ) -> None:
        self._name = name
        self._fleet = fleet
        self._ledger = ledger
        self._rng = rng
        self._count = 0
        self._items = 0
        self._organisation = rng.choice(sorted(KEYS))
        self._values: dict[str, str] = {}

    async def run(self) -> None:
        """Call until cancelled."""
        while True:
            host = self._rng.choice(self._fleet.hosts)
            route = self._rng.choice(ROUTES)
            client = None
            try:
                with trio.fail_after(ANSWER_WITHIN_S):
                    key = KEYS[self._organisation]
                    client = await self._fleet.client(host, route, key)
                await self._session(client, host, route)
            except (OSError, Closed, trio.TooSlowError, trio.BrokenResourceError):
                # The next session tells what became of the host.
                await trio.sleep(PAUSE_S)
            finally:
                if client is not None:
                    with trio.CancelScope(shield=True):
                        await trio.aclose_forcefully(client.stream)

    async def _session(self, client: LineClient, host: HostProcess, route: str) -> None:
        self._values = {}
        item = self._new_item()
        own = 0
        for _ in range(self._rng.randint(5, 40)):
            await trio.sleep(self._rng.uniform(0, 2 * PAUSE_S))
            step = self._rng.random()
            if step < 0.1:
                await self._set(client, host)
            elif step < 0.45:
                number = own + 1
                if await self._write(client, host, item, number, step < 0.2):
                    own = number
                else:
                    # What became of it may be open: never write there again.
                    item, own = self._new_item(), 0
            else:
                await self._read(client, host, route, item, own)

    def _new_item(self) -> str:
        self._items += 1
        return f"{self._name}.{self._items}"

    def _id(self) -> str:
        self._count += 1
        return f"{self._name}-{self._count}"

    async def _query(
        self, client: LineClient, host: HostProcess, text: str, request_id: str
    ) -> Answer:
        sent_at_s = trio.current_time()
        self._ledger.values[request_id] = dict(self._values)
        try:
            with trio.fail_after(ANSWER_WITHIN_S):
                answer = await client.query(text, request_id)
        except Closed:
            cut = Cut(host.number, sent_at_s, trio.current_time())
            self._ledger.cuts.append(cut)
            raise
        self._ledger.answered += 1
        self._ledger.refused += bool(answer.error)
        return answer

    async def _set(self, client: LineClient, host: HostProcess) -> None:
        name = self._rng.choice("ab")
        value = f"{self._name}{self._count}"
        answer = await self._query(client, host, f"SET {name} {value}", self._id())
        if answer.error:
            raise Closed(answer.error)
        self._values[name] = value

    async def _write(
        self, client: LineClient, host: HostProcess, item: str, number: int, alone: bool
    ) -> bool:
        text = f"WRITE {item} {number}"
        request_id = self._id()
        if alone:
            answer = await self._told(client, host, text, request_id, request_id)
        else:
            begun = await self._query(client, host, "BEGIN", self._id())
            if begun.error:
                return False
            self._ledger.transactions.add(request_id)
            answer = await self._query(client, host, text, request_id)
            if answer.error:
                self._note(request_id, answer)
                await self._query(client, host, "ROLLBACK", self._id())
                return False
            await trio.sleep(self._rng.uniform(0, PAUSE_S))
            answer = await self._told(client, host, "COMMIT", self._id(), request_id)
        if answer.error:
            return False
        self._ledger.acknowledge(item, number)
        return True

    async def _told(
        self,
        client: LineClient,
        host: HostProcess,
        text: str,
        request_id: str,
        write_id: str,
    ) -> Answer:
        answer = await self._query(client, host, text, request_id)
        self._note(write_id, answer)
        return answer

    def _note(self, write_id: str, answer: Answer) -> None:
        outcome = "done" if not answer.error else "open"
        if answer.error in PROMISES:
            outcome = "refused"
        self._ledger.told.append(Told(write_id, outcome))

    async def _read(
        self, client: LineClient, host: HostProcess, route: str, item: str, own: int
    ) -> None:
        sent_at_s = trio.current_time()
        answer = await self._query(client, host, f"READ {item}", self._id())
        if answer.error:
            return
        before_s = sent_at_s - (0 if route == "newest" else MAX_AGE_S)
        least = self._ledger.least(item, before_s)
        if route == "session":
            least = max(least, own)
        seen = answer.rows[0]
        if (int(seen) if seen.isdigit() else 0) < least:
            self._ledger.stale.append(
                f"{route}: {item} gave {seen}, {least} was acknowledged"
            )
