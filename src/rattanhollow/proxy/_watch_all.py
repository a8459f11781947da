"""Which groups this host watches, worked out anew when hosts come or go."""

from collections.abc import Sequence

import trio

from rattanhollow.backend import Group, Groups
from rattanhollow.coordination import ranked
from rattanhollow.membership import HostRecord
from rattanhollow.proxy._watch_primary import PrimaryWatch, WatchParts

SETTLE_S = 0.05
GROUPS_AT_ONCE = 20


def watchers_of(
    database: str, hosts: Sequence[HostRecord], count: int
) -> list[HostRecord]:
    """Return the ``count`` hosts that watch a database, spread over the zones."""
    by_name = {record.name: record for record in hosts}
    order = [by_name[name] for name in ranked(database, by_name)]
    zones: set[str] = set()
    spread: list[HostRecord] = []
    rest: list[HostRecord] = []
    for record in order:
        (rest if record.zone in zones else spread).append(record)
        zones.add(record.zone)
    return (spread + rest)[:count]


class GroupWatches:
    """Runs a `PrimaryWatch` for each group that this host is a watcher of."""

    def __init__(self, groups: Groups, parts: WatchParts) -> None:
        self._groups = groups
        self._parts = parts
        self._watches: dict[str, PrimaryWatch] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._changed = trio.Event()

    def changed(self) -> None:
        """Work out the watchers again, soon: a host or a group came or went."""
        self._changed.set()

    def find(self, database: str) -> PrimaryWatch | None:
        """Return the watch of a database, if this host is one of its watchers."""
        return self._watches.get(database)

    async def run(self) -> None:
        """Keep watching the right groups, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await self._changed.wait()
                await trio.sleep(SETTLE_S)
                self._changed = trio.Event()
                await self._work_out(nursery)

    async def _work_out(self, nursery: trio.Nursery) -> None:
        own = self._parts.own()
        hosts = [h for h in self._parts.hosts.active_hosts() if h.name != own.name]
        if not own.leaving:
            hosts.append(own)
        groups = {group.database.name: group for group in self._groups.all()}
        for name in self._watches.keys() - groups.keys():
            self._stop(name)
        for at, (name, group) in enumerate(groups.items()):
            watchers = watchers_of(name, hosts, self._parts.settings.watchers)
            if own in watchers:
                self._keep(name, group, watchers, nursery)
            else:
                self._stop(name)
            if at % GROUPS_AT_ONCE == 0:
                await trio.sleep(0)

    def _keep(
        self,
        name: str,
        group: Group,
        watchers: list[HostRecord],
        nursery: trio.Nursery,
    ) -> None:
        watch = self._watches.get(name)
        if watch is None or watch.group is not group:
            self._stop(name)
            watch = self._watches[name] = PrimaryWatch(group, self._parts)
            scope = self._scopes[name] = trio.CancelScope()
            nursery.start_soon(_run, watch, scope)
        watch.watchers = watchers

    def _stop(self, name: str) -> None:
        self._watches.pop(name, None)
        scope = self._scopes.pop(name, None)
        if scope is not None:
            scope.cancel()


async def _run(watch: PrimaryWatch, scope: trio.CancelScope) -> None:
    with scope:
        await watch.run()
