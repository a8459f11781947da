"""A host's view of one database group: who leads, and the pools to reach it."""

import random
import time
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import trio
from result import Err, Ok, Result

from rattanhollow.backend._commands import confirm_command, lead_command
from rattanhollow.backend._connection import (
    BackendConnection,
    Credentials,
    open_connection,
)
from rattanhollow.backend._pool import Pool
from rattanhollow.configuration import Database, Member
from rattanhollow.coordination import (
    NO_GROUP,
    ORIGIN,
    GroupState,
    Position,
    ReadIndex,
    parse_position,
)
from rattanhollow.observe import log_event
from rattanhollow.pgwire import Watchdog, error_fields, rows_as_text
from rattanhollow.verdict import Refusal, not_run

ANSWER_ALLOWANCE_MS = 200
AVOID_LOW_S = 0.5
BEHIND_PAUSE_S = 1.0
AVOID_HIGH_S = 5.0


class PoolSettings(NamedTuple):
    """How the pools of a group are built."""

    credentials: Credentials
    watchdog: Watchdog
    connections: int
    probe_after_idle_ms: int
    lead_timeout_ms: int
    confirm_timeout_ms: int


class Avoided(NamedTuple):
    """A member that reads stay away from until ``until_s``, monotonic.

    ``trying`` while one read tries it again.
    """

    pause_s: float
    until_s: float
    trying: bool = False


class Behind(NamedTuple):
    """A floor that a replica lacked; not waited for until ``until_s``, monotonic."""

    floor: Position
    until_s: float


