"""A stand-in database group: members, their listeners, their replication."""

import itertools
import tempfile
from pathlib import Path
from typing import NamedTuple

import trio

from rattanhollow.pgwire import ConnectionLost, ProtocolViolation
from rattanhollow_standins.database._connection import Connection, Silent
from rattanhollow_standins.database._member import StandInMember
from rattanhollow_standins.database._replicate import apply_log, receive_log

POLL_S = 0.01


class MemberPlace(NamedTuple):
    """Where a member listens."""

    name: str
    address: str
    port: int
    zone: str


class GroupTiming(NamedTuple):
    """How long things take: connecting, and one way between members."""

    connect_s: float = 0.01
    one_way_s: float = 0.0005
    slots: int = 3
    connections: int = 20


class DatabaseGroup:
    """A group of members in one process; ``secret`` is the password for proxies."""

    def __init__(
        self,
        name: str,
        places: list[MemberPlace],
        secret: str,
        timing: GroupTiming = GroupTiming(),
    ) -> None:
        self.name = name
        self._secret = secret
        self._timing = timing
        self._folder = tempfile.TemporaryDirectory(prefix="rattanhollow-")
        folder = Path(self._folder.name)
        self.members = {
            place.name: StandInMember(*place, folder=folder) for place in places
        }
        self._connections: dict[str, set[Connection]] = {
            place.name: set() for place in places
        }
        self._slots = {
            place.name: trio.CapacityLimiter(timing.slots) for place in places
        }
        self._serials = itertools.count(1)

    @property
    def primary(self) -> StandInMember | None:
        """The member that leads the highest term."""
        leading = [m for m in self.members.values() if m.role == "primary" and m.alive]
        return max(leading, key=lambda member: member.term, default=None)

    @property
    def replicas(self) -> list[StandInMember]:
        """The members that follow."""
        return [m for m in self.members.values() if m is not self.primary]

    def find(self, name: str) -> StandInMember | None:
        """Return a member by name."""
        return self.members.get(name)

    def silence_open(self, name: str) -> None:
        """Make all connections open now go silent for good; new ones work."""
        member = self.members[name]
        member.silenced_before = next(self._serials)

    def revive(self, name: str) -> None:
        """Start a killed member again, believing what it believed before."""
        self.members[name].alive = True
        self.members[name].notify()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve and replicate until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                for member in self.members.values():
                    await nursery.start(self._keep_listening, member)
                    one_way_s = self._timing.one_way_s
                    nursery.start_soon(receive_log, member, self.find, one_way_s)
                    nursery.start_soon(apply_log, member)
                task_status.started()
                await trio.sleep_forever()
        finally:
            self._folder.cleanup()

    async def _keep_listening(
        self,
        member: StandInMember,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen while the member lives; a dead one refuses connections."""
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(member.port, host=member.address)
            task_status.started()
            while True:
                await self._accept_while_alive(member, listeners[0], nursery)
                while not member.alive:
                    await trio.sleep(POLL_S)
                listeners = await trio.open_tcp_listeners(
                    member.port, host=member.address
                )

    async def _accept_while_alive(
        self,
        member: StandInMember,
        listener: trio.SocketListener,
        nursery: trio.Nursery,
    ) -> None:
        async def accept() -> None:
            while True:
                stream = await listener.accept()
                nursery.start_soon(self._handle, member, stream)

        async with trio.open_nursery() as accepting:
            accepting.start_soon(accept)
            while member.alive:
                await member.changed()
            accepting.cancel_scope.cancel()
        await listener.aclose()

    async def _handle(self, member: StandInMember, stream: trio.SocketStream) -> None:
        serial = next(self._serials)
        connection = Connection(member, stream, serial, self._slots[member.name])
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._end_with_epoch, member, nursery.cancel_scope)
                await self._converse(member, connection)
                nursery.cancel_scope.cancel()
        except* (ConnectionLost, ProtocolViolation, Silent):
            pass
        except* (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._connections[member.name].discard(connection)
            if connection.session is not None:
                connection.session.close()
            await trio.aclose_forcefully(stream)

    async def _end_with_epoch(
        self, member: StandInMember, scope: trio.CancelScope
    ) -> None:
        epoch = member.epoch
        while member.epoch == epoch:
            await member.changed()
        scope.cancel()

    async def _converse(self, member: StandInMember, connection: Connection) -> None:
        await connection.pass_gate()
        startup = await connection.read_startup()
        if isinstance(startup, tuple):
            await trio.sleep(member.faults.cancel_delay_s)
            self._cancel(member, *startup)
            return
        await trio.sleep(self._timing.connect_s)
        await connection.pass_gate()
        if len(self._connections[member.name]) >= self._timing.connections:
            await connection.refuse("53300", "too many connections")
            return
        self._connections[member.name].add(connection)
        if await connection.log_in(self._secret):
            await connection.run()

    def _cancel(self, member: StandInMember, serial: int, secret: int) -> None:
        for connection in self._connections[member.name]:
            session = connection.session
            if (connection.serial, connection.secret) == (serial, secret) and session:
                session.cancelled.set()
