"""A small fleet in one process: store, one database group, proxies.

Used by the demonstration, the tests and the benchmarks.
"""

import random
from collections.abc import Sequence
from functools import partial
from typing import NamedTuple

import trio

from rattanhollow.configuration import (
    Organisation,
    apply_note,
    digest_of,
    read_note,
)
from rattanhollow.coordination import Step
from rattanhollow.proxy import ALL_GUARDS, Guards, Proxy, build_proxy
from rattanhollow.settings import ProxySettings, proxy_settings_from
from rattanhollow.store import ObjectStore, http_store
from rattanhollow_standins.client import Place
from rattanhollow_standins.database import DatabaseGroup, GroupTiming, MemberPlace
from rattanhollow_standins.store import ObjectTable, serve_store

ZONES = ("lothian", "tayside", "highland")
DATABASE = "bookings"
ORGANISATION = "kirk"
KEY = "demonstration-key-0123456789abcdef"
BACKEND_PASSWORD = "backend-password"
STORE_TIMEOUT_MS = 1_000
READY_POLL_S = 0.02


class Addresses(NamedTuple):
    """The loopback addresses of a fleet; ``net`` keeps fleets apart."""

    net: int

    def store(self) -> str:
        """Return the address of the store."""
        return f"127.{self.net}.0.1"

    def member(self, number: int) -> str:
        """Return the address of a member of the database group."""
        return f"127.{self.net}.2.{number + 1}"

    def proxy(self, number: int) -> str:
        """Return the address of a proxy."""
        return f"127.{self.net}.1.{number + 1}"


STORE_PORT = 7_070
MEMBER_PORT = 5_432
CALLER_PORT = 6_432


class Fleet:
    """The parts of a fleet; `run` runs them until cancelled.

    ``overrides`` are settings of the proxies by section and key; ``step_hook``
    is called behind each step of an election with database and step, while
    ``coordinator`` is the number of the proxy that took it.
    """

    def __init__(
        self,
        net: int,
        proxies: int = 3,
        seed: int = 1,
        guards: Guards = ALL_GUARDS,
        timing: GroupTiming = GroupTiming(),
        overrides: dict[str, dict[str, str]] | None = None,
        organisations: Sequence[Organisation] = (Organisation(ORGANISATION),),
    ) -> None:
        self.addresses = Addresses(net)
        self.table = ObjectTable()
        places = [
            MemberPlace(f"m{n}", self.addresses.member(n), MEMBER_PORT, ZONES[n % 3])
            for n in range(3)
        ]
        self.group = DatabaseGroup(DATABASE, places, BACKEND_PASSWORD, timing)
        self.proxies: dict[int, Proxy] = {}
        self.step_hook = _no_hook
        self.coordinator = -1
        self._guards = guards
        self._seed = seed
        self._rng = random.Random(seed)
        self._count = proxies
        self._overrides = overrides or {}
        self._organisations = organisations
        self._scopes: dict[int, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None

    @property
    def url(self) -> str:
        """The store's address as a URL."""
        return f"http://{self.addresses.store()}:{STORE_PORT}"

    def store(self) -> ObjectStore:
        """Return an operator's access to the store."""
        return http_store(self.url, STORE_TIMEOUT_MS)

    def place(
        self, number: int, key: str = KEY, organisation: str = ORGANISATION
    ) -> Place:
        """Return where to log in at a proxy."""
        address = self.addresses.proxy(number)
        return Place(address, CALLER_PORT, organisation, key, DATABASE)

    def url_of(self, number: int) -> str:
        """Return the connection string of a proxy."""
        place = self.place(number)
        login = f"{place.user}:{place.password}"
        return f"postgresql://{login}@{place.address}:{place.port}/{place.database}"

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Run everything; started once a primary is known to all proxies."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            address = self.addresses.store()
            await nursery.start(serve_store, self.table, address, STORE_PORT)
            await nursery.start(self.group.run)
            applied = await apply_note(
                self.store(), read_note("first.ini", self.first_note()), "fleet"
            )
            applied.unwrap()
            for number in range(self._count):
                await self.start_proxy(number)
            await self.wait_for_primary()
            task_status.started()
            await trio.sleep_forever()

    async def start_proxy(self, number: int) -> None:
        """Start a proxy, or start it again under the same address."""
        assert self._nursery is not None
        await self._nursery.start(self._run_proxy, number)

    def kill_proxy(self, number: int) -> None:
        """End a proxy at once, with all its connections."""
        self._scopes[number].cancel()

    async def wait_for_primary(self) -> None:
        """Return once all proxies agree with the group on who leads."""
        while True:
            leading = self.group.primary
            seen = {proxy_primary(proxy) for proxy in self.proxies.values()}
            if leading is not None and seen == {leading.name}:
                return
            await trio.sleep(READY_POLL_S)

    async def _run_proxy(
        self,
        number: int,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        with trio.CancelScope() as scope:
            self._scopes[number] = scope
            proxy = build_proxy(
                self.settings(number),
                guards=self._guards,
                seed=self._seed * 1_000 + number,
                step_hook=partial(self._step, number),
            )
            self.proxies[number] = proxy
            await proxy.run(task_status=task_status)
        self.proxies.pop(number, None)

    async def _step(self, number: int, database: str, step: Step) -> None:
        self.coordinator = number
        await self.step_hook(database, step)

    def settings(self, number: int) -> ProxySettings:
        """Return the settings of a proxy."""
        sections: dict[str, dict[str, str]] = {
            "host": {
                "name": f"proxy-{number}",
                "address": self.addresses.proxy(number),
                "zone": ZONES[number % 3],
            },
            "listen": {"port": str(CALLER_PORT)},
            "store": {"url": self.url},
            "backend": {"user": "rattanhollow", "password": BACKEND_PASSWORD},
        }
        for section, values in self._overrides.items():
            sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines.extend(f"{key} = {value}" for key, value in values.items())
        return proxy_settings_from(f"proxy-{number}.ini", "\n".join(lines))

    def first_note(self) -> str:
        """Return the release note that sets up the organisations and a database."""
        members = ", ".join(
            f"{m.name}={m.address}:{m.port}@{m.zone}"
            for m in self.group.members.values()
        )
        return "\n".join(
            [
                "[note]",
                "id = first",
                "base = 0",
                "operator = fleet",
                *(_sections(item) for item in self._organisations),
                f"[add database {DATABASE}]",
                f"members = {members}",
            ]
        )


def _sections(organisation: Organisation) -> str:
    """Return the sections of a note that add an organisation and its key."""
    name = organisation.name
    return "\n".join(
        [
            f"[add organisation {name}]",
            f"scope = {organisation.scope.value}",
            f"max_age_ms = {organisation.max_age_ms}",
            f"rate_per_s = {organisation.rate_per_s}",
            f"burst = {organisation.burst}",
            f"[add key {name}/desk]",
            f"digest = {digest_of(KEY)}",
        ]
    )


def proxy_primary(proxy: Proxy) -> str:
    """Return who leads as far as a proxy knows."""
    group = proxy.groups.get(DATABASE)
    return group.state.primary if group is not None else ""


async def _no_hook(database: str, step: Step) -> None:
    """Do nothing behind an election step."""
