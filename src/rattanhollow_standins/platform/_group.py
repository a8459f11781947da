"""A group of line databases: terms, logs, sync replication, promotion, faults."""

from collections.abc import Callable
from typing import NamedTuple

import trio

from rattanhollow.coordination import Position

NET_S = 0.001


class Unanswered(Exception):
    """The connection stays open and says nothing any more."""


class Entry(NamedTuple):
    """One committed write."""

    position: Position
    item: str
    data: str
    request_id: str


class Run(NamedTuple):
    """A statement that a server ran, with what it was told of the session.

    ``at_s`` is trio's time.
    """

    request_id: str
    text: str
    organisation: str
    values: dict[str, str]
    in_transaction: bool
    position: Position
    at_s: float


class DatabaseServer:
    """One database; the faults are switched on and off by tests.

    ``dark`` answers nothing, ``deaf`` receives nothing from its primary,
    ``lose_answers`` counts the next answers that are lost, ``refuse`` is an
    error code that all statements get, ``late_orders_s`` makes orders
    unanswered and carried out so much later.
    """

    def __init__(self, id: str, zone: str, slots: int = 3) -> None:
        self.id = id
        self.zone = zone
        self.slots = trio.CapacityLimiter(slots)
        self.slot_count = slots
        self.leads = False
        self.term = 1
        self.held_term = 0
        self.born_ms = 1
        self.log: list[Entry] = []
        self.applied = 0
        self.lag_s = 0.0
        self.work_s = 0.0
        self.open_s = 0.0
        self.max_connections = 20
        self.connections = 0
        self.refused = 0
        self.opened = 0
        self.most_at_once = 0
        self.dark = False
        self.deaf = False
        self.draining = False
        self.lose_answers = 0
        self.late_orders_s = 0.0
        self.refuse = ""
        self.runs: list[Run] = []

    @property
    def end(self) -> Position:
        """The end of the log that was received."""
        return self.log[-1].position if self.log else Position(1, 0)

    @property
    def applied_end(self) -> Position:
        """How far reads see."""
        if not self.applied:
            return Position(1, 0)
        return self.log[min(self.applied, len(self.log)) - 1].position

    def read(self, item: str) -> str:
        """Return what reads see of an item."""
        written = [e.data for e in self.log[: self.applied] if e.item == item]
        return written[-1] if written else "-"


