"""The databases of a random play, and their descriptions in the store."""

from typing import TYPE_CHECKING

import trio

from rattanhollow.serving import BackendServer
from rattanhollow.store import NO_REVISION, Revision
from rattanhollow_standins.platform import DatabaseServer, ServiceGroup
from rattanhollow_standins.platform._group import Entry

if TYPE_CHECKING:
    from promotion_play import Play

SERVICE = "bookings"


class PlayGroup(ServiceGroup):
    """A group whose crashed servers neither send nor acknowledge; notes events."""

    def __init__(self, servers: list[DatabaseServer], play: "Play") -> None:
        super().__init__(SERVICE, servers, play.nursery)
        self.crashed: set[DatabaseServer] = set()
        # The primary, also after it has stopped.
        self.last_leader = servers[0]
        self._play = play

    async def commit(self, server: DatabaseServer, writes: list[Entry]) -> bool:
        """Note which servers held what was acknowledged."""
        committed = await super().commit(server, writes)
        if committed:
            ids = [entry.request_id for entry in writes]
            own = [e for e in server.log if e.request_id == ids[-1]]
            holders = [
                replica.id
                for replica in self.servers.values()
                if replica is not server and replica.end >= own[-1].position
            ]
            self._play.note(f"acknowledged {ids} at {server.id}, held by {holders}")
        return committed

    def promote_now(self, target: DatabaseServer) -> None:
        """Note the promotion, and what it loses."""
        self.last_leader = target
        lost = len(self.lost)
        ends = {s.id: f"{s.end}" for s in self.servers.values()}
        super().promote_now(target)
        missing = [entry.request_id for entry in self.lost[lost:]]
        self._play.note(f"PROMOTED {target.id}, logs were {ends}, LOST {missing}")

    def hold(self, server: DatabaseServer, term: int) -> None:
        """Note the command."""
        super().hold(server, term)
        self._play.note(f"{server.id} told to hold at {term}: {server.held_term}")

    def let_go(self, server: DatabaseServer) -> None:
        """Note the command."""
        self._play.note(f"{server.id} receives again, was held at {server.held_term}")
        super().let_go(server)

    def step_down(self, server: DatabaseServer, term: int) -> None:
        """Note the command."""
        if server not in self.crashed:
            super().step_down(server, term)
        self._play.note(f"{server.id} told to step down at {term}: {server.leads}")

    def crash(self, server: DatabaseServer, keeps_log: bool = True) -> None:
        """Stop a server, and what it sends."""
        super().crash(server, keeps_log)
        self.crashed.add(server)
        self._play.note(f"{server.id} crashed, leads {server.leads} {server.end}")

    def return_as(self, server: DatabaseServer, id: str) -> DatabaseServer:
        """Start a crashed server again, under the same or another identifier."""
        returned = super().return_as(server, id)
        self.crashed.discard(server)
        if server is self.last_leader:
            self.last_leader = returned
        leads = returned.leads
        self._play.note(f"{server.id} back as {id}, leads {leads} {returned.end}")
        return returned

    async def _ship(
        self, source: DatabaseServer, replica: DatabaseServer, term: int
    ) -> None:
        if source not in self.crashed and replica not in self.crashed:
            await super()._ship(source, replica, term)


class Board:
    """The descriptions of the databases in the store, with their history."""

    def __init__(self) -> None:
        self.version = 0
        self.items: dict[str, BackendServer] = {}
        self.history: list[tuple[float, int, dict[str, BackendServer]]] = []
        # When a database may be described first, and when it fell silent.
        self.unlisted_until_s: dict[DatabaseServer, float] = {}
        self.silent_since_s: dict[str, float] = {}
        self.expires_after_s = 3.0

    def update(self, play: "Play") -> None:
        """Describe what the databases say of themselves now."""
        now_s = trio.current_time()
        speaking: set[str] = set()
        for database in play.group.servers.values():
            listed = now_s >= self.unlisted_until_s.get(database, 0.0)
            if not listed or database in play.group.crashed:
                continue
            if database.dark and database not in play.dark_with_store:
                speaking.add(database.id)
                continue
            speaking.add(database.id)
            self._describe(database, now_s)
        for name in list(self.items):
            if name in speaking:
                self.silent_since_s.pop(name, None)
                continue
            since_s = self.silent_since_s.setdefault(name, now_s)
            if now_s - since_s >= self.expires_after_s:
                self.remove(name)

    def remove(self, name: str) -> None:
        """Remove a description."""
        self.silent_since_s.pop(name, None)
        if self.items.pop(name, None) is not None:
            self._keep(trio.current_time())

    def _describe(self, database: DatabaseServer, now_s: float) -> None:
        previous = self.items.get(database.id)
        version = previous.version if previous is not None else NO_REVISION
        described = describe(database, version)
        if described != previous:
            revision = Revision(self.version + 1)
            self.items[database.id] = described._replace(version=revision)
            self._keep(now_s)

    def _keep(self, now_s: float) -> None:
        self.version += 1
        self.history.append((now_s, self.version, dict(self.items)))


def describe(database: DatabaseServer, version: Revision) -> BackendServer:
    """Return the store's description of a database."""
    return BackendServer(
        id=database.id,
        service=SERVICE,
        address="10.0.0.1",
        port=1,
        zone=database.zone,
        slots=database.slot_count,
        draining=database.draining,
        leads=database.leads,
        cold_ms=0,
        born_ms=database.born_ms,
        version=version,
    )
