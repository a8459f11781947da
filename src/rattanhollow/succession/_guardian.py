"""Watching the primaries that fall to this host, and replacing them."""

import uuid
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from rattanhollow.observe import log_event
from rattanhollow.serving import BackendServer, CommandKind, ServerStatus
from rattanhollow.succession._replace import ReplaceParts, Task, replace_primary

LOOK_INTERVAL_S = 0.1
# How long a primary must be without answers here before other hosts are asked.
SUSPECT_AFTER_S = 0.1
# A service without any known primary waits this long for one to describe itself.
NO_LEADER_AFTER_S = 1.5
# Commits that stay unanswered for longer while the primary itself answers: no
# replica acknowledges them.
STUCK_AFTER_S = 1.2
RETRY_S = 0.4
RETRY_AT_MOST_S = 3.0
# Orders that were lost may be carried out up to twelve seconds later.
AFTERCARE_S = (3.0, 6.0, 13.0)


class Concern(NamedTuple):
    """Why a primary has to be replaced; ``reachable`` whether it answers."""

    reason: str
    reachable: bool


class GuardianParts(NamedTuple):
    """What watching needs of the rest of the host.

    ``services()`` are those of the configuration, ``servers(service)`` their
    servers, ``leader(service)`` the one held to lead. ``is_missing(server)``
    whether the store describes it no more. ``is_mine(service)`` whether this
    host is to act. ``suspicion_s(server)`` and ``stuck_s(server)``
    tell for how long a served server has not answered, and its oldest commit.
    ``others_reach(server)`` asks other hosts; None where too few answer.
    ``switching(server, on)`` keeps new transactions from a server;
    ``announce(server)`` tells the other hosts of a new primary.
    """

    services: Callable[[], list[str]]
    copies: Callable[[str], int]
    servers: Callable[[str], list[BackendServer]]
    leader: Callable[[str], BackendServer | None]
    is_missing: Callable[[BackendServer], bool]
    is_mine: Callable[[str], bool]
    suspicion_s: Callable[[BackendServer], float]
    stuck_s: Callable[[BackendServer], float]
    others_reach: Callable[[BackendServer], Awaitable[bool | None]]
    switching: Callable[[BackendServer, bool], None]
    announce: Callable[[BackendServer], Awaitable[None]]
    clock: Callable[[], float]
    replace: ReplaceParts


class _Watch:
    """What this host remembers of one service."""

    def __init__(self) -> None:
        self.leaderless_since_s: float | None = None
        self.not_before_s = 0.0
        self.failures = 0
        self.running = False


class Guardian:
    """Replaces primaries that leave, or that nobody reaches."""

    def __init__(self, parts: GuardianParts) -> None:
        self._parts = parts
        self._watches: dict[str, _Watch] = {}

    async def run(self) -> None:
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(LOOK_INTERVAL_S)
                for service in self._parts.services():
                    watch = self._watches.setdefault(service, _Watch())
                    due = self._parts.clock() >= watch.not_before_s
                    if watch.running or not due or not self._parts.is_mine(service):
                        continue
                    concern = self._concern(service, watch)
                    if concern is not None:
                        watch.running = True
                        nursery.start_soon(self._act, service, watch, concern, nursery)

    def _concern(self, service: str, watch: _Watch) -> Concern | None:
        servers = self._parts.servers(service)
        if len(servers) < 2:
            return None
        leader = self._parts.leader(service)
        now_s = self._parts.clock()
        if leader is None:
            if watch.leaderless_since_s is None:
                watch.leaderless_since_s = now_s
            waited_s = now_s - watch.leaderless_since_s
            if waited_s < NO_LEADER_AFTER_S:
                return None
            return Concern("no primary is known", reachable=False)
        watch.leaderless_since_s = None
        unreachable_s = self._parts.suspicion_s(leader)
        if leader.draining:
            return Concern("it leaves", reachable=unreachable_s <= 0)
        if self._parts.is_missing(leader):
            return Concern("its description is gone", reachable=unreachable_s <= 0)
        if unreachable_s > SUSPECT_AFTER_S:
            return Concern("it doesn't answer", reachable=False)
        if self._parts.stuck_s(leader) > STUCK_AFTER_S:
            return Concern("its commits stay unanswered", reachable=True)
        return None

    async def _act(
        self, service: str, watch: _Watch, concern: Concern, nursery: trio.Nursery
    ) -> None:
        try:
            done = await self._replace(service, concern)
        finally:
            watch.running = False
            watch.not_before_s = self._parts.clock() + RETRY_S
        if done:
            watch.failures = 0
        else:
            watch.failures += 1
            pause_s = min(RETRY_AT_MOST_S, RETRY_S * 2**watch.failures)
            watch.not_before_s = self._parts.clock() + pause_s
        nursery.start_soon(self._care_after, service)

    async def _replace(self, service: str, concern: Concern) -> bool:
        leader = self._parts.leader(service)
        if leader is not None and not concern.reachable and not leader.draining:
            reached = await self._parts.others_reach(leader)
            if reached is not False:
                log_event(
                    "succession.not_agreed",
                    service=service,
                    leader=leader.id,
                    others_reach_it=reached,
                )
                return False
        log_event(
            "succession.begin",
            service=service,
            leader=leader.id if leader is not None else "",
            reason=concern.reason,
        )
        if leader is not None:
            self._parts.switching(leader, True)
        try:
            task = Task(
                service=service,
                copies=self._parts.copies(service),
                old_leader=leader,
                reachable=concern.reachable,
                claim_id=uuid.uuid4().hex,
            )
            replaced = await replace_primary(task, self._parts.replace)
        finally:
            if leader is not None:
                self._parts.switching(leader, False)
        if replaced.is_err():
            log_event(
                "succession.failed", service=service, reason=replaced.unwrap_err()
            )
            return False
        await self._parts.announce(replaced.unwrap())
        return True

    async def _care_after(self, service: str) -> None:
        """Let go of replicas that a late order made stop receiving."""
        began_s = self._parts.clock()
        for after_s in AFTERCARE_S:
            await trio.sleep(max(0.0, began_s + after_s - self._parts.clock()))
            watch = self._watches[service]
            if watch.running or not self._parts.is_mine(service):
                continue
            orders = self._parts.replace.orders
            servers = self._parts.servers(service)
            statuses = await orders.give_all(servers, CommandKind.STATUS)
            stopped = [s for s in servers if _stays_held(statuses[s.id])]
            led = any(
                status is not None and status.leads for status in statuses.values()
            )
            if stopped and led and not watch.running:
                names = [server.id for server in stopped]
                log_event("succession.let_go", service=service, servers=names)
                await orders.give_all(stopped, CommandKind.LET_GO)


def _stays_held(status: ServerStatus | None) -> bool:
    return status is not None and not status.leads and status.held_term > 0