class Group:
    """One database group.

    ``state`` is the newest agreed state that was heard of; its term never goes
    back. ``applied`` is what replicas were last seen to have, a hint only.
    """

    def __init__(
        self, database: Database, settings: PoolSettings, rng: random.Random
    ) -> None:
        self.database = database
        self.state = NO_GROUP
        self.applied: dict[str, Position] = {}
        self.index = ReadIndex(self._ask_index)
        self.confirmed = ReadIndex(self._ask_confirmed)
        self._settings = settings
        self._rng = rng
        self._avoided: dict[str, Avoided] = {}
        self._behind: dict[str, Behind] = {}
        self._pools: dict[str, Pool] = {}
        self._changed = trio.Event()

    @property
    def primary(self) -> Member | None:
        """The backend server that leads, as far as this host knows."""
        return self.database.member(self.state.primary)

    @property
    def settled(self) -> bool:
        """Whether the term's members are those of the configuration."""
        names = {member.name for member in self.database.members}
        agreed = set(self.state.members) == names
        return agreed and self.state.copies == self.database.copies

    @property
    def replicas(self) -> list[Member]:
        """All other backend servers."""
        return [m for m in self.database.members if m.name != self.state.primary]

    def pool(self, member: Member) -> Pool:
        """Return the pool of connections to ``member``."""
        if member.name not in self._pools:
            self._pools[member.name] = Pool(
                partial(self._open, member),
                self._settings.connections,
                self._settings.probe_after_idle_ms,
            )
        return self._pools[member.name]

    def take_state(self, state: GroupState) -> None:
        """Take an agreed state; what runs on a primary that was replaced ends."""
        if (state.term, state.claimed_term) <= (
            self.state.term,
            self.state.claimed_term,
        ):
            return
        replaced = state.term > self.state.term
        old = self.state.primary
        self.state = state
        if replaced:
            if old in self._pools:
                self._pools[old].abort("the primary was replaced")
            log_event(
                "group.primary",
                database=self.database.name,
                term=state.term,
                primary=state.primary,
            )
        self._changed.set()
        self._changed = trio.Event()

    async def take_database(self, database: Database) -> None:
        """Take a changed description; pools of members that left are closed."""
        self.database = database
        self._changed.set()
        self._changed = trio.Event()
        places = {member.name: member for member in database.members}
        for name in [name for name in self._pools if name not in places]:
            await self._pools.pop(name).close()

    async def wait_for_change(self) -> None:
        """Return once another state was taken."""
        await self._changed.wait()

    def saw_applied(self, member: Member, position: Position) -> None:
        """Remember what ``member`` was seen to have."""
        self.applied[member.name] = position
        self._avoided.pop(member.name, None)

    def saw_failure(self, member: Member) -> None:
        """Keep reads away from a replica that failed, longer each time."""
        now_s = time.monotonic()
        avoided = self._avoided.get(member.name)
        if avoided is None:
            pause_s = AVOID_LOW_S
        elif avoided.until_s > now_s and not avoided.trying:
            return
        else:
            pause_s = min(2 * avoided.pause_s, AVOID_HIGH_S)
        self._avoided[member.name] = Avoided(pause_s, now_s + pause_s)
        log_event("replica.avoided", member=member.name, database=self.database.name)

    def replicas_for(self, floor: Position) -> list[Member]:
        """Return the replicas for a read at ``floor``, the best first.

        The less loaded of two random ones comes first among those that were
        seen to have ``floor``; those that may lack it come behind. One that
        failed lately is left out, but for one read that tries it again, and so
        is one that lately lacked a floor for longer than reads wait.
        """
        ready: list[Member] = []
        behind: list[Member] = []
        for member in self.replicas:
            if self._is_avoided(member):
                continue
            if self.applied.get(member.name, ORIGIN) >= floor:
                ready.append(member)
            elif not self._is_behind(member, floor):
                behind.append(member)
        self._rng.shuffle(ready)
        if len(ready) > 1:
            ready[:2] = sorted(ready[:2], key=lambda m: self.pool(m).outstanding)
        return ready + behind

    def saw_behind(self, member: Member, floor: Position) -> None:
        """Let no read of ``floor`` or later wait for a replica, for a while."""
        until_s = time.monotonic() + BEHIND_PAUSE_S
        self._behind[member.name] = Behind(floor, until_s)

    def _is_behind(self, member: Member, floor: Position) -> bool:
        behind = self._behind.get(member.name)
        if behind is None or behind.until_s < time.monotonic():
            return False
        return floor >= behind.floor

    def _is_avoided(self, member: Member) -> bool:
        avoided = self._avoided.get(member.name)
        now_s = time.monotonic()
        if avoided is None:
            return False
        if avoided.until_s > now_s:
            return True
        trying_until_s = now_s + AVOID_LOW_S
        self._avoided[member.name] = Avoided(avoided.pause_s, trying_until_s, True)
        return False

    @property
    def _copies(self) -> int:
        """Return how many replicas confirm in this term, whatever is configured."""
        return self.state.copies or self.database.copies

    async def _ask_index(
        self, connection: BackendConnection | None
    ) -> Result[Position, Refusal]:
        timeout_ms = self._settings.lead_timeout_ms
        command = lead_command(self._copies, timeout_ms)
        return await self._ask_primary(connection, command, timeout_ms)

    async def _ask_confirmed(
        self, connection: BackendConnection | None
    ) -> Result[Position, Refusal]:
        timeout_ms = self._settings.confirm_timeout_ms
        command = confirm_command(self._copies, timeout_ms)
        return await self._ask_primary(connection, command, timeout_ms)

    async def _ask_primary(
        self, connection: BackendConnection | None, command: str, timeout_ms: int
    ) -> Result[Position, Refusal]:
        if connection is not None and connection.usable:
            return await self._ask_over(connection, command, timeout_ms)
        return await self._ask_borrowing(command, timeout_ms)

    async def ask_apart(self) -> Result[Position, Refusal]:
        """Ask the primary for its log end over a connection of its own."""
        primary = self.primary
        if primary is None:
            return Err(not_run(f"{self.database.name} has no primary"))
        opened = await self._open(primary)
        if opened.is_err():
            return Err(not_run(opened.unwrap_err()))
        connection: BackendConnection = opened.unwrap()
        try:
            return await self._ask_index(connection)
        finally:
            await connection.close()

    async def _open(self, member: Member) -> Result[BackendConnection, str]:
        credentials = self._settings.credentials
        return await open_connection(
            member, self.database.name, credentials, self._settings.watchdog
        )

    async def _ask_borrowing(
        self, command: str, timeout_ms: int
    ) -> Result[Position, Refusal]:
        primary = self.primary
        if primary is None:
            return Err(not_run(f"{self.database.name} has no primary"))
        pool = self.pool(primary)
        borrowed = pool.take_idle()
        if borrowed is None:
            taken = await pool.take_within(timeout_ms)
            if taken.is_err():
                return Err(not_run(taken.unwrap_err()))
            borrowed = taken.unwrap()
        try:
            return await self._ask_over(borrowed, command, timeout_ms)
        finally:
            await pool.give_back(borrowed)

    async def _ask_over(
        self, connection: BackendConnection, command: str, timeout_ms: int
    ) -> Result[Position, Refusal]:
        answer = await connection.command(command, timeout_ms + ANSWER_ALLOWANCE_MS)
        if answer.is_err():
            return Err(not_run(answer.unwrap_err()))
        frames = answer.unwrap()
        if frames.error is not None:
            fields = error_fields(frames.error)
            return Err(not_run(f"{connection.member.name}: {fields.message}"))
        try:
            position = parse_position(rows_as_text(frames.frames)[0][0] or "")
        except (ValueError, IndexError) as error:
            return Err(not_run(f"{connection.member.name}: {error}"))
        if position.term < self.state.term:
            return Err(not_run(f"{connection.member.name} leads an older term"))
        return Ok(position)


class Groups:
    """All database groups of the configuration, by name."""

    def __init__(self, make: Callable[[Database], Group]) -> None:
        self._make = make
        self._groups: dict[str, Group] = {}
        self._states: dict[str, GroupState] = {}

    def get(self, name: str) -> Group | None:
        """Return the group of a database."""
        return self._groups.get(name)

    def all(self) -> list[Group]:
        """Return all groups."""
        return list(self._groups.values())

    async def take_databases(self, databases: dict[str, Database]) -> None:
        """Take the databases of a new configuration."""
        for name, database in databases.items():
            group = self._groups.get(name)
            if group is None:
                self._groups[name] = self._make(database)
                if name in self._states:
                    self._groups[name].take_state(self._states[name])
            elif group.database != database:
                await group.take_database(database)
        for name in [name for name in self._groups if name not in databases]:
            withdrawn = self._groups.pop(name)
            await withdrawn.take_database(Database(name, ()))

    def take_state(self, name: str, state: GroupState) -> None:
        """Take the agreed state of a group, which may not be configured yet."""
        self._states[name] = state
        group = self._groups.get(name)
        if group is not None:
            group.take_state(state)
