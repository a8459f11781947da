"""The hosts of a random play: callers, served databases, and a coordinator."""

import itertools
import random
from collections.abc import Awaitable, Callable
from contextvars import ContextVar
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import trio
from result import Err, Ok, Result

from play_databases import SERVICE
from rattanhollow.coordination import Position
from rattanhollow.host._watch_primaries import _covers
from rattanhollow.observe import Meter
from rattanhollow.platform import parse_status
from rattanhollow.routing import FloorCache, ServerDirectory
from rattanhollow.serving import (
    BackendAdapter,
    BackendServer,
    Command,
    Connection,
    ExchangeFailure,
    OpenFailure,
    ProofAnswer,
    Reply,
    Scope,
    ServedBackend,
    ServerStatus,
    Serving,
    Work,
    WorkKind,
    WorkOutcome,
    WorkResult,
    always_allowed,
)
from rattanhollow.statements import Reason
from rattanhollow.store import ObjectStore, Stored, StoreFailure, Trouble
from rattanhollow.succession import (
    CommandSender,
    LeaderUseChecker,
    PrimaryMonitor,
    PrimaryMonitorParts,
    ReplaceParts,
    Task,
    release_held_replica,
    replace_primary,
)
from rattanhollow_standins.platform import DatabaseServer, memory_end
from rattanhollow_standins.platform._memory import MemoryConnection

if TYPE_CHECKING:
    from promotion_play import Play

CONNECTIONS = 16
PROMOTE_TIMEOUT_S = 1.0
STALE_CLAIM_S = 2.5
# Peers that did not answer for so long are taken to be dark.
DARK_PEER_S = 1.5
# The way of a message between hosts.
PEER_S = 0.02
POLL_S = 0.05
FEED_S = 0.1

# Which host a line of the trace is of.
ACTING_HOST: ContextVar[str] = ContextVar("acting_host", default="--")


class PlayConnection:
    """A connection of a host that may be paused, over a link that may be cut."""

    def __init__(self, inner: MemoryConnection, host: "PlayHost") -> None:
        self.inner = inner
        self._host = host

    @property
    def server(self) -> DatabaseServer:
        """The server at the other end."""
        return self.inner.session.server

    @property
    def quiet(self) -> bool:
        """Whether it is open."""
        return self.inner.quiet

    def abort(self) -> None:
        """Close at once."""
        self.inner.abort()
        self._host.connections.discard(self)

    async def run(self, command: Command) -> Result[Reply, ExchangeFailure]:
        """Run one command."""
        return (await self.run_all([command])).map(lambda replies: replies[0])

    async def run_all(
        self, commands: list[Command]
    ) -> Result[list[Reply], ExchangeFailure]:
        """Run commands; what a cut holds up arrives after it."""
        await self._host.running()
        await self._host.link_open(self.server)
        exchanged = await self.inner.run_all(commands)
        await self._host.link_open(self.server)
        await self._host.running()
        return exchanged