class ServiceGroup:
    """The servers of one service; the first leads.

    ``order_delay_s(kind)`` is asked for each order to a server, and with "PROMOTE" for
    each one to promote: it is left unanswered and carried out so much later.
    """

    def __init__(
        self,
        name: str,
        servers: list[DatabaseServer],
        nursery: trio.Nursery,
        sync: int = 1,
        promote_s: float = 0.2,
    ) -> None:
        self.name = name
        self.servers = {server.id: server for server in servers}
        self.sync = sync
        self.promote_s = promote_s
        self.term = 1
        self.acknowledged: list[Entry] = []
        self.lost: list[Entry] = []
        self.promotions: list[str] = []
        self.order_delay_s: Callable[[str], float] = lambda kind: 0.0
        self._nursery = nursery
        self._received = trio.Event()
        servers[0].leads = True

    @property
    def leader(self) -> DatabaseServer | None:
        """The server that leads."""
        return next((s for s in self.servers.values() if s.leads), None)

    async def commit(self, server: DatabaseServer, writes: list[Entry]) -> bool:
        """Append writes and wait until enough replicas received them.

        False where the server lost the lead before.
        """
        term = self.term
        end = server.end.offset
        entries = [
            entry._replace(position=Position(term, end + n + 1))
            for n, entry in enumerate(writes)
        ]
        server.log += entries
        server.applied = len(server.log)
        for replica in self.servers.values():
            if replica is not server:
                self._nursery.start_soon(self._ship, server, replica, term)
        while self._holders(entries[-1].position) < self.sync:
            await self._received.wait()
            if not server.leads or self.term != term:
                return False
        self.acknowledged += entries
        return True

    def promote_now(self, target: DatabaseServer) -> None:
        """Make a server lead the next term with what it had received."""
        self.term += 1
        self.promotions.append(target.id)
        known = set(target.log)
        self.lost += [e for e in self.acknowledged if e not in known]
        for server in self.servers.values():
            server.leads = server is target
            server.held_term = 0
            common = [e for e in server.log if e in known]
            server.log = common
            server.applied = min(server.applied, len(common))
        target.term = self.term
        target.applied = len(target.log)
        self._tell()
        for replica in self.servers.values():
            if replica is not target:
                self._nursery.start_soon(self._ship, target, replica, self.term)

    async def promote(self, target: DatabaseServer) -> None:
        """Promote as the platform does: some time after it was accepted.

        What counts is whether the target leads then, not when the order was accepted.
        """
        await trio.sleep(self.promote_s)
        present = self.servers.get(target.id) is target
        if present and not target.dark and not target.leads:
            self.promote_now(target)

    def hold(self, server: DatabaseServer, term: int) -> None:
        """Make a replica stop receiving, where ``term`` is a new one."""
        if not server.leads and term > self.term:
            server.held_term = max(server.held_term, term)

    def let_go(self, server: DatabaseServer) -> None:
        """Let a replica receive again."""
        server.held_term = 0
        if self.leader is not None:
            self._nursery.start_soon(self._ship, self.leader, server, self.term)

    def step_down(self, server: DatabaseServer, term: int) -> None:
        """Make a primary of a lower term a replica."""
        if server.leads and server.term < term:
            server.leads = False
            self._tell()

    def crash(self, server: DatabaseServer, keeps_log: bool = True) -> None:
        """Stop a server; without its log it starts under the same identifier."""
        server.dark = True
        if not keeps_log:
            server.log, server.applied = [], 0
            server.born_ms += 1

    def return_as(self, server: DatabaseServer, id: str) -> DatabaseServer:
        """Start a crashed server again under another identifier, with its log.

        It isn't held. It leads if the crashed one had not stepped down, and no other
        server was promoted meanwhile.
        """
        returned = DatabaseServer(id, server.zone, server.slot_count)
        returned.leads, returned.term = server.leads, server.term
        returned.log, returned.applied = list(server.log), len(server.log)
        returned.born_ms = server.born_ms + 1
        del self.servers[server.id]
        self.servers[id] = returned
        server.leads = False
        self._tell()
        leader = self.leader
        if leader is not None:
            replicas = self.servers.values() if leader is returned else [returned]
            for replica in replicas:
                if replica is not leader:
                    self._nursery.start_soon(self._ship, leader, replica, self.term)
        return returned

    def restart(self, server: DatabaseServer) -> None:
        """Start a replica again under its identifier, which ends a hold."""
        server.born_ms += 1
        server.dark = False
        self.let_go(server)

    def _holders(self, position: Position) -> int:
        return sum(
            not server.leads and server.end >= position
            for server in self.servers.values()
        )

    async def _ship(
        self, source: DatabaseServer, replica: DatabaseServer, term: int
    ) -> None:
        await trio.sleep(NET_S)
        current = source.leads and self.term == term
        if not current or replica.held_term or replica.deaf or replica.dark:
            return
        if len(replica.log) < len(source.log):
            replica.log = list(source.log)
            replica.term = term
            self._tell()
        end = len(replica.log)
        await trio.sleep(replica.lag_s)
        replica.applied = max(replica.applied, min(end, len(replica.log)))

    def _tell(self) -> None:
        self._received.set()
        self._received = trio.Event()


