"""Watching the primaries that fall to this host, and replacing them."""

import uuid
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from rattanhollow.observe import log_event
from rattanhollow.serving import BackendServer, CommandKind
from rattanhollow.succession._replace import (
    ReplaceParts,
    Task,
    release_held,
    replace_primary,
)

LOOK_INTERVAL_S = 0.1
# How often a host that is to act for no service looks whether it has become so.
IDLE_LOOK_INTERVAL_S = 0.5
# How long a primary must be without answers here before other hosts are asked.
SUSPECT_AFTER_S = 0.1
# A service without any known primary waits this long for one to describe itself.
NO_LEADER_AFTER_S = 1.5
# Commits that stay unanswered for longer while the primary itself answers: no
# replica acknowledges them.
STUCK_AFTER_S = 1.2
RETRY_S = 0.4
RETRY_AT_MOST_S = 3.0
# Another coordinator's claim that makes no progress for so long is taken over.
CLAIM_AGE_S = 2.5
# A replica that lacks every position asked of it for so long may be held.
BEHIND_AFTER_S = 1.5


class Concern(NamedTuple):
    """Why a primary has to be replaced; ``reachable`` whether it answers."""

    reason: str
    reachable: bool


class PrimaryMonitorParts(NamedTuple):
    """What watching needs of the rest of the host.

    ``services()`` returns the configured services, ``servers(service)`` their
    servers, ``leader(service)`` the server believed to lead.
    ``is_missing(server)`` is true when the store no longer describes the server,
    ``is_responsible(service)`` when this host must act for the service.
    ``unresponsive_s(server)`` is how long a served server has not responded,
    ``oldest_commit_wait_s(server)`` how long its oldest commit has been pending.
    ``lagging_replicas()`` returns served replicas with the time since which they
    have lacked every requested position.
    ``query_reachability(server)`` queries other hosts; None if too few respond.
    ``set_switching(server, on)`` keeps new transactions from a server;
    ``announce(server)`` notifies the other hosts of a new primary.
    """

    services: Callable[[], list[str]]
    sync_replica_count: Callable[[str], int]
    servers: Callable[[str], list[BackendServer]]
    leader: Callable[[str], BackendServer | None]
    is_missing: Callable[[BackendServer], bool]
    is_responsible: Callable[[str], bool]
    unresponsive_s: Callable[[BackendServer], float]
    oldest_commit_wait_s: Callable[[BackendServer], float]
    lagging_replicas: Callable[[], list[tuple[BackendServer, float]]]
    query_reachability: Callable[[BackendServer], Awaitable[bool | None]]
    set_switching: Callable[[BackendServer, bool], None]
    announce: Callable[[BackendServer], Awaitable[None]]
    clock: Callable[[], float]
    replace_parts: ReplaceParts


class _Watch:
    """What this host remembers of one service."""

    def __init__(self) -> None:
        self.leaderless_since_s: float | None = None
        self.not_before_s = 0.0
        self.failures = 0
        self.running = False
        self.claim_seen = ("", 0.0)
        self.repair_not_before_s = 0.0


class PrimaryMonitor:
    """Replaces primaries that leave, or that nobody reaches."""

    def __init__(self, parts: PrimaryMonitorParts) -> None:
        self._parts = parts
        self._watches: dict[str, _Watch] = {}

    def note_competing_claim(self, service: str, claim_id: str) -> None:
        """Note another coordinator's claim that is under way."""
        watch = self._watches.setdefault(service, _Watch())
        if watch.claim_seen[0] != claim_id:
            watch.claim_seen = (claim_id, self._parts.clock())

    async def run(self) -> None:
        """Watch until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                acts = any(map(self._parts.is_responsible, self._parts.services()))
                await trio.sleep(LOOK_INTERVAL_S if acts else IDLE_LOOK_INTERVAL_S)
                for service in self._parts.services():
                    self._look(service, nursery)
                for server, behind_s in self._parts.lagging_replicas():
                    if behind_s >= BEHIND_AFTER_S:
                        self._look_at_replica(server, nursery)

    def _look(self, service: str, nursery: trio.Nursery) -> None:
        watch = self._watches.setdefault(service, _Watch())
        due = self._parts.clock() >= watch.not_before_s
        if watch.running or not due or not self._parts.is_responsible(service):
            return
        concern = self._concern(service, watch)
        if concern is not None:
            watch.running = True
            nursery.start_soon(self._act, service, watch, concern)

    def _look_at_replica(self, server: BackendServer, nursery: trio.Nursery) -> None:
        watch = self._watches.setdefault(server.service, _Watch())
        due = self._parts.clock() >= watch.repair_not_before_s
        if not watch.running and due:
            watch.repair_not_before_s = self._parts.clock() + BEHIND_AFTER_S
            nursery.start_soon(self._repair, server, watch)

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
        unreachable_s = self._parts.unresponsive_s(leader)
        if leader.draining:
            return Concern("it leaves", reachable=unreachable_s <= 0)
        if self._parts.is_missing(leader):
            return Concern("its description is gone", reachable=unreachable_s <= 0)
        if unreachable_s > SUSPECT_AFTER_S:
            return Concern("it doesn't answer", reachable=False)
        if self._parts.oldest_commit_wait_s(leader) > STUCK_AFTER_S:
            return Concern("its commits stay unanswered", reachable=True)
        return None

    async def _act(self, service: str, watch: _Watch, concern: Concern) -> None:
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

    async def _replace(self, service: str, concern: Concern) -> bool:
        leader = self._parts.leader(service)
        if leader is not None and not concern.reachable and not leader.draining:
            reached = await self._parts.query_reachability(leader)
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
            self._parts.set_switching(leader, True)
        try:
            task = self._task(service, leader, concern.reachable)
            replaced = await replace_primary(task, self._parts.replace_parts)
        finally:
            if leader is not None:
                self._parts.set_switching(leader, False)
        if replaced.is_err():
            log_event(
                "succession.failed", service=service, reason=replaced.unwrap_err()
            )
            return False
        await self._parts.announce(replaced.unwrap())
        return True

    def _task(
        self, service: str, leader: BackendServer | None, reachable: bool
    ) -> Task:
        claim_id, seen_at_s = self._watches[service].claim_seen
        stale = self._parts.clock() - seen_at_s >= CLAIM_AGE_S
        return Task(
            service=service,
            sync_replica_count=self._parts.sync_replica_count(service),
            old_leader=leader,
            reachable=reachable,
            claim_id=uuid.uuid4().hex,
            may_override=claim_id if stale else "",
        )

    async def _repair(self, server: BackendServer, watch: _Watch) -> None:
        """Let a replica go that is held although nothing is under way."""
        orders = self._parts.replace_parts.command_sender
        status = await orders.give(server, CommandKind.STATUS)
        leader = self._parts.leader(server.service)
        held = status is not None and not status.leads and status.held_term > 0
        if not held or leader is None or watch.running:
            return
        task = self._task(server.service, leader, reachable=True)
        released = await release_held(task, server, self._parts.replace_parts)
        log_event(
            "succession.released",
            service=server.service,
            server=server.id,
            failure=released.err(),
        )