class PlayHost:
    """One host of the fleet: callers, served databases, and a coordinator.

    ``direct`` hosts have no monitor while the faults last: they replace primaries and
    release replicas at random, by what they knew some time before.
    """

    def __init__(self, play: "Play", name: str, zone: str, direct: bool) -> None:
        self.name = name
        self.zone = zone
        self.direct = direct
        self.scope = trio.CancelScope()
        self.alive = True
        self.connections: set[PlayConnection] = set()
        self.cut_servers: dict[str, float] = {}
        self.cut_from_store = False
        self.feed_lag_s = 0.05
        self.last_done_s = -1.0
        self.last_started_done_s = -1.0
        self.rng = random.Random(f"{play.seed} {name}")
        self._play = play
        self._resumed: trio.Event | None = None
        self._started_at_s = trio.current_time()
        self._board_version = 0
        self._numbers = itertools.count(1)
        self._competing_claim = ("", 0.0)
        self._wire()

    def _wire(self) -> None:
        clock = trio.current_time
        self.directory = ServerDirectory(lambda s: Ok(s.spec["server"]), clock)
        self._memory = memory_end([self._play.group])
        backend = BackendAdapter(self._open, parse_status)
        self.store = self._build_store()
        self.leader_uses = LeaderUseChecker(
            self.store, self._is_stopped_elsewhere, self._note_claim, clock
        )
        guarded = self._play.options.guarded
        self.serving = Serving(
            backend,
            is_first=lambda server: True,
            find=self.directory.find,
            connections=lambda service: CONNECTIONS,
            idle_ms=lambda: 5_000,
            clock=clock,
            meter=Meter(),
            check_leader_use=self.leader_uses.check if guarded else always_allowed,
            may_begin_work=lambda server_id: True,
        )
        self.floors = FloorCache(self._prove, clock)
        self.parts = self._build_parts()
        self.monitor = PrimaryMonitor(self._build_monitor_parts())

    async def run(self) -> None:
        """Run until killed."""
        ACTING_HOST.set(self.name)
        self._feed_once(0.0)
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self.serving.run)
                    nursery.start_soon(self._feed)
                    nursery.start_soon(self._prove_repeatedly)
                    nursery.start_soon(self._write_repeatedly, nursery)
                    nursery.start_soon(self._coordinate)
        except* RuntimeError:
            # A killed process does not go on to start tasks.
            if self.alive:
                raise
        finally:
            self.alive = False
            for connection in list(self.connections):
                connection.abort()

    async def _coordinate(self) -> None:
        if self.direct:
            await self._coordinate_directly()
        await self.monitor.run()

    @property
    def presumed_leader(self) -> str:
        """The identifier of the server that the host takes for the primary."""
        leader = self.directory.leader(SERVICE)
        return leader.id if leader is not None else "knows no primary"

    # What may hinder the host.

    def pause(self) -> None:
        """Stop the process until it is resumed."""
        if self._resumed is None:
            self._resumed = trio.Event()

    def resume(self) -> None:
        """Let the process go on."""
        if self._resumed is not None:
            self._resumed.set()
            self._resumed = None

    async def running(self) -> None:
        """Wait until the process is not paused; a deadline does not wake it."""
        while self._resumed is not None:
            with trio.CancelScope(shield=True):
                await self._resumed.wait()

    async def link_open(self, server: DatabaseServer) -> None:
        """Wait until what is sent to a server or by it arrives."""
        group = self._play.group
        while group.servers.get(server.id) is server and (
            server.dark or server.id in self.cut_servers
        ):
            await trio.sleep(POLL_S)

    # The store.

    def _build_store(self) -> ObjectStore:
        inner = self._play.store

        async def reach(call: Callable[[], Awaitable[Any]]) -> Any:
            await self.running()
            if not self.cut_from_store:
                answer = await call()
                await self.running()
                if not self.cut_from_store:
                    return answer
            else:
                await trio.sleep(0.2)
                await self.running()
            return Err(StoreFailure(Trouble.UNREACHABLE, "cut off"))

        async def get(kind: str, name: str) -> Any:
            return await reach(lambda: inner.get(kind, name))

        async def put(kind: str, name: str, spec: dict[str, Any], version: Any) -> Any:
            return await reach(lambda: inner.put(kind, name, spec, version))

        return inner._replace(get=get, put=put)

    async def _read_members(self, service: str) -> list[BackendServer] | None:
        read = await self.store.get("servers", "-")
        if read.is_err() and read.unwrap_err().trouble is not Trouble.NOT_FOUND:
            return None
        self._feed_once(0.0)
        return self.directory.list_servers(service)

    async def _feed(self) -> None:
        """Hear of changed descriptions."""
        while True:
            await trio.sleep(FEED_S)
            down = self._play.table.faults.down
            if not down and not self.cut_from_store and self._resumed is None:
                self._feed_once(self.feed_lag_s)

    def _feed_once(self, lag_s: float) -> None:
        before_s = trio.current_time() - lag_s
        history = self._play.board.history
        if not self._board_version:
            history = history[-1:]
        for at_s, version, items in history:
            if version > self._board_version and at_s <= before_s:
                self._apply(items)
                self._board_version = version

    def _apply(self, items: dict[str, BackendServer]) -> None:
        for known in self.directory.list_servers(SERVICE):
            if known.id not in items:
                self.directory.apply_description(None, known.id)
        for name, item in items.items():
            stored = Stored("servers", name, item.version, {"server": item})
            self.directory.apply_description(stored, name)

    # Whether the primary may be used.

    async def _is_stopped_elsewhere(self, service: str) -> bool | None:
        answers: list[bool] = []

        async def ask(other: PlayHost) -> None:
            answers.append(other.leader_uses.is_stopped(service))

        await self._ask_all(self._lit_hosts(), ask, 0.25)
        return any(answers) if answers else None

    async def _stop_leader_use(
        self, service: str, token: int, gives_up_writes: bool
    ) -> bool:
        if not self._play.options.guarded:
            return True
        answered: set[str] = set()

        async def stop(host: PlayHost) -> None:
            host.leader_uses.stop(service, token)
            for served in host.serving.served():
                served.stop_leader_use()
                if gives_up_writes:
                    served.give_up_writes()

        await stop(self)
        others = [host for host in self._play.hosts if host is not self]
        await self._ask_all(others, stop, 0.25, answered)
        return answered == {host.name for host in others}

    async def _tell_over(self, service: str, token: int) -> None:
        self.leader_uses.note_over(service, token)
        for other in self._lit_hosts():
            if not self._play.is_peer_cut(self, other):
                other.leader_uses.note_over(service, token)

    def _note_claim(self, service: str, claim_id: str) -> None:
        self.monitor.note_competing_claim(service, claim_id)
        if self._competing_claim[0] != claim_id:
            self._competing_claim = (claim_id, trio.current_time())

    # The databases.

    async def _open(
        self, server: BackendServer, organisation: str
    ) -> Result[Connection, OpenFailure]:
        await self.running()
        database = self._play.group.servers.get(server.id)
        if database is not None:
            await self.link_open(database)
        opened = await self._memory.open(server, organisation)
        if opened.is_err():
            return opened
        inner = opened.unwrap()
        assert isinstance(inner, MemoryConnection)
        connection = PlayConnection(inner, self)
        self.connections.add(connection)
        await self.link_open(connection.server)
        await self.running()
        return Ok(connection)

    async def _run_command(
        self, target: BackendServer, command: Command, timeout_s: float
    ) -> Reply | None:
        served = self.serving.serve(target.id)
        return None if served is None else await served.command(command, timeout_s)

    async def _prove(self, service: str) -> ProofAnswer:
        leader = self.directory.leader(service)
        if leader is None:
            return ProofAnswer(None, "no primary is known")
        answer = await self.serving.prove(leader.id)
        if answer.position is not None:
            self.directory.record_leader_proof(service, leader.id)
        elif answer.denied:
            self.directory.record_leader_denial(leader.id)
        return answer

    async def _prove_repeatedly(self) -> None:
        while True:
            await trio.sleep(0.5)
            await self.floors.request_proof(SERVICE)

    # The callers.

    async def _write_repeatedly(self, nursery: trio.Nursery) -> None:
        while True:
            await trio.sleep(self.rng.uniform(0.1, 0.4))
            nursery.start_soon(self._write)

    async def _write(self) -> None:
        leader = self.directory.leader(SERVICE)
        if leader is None:
            return
        started_at_s = trio.current_time()
        name = f"{self.name}-{next(self._numbers)}"
        in_transaction = self.rng.random() < 0.3
        pause_s = self.rng.uniform(0.0, 0.5)
        work = Work(
            server=leader.id,
            organisation="kirk",
            request_id=name,
            kind=WorkKind.WRITE,
            scope=Scope.BEGIN if in_transaction else Scope.ALONE,
            text="WRITE item 1",
            transaction=name if in_transaction else "",
            budget_ms=2_000,
        )
        result = await self._run_work(work, leader)
        if in_transaction and result.outcome is WorkOutcome.DONE:
            await trio.sleep(pause_s)
            commit = work._replace(
                kind=WorkKind.COMMIT,
                scope=Scope.WITHIN,
                text="COMMIT",
                request_id=f"{name}c",
            )
            result = await self._run_work(commit, leader)
        if result.outcome is WorkOutcome.DONE:
            self._play.done[name] = trio.current_time()
            self.last_done_s = trio.current_time()
            self.last_started_done_s = max(self.last_started_done_s, started_at_s)

    async def _run_work(self, work: Work, leader: BackendServer) -> WorkResult:
        requested_at_s = trio.current_time()
        result = await self.serving.run_work(work)
        if result.led and result.position is not None:
            self.floors.record_position(SERVICE, requested_at_s, result.position)
            self.directory.record_leader_proof(SERVICE, leader.id)
        elif result.reason is Reason.NOT_LEADER:
            self.directory.record_leader_denial(leader.id)
        return result

    # Replacing the primary.

    def _build_parts(self) -> ReplaceParts:
        def covers(
            server: BackendServer, status: ServerStatus, last_leader: str
        ) -> bool:
            watched: Any = SimpleNamespace(directory=self.directory, floors=self.floors)
            received: Position = status.received
            return _covers(server, received, last_leader, watched)

        def set_switching(server: BackendServer, on: bool) -> None:
            served = self.serving.serve(server.id) if self.alive else None
            if served is not None:
                served.switching = on

        def note_replaced(service: str, leader: str) -> None:
            self.directory.record_leader_proof(service, leader)

        return ReplaceParts(
            store=self.store,
            command_sender=CommandSender(self._run_command, parse_status),
            promote=self._promote,
            holder=self.name,
            is_log_complete=covers,
            read_members=self._read_members,
            known_members=self.directory.list_servers,
            note_competing_claim=self._note_claim,
            note_replaced=note_replaced,
            note_pending_orders=lambda service: self.monitor.note_pending_orders(
                service
            ),
            set_switching=set_switching,
            stop_leader_use=self._stop_leader_use,
            tell_over=self._tell_over,
            clock=trio.current_time,
        )

    def _build_monitor_parts(self) -> PrimaryMonitorParts:
        def read(of: Callable[[ServedBackend], Any], otherwise: Any) -> Any:
            def read_served(server: BackendServer) -> Any:
                served = self.serving.serve(server.id)
                return otherwise if served is None else of(served)

            return read_served

        def lagging() -> list[tuple[BackendServer, float]]:
            # Reads that need the newest commit would find these lagging.
            needed = self.floors.cached_position(SERVICE, trio.current_time() - 2.0)
            databases = self._play.group.servers
            return [
                (served.server, 2.0)
                for served in self.serving.served()
                if self._is_responsible(SERVICE)
                and needed is not None
                and served.server.id in databases
                and databases[served.server.id].applied_end < needed
            ]

        return PrimaryMonitorParts(
            services=lambda: [SERVICE],
            sync_replica_count=lambda service: 1,
            servers=self.directory.list_servers,
            leader=self.directory.leader,
            is_missing=lambda server: self.directory.is_missing(server.id),
            is_responsible=self._is_responsible,
            suspected_s=read(lambda served: served.suspected_s, 0.0),
            is_unreachable=read(lambda served: not served.reachable, False),
            promotion_pending_s=read(lambda served: served.leader_pending_s, 0.0),
            oldest_commit_wait_s=read(lambda served: served.stuck_s, 0.0),
            lagging_replicas=lagging,
            query_reachability=self._query_reachability,
            announce=self._announce,
            clock=trio.current_time,
            replace_parts=self.parts,
        )

    def _is_responsible(self, service: str) -> bool:
        return all(other.name >= self.name for other in self._lit_hosts())

    def _lit_hosts(self) -> list["PlayHost"]:
        now_s = trio.current_time()
        return [
            other
            for other in self._play.hosts
            if other is not self
            and other.alive
            and now_s - self._play.peer_cut_since_s(self, other) < DARK_PEER_S
        ]

    async def _query_reachability(self, server: BackendServer) -> bool | None:
        answers: list[bool] = []
        lit = self._lit_hosts()

        async def check(other: PlayHost) -> None:
            served = other.serving.serve(server.id)
            answers.append(served is not None and await served.check_reachable())

        await self._ask_all(lit, check, 0.8)
        if any(answers):
            return True
        return None if lit and not answers else False

    async def _ask_all(
        self,
        others: list["PlayHost"],
        question: Callable[["PlayHost"], Awaitable[None]],
        timeout_s: float,
        names_answered: set[str] | None = None,
    ) -> None:
        """Ask other hosts; a paused one gets the question when it is resumed."""
        await self.running()

        async def ask(other: PlayHost) -> None:
            answered = trio.Event()
            with trio.move_on_after(timeout_s):
                await trio.sleep(PEER_S)
                if not self._play.is_peer_cut(self, other):
                    self._play.nursery.start_soon(
                        other.handle, question, answered, self
                    )
                await answered.wait()
                await trio.sleep(PEER_S)
                if names_answered is not None:
                    names_answered.add(other.name)

        async with trio.open_nursery() as nursery:
            for other in others:
                nursery.start_soon(ask, other)
        await self.running()

    async def handle(
        self,
        question: Callable[["PlayHost"], Awaitable[None]],
        answered: trio.Event,
        asker: "PlayHost",
    ) -> None:
        """Handle another host's question."""
        ACTING_HOST.set(self.name)
        await self.running()
        if not self.alive:
            return
        await question(self)
        if not self._play.is_peer_cut(self, asker):
            answered.set()

    async def _announce(self, server: BackendServer) -> None:
        for other in self._lit_hosts():
            if not self._play.is_peer_cut(self, other):
                other.directory.record_leader_proof(SERVICE, server.id)
        self.directory.record_leader_proof(SERVICE, server.id)

    async def _promote(
        self, service: str, target: str, holder: str, token: int
    ) -> Result[int, str]:
        await self.running()
        answer: Result[int, str] = Err("no answer")
        with trio.move_on_after(PROMOTE_TIMEOUT_S):
            answer = Ok(await self._play.order(target, holder, token))
        await self.running()
        return answer

    async def _coordinate_directly(self) -> None:
        for number in itertools.count():
            await trio.sleep(self.rng.uniform(0.5, 5.0))
            if self._play.faults_over:
                return
            leader = self.directory.leader(SERVICE)
            served = self.serving.serve(leader.id) if leader is not None else None
            reachable = served is not None and served.suspected_s <= 0
            if self.rng.random() < 0.4:
                await trio.sleep(self.rng.choice([0.5, 1.0, 3.0, 6.0]))
            killed_after_s = self.rng.uniform(0.02, 2.5)
            if self.rng.random() < 0.4:
                self._play.nursery.start_soon(self._play.kill, self, killed_after_s)
            await self._act_directly(f"{self.name} {number}", leader, reachable)

    async def _act_directly(
        self, claim_id: str, leader: BackendServer | None, reachable: bool
    ) -> None:
        seen_claim, seen_at_s = self._competing_claim
        stale = trio.current_time() - seen_at_s >= STALE_CLAIM_S
        task = Task(
            service=SERVICE,
            sync_replica_count=1,
            old_leader=leader,
            reachable=reachable,
            claim_id=claim_id,
            stale_claim_id=seen_claim if stale else "",
        )
        members = self.directory.list_servers(SERVICE)
        self._play.note(f"{self.name} acts directly: {leader and leader.id}")
        if self.rng.random() < 0.25 and members:
            released = self.rng.choice(members)
            await release_held_replica(task, released, self.parts)
            return
        if leader is not None:
            self.parts.set_switching(leader, True)
        try:
            replaced = await replace_primary(task, self.parts)
        finally:
            if leader is not None:
                self.parts.set_switching(leader, False)
        if replaced.is_ok():
            await self._announce(replaced.unwrap())