class ServerSession:
    """One connection to a server: its transaction, values and prepared names."""

    def __init__(self, group: ServiceGroup, server: DatabaseServer, who: str) -> None:
        self.group = group
        self.server = server
        self.who = who
        self.state = "I"
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[str, str]] = {}
        self._read_only = False
        self._term = 0
        self._writes: list[Entry] = []

    async def query(self, request_id: str, text: str) -> list[str]:
        """Run one statement and return the lines of its answer.

        Raises:
            Unanswered: it gets no answer, and nor does what follows.

        """
        if self.server.dark:
            raise Unanswered
        lines = await self._run(request_id, text)
        if self.server.dark:
            raise Unanswered
        if self.server.lose_answers and request_id != "-":
            self.server.lose_answers -= 1
            raise Unanswered
        end = self.server.end if self.server.leads else self.server.applied_end
        return [*lines, f"READY {self.state} {end.term}.{end.offset}"]

    async def _run(self, request_id: str, text: str) -> list[str]:
        floor = None
        if text.startswith("SINCE "):
            _, at, text = text.split(" ", 2)
            term, number = at.split(".")
            floor = Position(int(term), int(number))
        word, _, rest = text.partition(" ")
        if word in ("STATUS", "SUSPEND", "RESUME", "STEPDOWN"):
            return await self._order(word, rest)
        if word == "RESET":
            self.values.clear()
            self.prepared.clear()
            return ["COMPLETE -"]
        if word == "ROLLBACK":
            self.state, self._writes = "I", []
            return ["COMPLETE -"]
        if self.state == "E":
            return self._error("MALFORMED")
        if self.server.refuse and word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
            return self._error(self.server.refuse)
        if floor is not None and self.server.applied_end < floor:
            return self._error("LAGGING")
        if word == "BEGIN":
            return self._begin(read_only=rest == "READ")
        if word == "SET":
            name, _, value = rest.partition(" ")
            self.values[name] = value
            return ["COMPLETE -"]
        if word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            self.prepared[name] = (kind, shape)
            return ["COMPLETE -"]
        return await self._statement(request_id, word, rest, text)

    async def _order(self, word: str, rest: str) -> list[str]:
        if word != "STATUS":
            late_s = self.server.late_orders_s or self.group.order_delay_s(word)
            if late_s:
                self.group._nursery.start_soon(self._later, late_s, word, rest)
                raise Unanswered
        self._carry_out(word, rest)
        server = self.server
        role = "primary" if server.leads else "replica"
        end = server.end
        row = f"{role} {self.group.term} {end.term}.{end.offset} {server.held_term}"
        return [f"ROW {row} 0 0 {server.connections}", "COMPLETE -"]

    async def _later(self, late_s: float, word: str, rest: str) -> None:
        await trio.sleep(late_s)
        self._carry_out(word, rest)

    def _carry_out(self, word: str, rest: str) -> None:
        if word == "SUSPEND":
            self.group.hold(self.server, int(rest))
        elif word == "RESUME":
            self.group.let_go(self.server)
        elif word == "STEPDOWN":
            self.group.step_down(self.server, int(rest))

    def _begin(self, read_only: bool) -> list[str]:
        if not read_only and not self.server.leads:
            return self._error("READONLY")
        self.state = "T"
        self._read_only = read_only
        self._term = self.group.term
        return ["COMPLETE -"]

    async def _statement(
        self, request_id: str, word: str, rest: str, text: str
    ) -> list[str]:
        kind, item, data = word, rest, ""
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self.prepared:
                return self._error("NOSTMT")
            kind, shape = self.prepared[name]
            text = f"{kind} {shape} {rest}"
        if kind == "WRITE":
            item, _, data = rest.partition(" ")
        elif kind == "READ":
            item = rest
        if self._must_not_run(kind):
            return self._error("READONLY")
        async with self.server.slots:
            busy = int(self.server.slots.borrowed_tokens)
            self.server.most_at_once = max(self.server.most_at_once, busy)
            await trio.sleep(self.server.work_s)
            # The lead may have been lost while the statement waited for its slot.
            if self._must_not_run(kind):
                return self._error("READONLY")
            return await self._work(request_id, kind, item, data, text)

    def _must_not_run(self, kind: str) -> bool:
        """Whether the statement needs a lead that the server doesn't have."""
        plain = self.state == "T" and not self._read_only
        deposed = plain and (not self.server.leads or self._term != self.group.term)
        if deposed and not (kind == "COMMIT" and not self._writes):
            return True
        read_only = self.state == "T" and self._read_only
        return kind == "WRITE" and (read_only or not self.server.leads)

    async def _work(
        self, request_id: str, kind: str, item: str, data: str, text: str
    ) -> list[str]:
        server = self.server
        inside = self.state == "T"
        run = Run(
            request_id,
            text,
            self.who,
            dict(self.values),
            inside,
            server.applied_end,
            trio.current_time(),
        )
        server.runs.append(run)
        proof = f"COMPLETE {server.id}.{request_id}"
        if kind == "READ":
            return [f"ROW {server.read(item)}", proof]
        if kind == "WRITE":
            entry = Entry(Position(0, 0), item, data, request_id)
            if inside:
                self._writes.append(entry)
                return [proof]
            committed = await self.group.commit(server, [entry])
            return [proof] if committed else self._error("INDOUBT")
        writes, self._writes = self._writes, []
        self.state = "I"
        if writes and not await self.group.commit(server, writes):
            return ["ERROR INDOUBT -"]
        return [proof]

    def _error(self, code: str) -> list[str]:
        if self.state == "T":
            self.state = "E"
        return [f"ERROR {code} {self.server.id}"]
