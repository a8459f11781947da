"""Monitoring the primaries this host is responsible for, and replacing them."""

import uuid
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from rattanhollow.observe import log_event
from rattanhollow.serving import BackendServer, CommandKind
from rattanhollow.succession._parts import ReplaceParts, Task
from rattanhollow.succession._release import release_held_replica
from rattanhollow.succession._replace import replace_primary

CHECK_INTERVAL_S = 0.1
# Check interval of a host that is responsible for no service.
IDLE_CHECK_INTERVAL_S = 0.5
# A primary must be suspected here for this long before other hosts are queried.
SUSPECT_AFTER_S = 0.1
# How long a probe of this host may last longer than those of the other hosts.
OWN_PROBE_S = 0.4
# How long a service without a known primary waits for a server to report as one.
NO_LEADER_TIMEOUT_S = 1.5
# Servers that come back with their logs have done so after this time.
LAST_RESORT_AFTER_S = 8.0
# A commit pending for longer, while the primary itself responds, means that no
# replica acknowledges commits.
COMMIT_TIMEOUT_S = 1.2
# How long a primary may be out of use for a pending promotion before that is finished.
UNFINISHED_TIMEOUT_S = 1.0
# The same where another host is responsible for the service.
UNFINISHED_ELSEWHERE_S = 4.0
# Failures of the store, or of all servers, which other hosts may reach meanwhile.
SPARING_FAILURES = ("claim:", "members:", "stop:")
# Failures behind which a claim is in progress still.
UNFINISHED_FAILURES = ("promote:", "choose: another server has begun to lead")
RETRY_DELAY_S = 0.4
MAX_RETRY_DELAY_S = 3.0
# Another coordinator's claim without progress for this long is taken over.
CLAIM_STALE_AFTER_S = 2.5
# A replica that has lacked every requested position for this long may be held.
LAGGING_AFTER_S = 1.5


class ReplacementTrigger(NamedTuple):
    """Why a primary must be replaced; ``reachable`` is true if it responds.

    ``leader`` is the server that was believed to lead, None if none was.
    ``only_finishes`` where an unfinished replacement is to be finished,
    ``is_last_resort`` where the service has been without a primary for long.
    """

    reason: str
    reachable: bool
    leader: BackendServer | None = None
    only_finishes: bool = False
    is_last_resort: bool = False

    @property
    def leader_id(self) -> str:
        """The identifier of ``leader``, empty if there is none."""
        return self.leader.id if self.leader is not None else ""


class PrimaryMonitorParts(NamedTuple):
    """Dependencies of the primary monitor on the rest of the host.

    ``services()`` returns the configured services, ``servers(service)`` their
    servers, ``leader(service)`` the server believed to lead.
    ``is_missing(server)`` is true when the store no longer describes the server,
    ``is_responsible(service)`` when this host must act for the service.
    ``suspected_s(server)`` is how long a served server has been suspected of not
    responding, and ``is_unreachable(server)`` is true once a probe of it failed.
    ``promotion_pending_s(server)`` is how long work for a primary has been refused, as
    the promotion of another server is pending, and ``oldest_commit_wait_s(server)`` how
    long its oldest commit has been pending.
    ``lagging_replicas()`` returns served replicas and how long each has lacked
    every requested position.
    ``query_reachability(server)`` queries other hosts; None if too few respond.
    ``announce(server)`` notifies the other hosts of a new primary, and
    ``is_evacuated(server)`` is true if the server's zone is evacuated.
    """

    services: Callable[[], list[str]]
    sync_replica_count: Callable[[str], int]
    servers: Callable[[str], list[BackendServer]]
    leader: Callable[[str], BackendServer | None]
    is_missing: Callable[[BackendServer], bool]
    is_responsible: Callable[[str], bool]
    suspected_s: Callable[[BackendServer], float]
    is_unreachable: Callable[[BackendServer], bool]
    promotion_pending_s: Callable[[BackendServer], float]
    oldest_commit_wait_s: Callable[[BackendServer], float]
    lagging_replicas: Callable[[], list[tuple[BackendServer, float]]]
    query_reachability: Callable[[BackendServer], Awaitable[bool | None]]
    announce: Callable[[BackendServer], Awaitable[None]]
    clock: Callable[[], float]
    replace_parts: ReplaceParts
    is_evacuated: Callable[[BackendServer], bool] = lambda server: False


class _ServiceState:
    """The monitoring state of one service."""

    def __init__(self) -> None:
        self.leaderless_since_s: float | None = None
        self.not_before_s = 0.0
        self.failures = 0
        self.replacing = False
        self.competing_claim = ("", 0.0)
        self.has_pending_orders = False
        # Whom this host tried to replace under a claim that is in progress still.
        self.unfinished_leader_id: str | None = None
        self.release_not_before_s = 0.0
        self.waits_for_successor = False


class PrimaryMonitor:
    """Replaces primaries that are draining, missing, unreachable or stuck."""

    def __init__(self, parts: PrimaryMonitorParts) -> None:
        self._parts = parts
        self._states: dict[str, _ServiceState] = {}

    def note_competing_claim(self, service: str, claim_id: str) -> None:
        """Record another coordinator's claim in progress and when it was first seen."""
        state = self._states.setdefault(service, _ServiceState())
        if state.competing_claim[0] != claim_id:
            state.competing_claim = (claim_id, self._parts.clock())

    def note_pending_orders(self, service: str) -> None:
        """Record that orders to promote the new primary may still be executed."""
        self._states.setdefault(service, _ServiceState()).has_pending_orders = True

    async def run(self) -> None:
        """Monitor until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                responsible = any(
                    map(self._parts.is_responsible, self._parts.services())
                )
                await trio.sleep(
                    CHECK_INTERVAL_S if responsible else IDLE_CHECK_INTERVAL_S
                )
                for service in self._parts.services():
                    self._check_service(service, nursery)
                for server, lagging_s in self._parts.lagging_replicas():
                    if lagging_s >= LAGGING_AFTER_S:
                        self._check_replica(server, nursery)

    def _check_service(self, service: str, nursery: trio.Nursery) -> None:
        state = self._states.setdefault(service, _ServiceState())
        leader = self._parts.leader(service)
        if leader is not None:
            state.leaderless_since_s = None
            if leader.id != state.unfinished_leader_id:
                state.unfinished_leader_id = None
        due = self._parts.clock() >= state.not_before_s
        if state.replacing or not due or not self._is_due_here(service):
            return
        trigger = self._find_trigger(service, state)
        if trigger is not None:
            state.replacing = True
            nursery.start_soon(self._attempt_replacement, service, state, trigger)

    def _is_due_here(self, service: str) -> bool:
        """Whether this host is to act: the responsible one may see nothing amiss."""
        leader = self._parts.leader(service)
        is_refused = leader is not None and (
            self._parts.promotion_pending_s(leader) > UNFINISHED_ELSEWHERE_S
        )
        state = self._states[service]
        is_own = state.has_pending_orders or state.unfinished_leader_id is not None
        return is_refused or is_own or self._parts.is_responsible(service)

    def _check_replica(self, server: BackendServer, nursery: trio.Nursery) -> None:
        state = self._states.setdefault(server.service, _ServiceState())
        due = self._parts.clock() >= state.release_not_before_s
        if not state.replacing and due:
            state.release_not_before_s = self._parts.clock() + LAGGING_AFTER_S
            nursery.start_soon(self._release_replica, server, state)

    def _find_trigger(
        self, service: str, state: _ServiceState
    ) -> ReplacementTrigger | None:
        servers = self._parts.servers(service)
        if len(servers) < 2:
            return None
        leader = self._parts.leader(service)
        now_s = self._parts.clock()
        if leader is None:
            if state.leaderless_since_s is None:
                state.leaderless_since_s = now_s
            leaderless_s = now_s - state.leaderless_since_s
            is_own = state.unfinished_leader_id is not None
            if leaderless_s < NO_LEADER_TIMEOUT_S and not is_own:
                return None
            return ReplacementTrigger(
                "no primary is known",
                False,
                is_last_resort=leaderless_s >= LAST_RESORT_AFTER_S,
            )
        silent_s = self._parts.suspected_s(leader)
        if leader.draining and not self._waits_for_successor(leader, state):
            return ReplacementTrigger("the primary is draining", silent_s <= 0, leader)
        if self._parts.is_missing(leader):
            reason = "the store no longer describes the primary"
            return ReplacementTrigger(reason, silent_s <= 0, leader)
        if silent_s > SUSPECT_AFTER_S:
            return ReplacementTrigger("the primary does not respond", False, leader)
        if self._parts.promotion_pending_s(leader) > UNFINISHED_TIMEOUT_S:
            reason = "a promotion in place of the primary is pending"
            return ReplacementTrigger(reason, True, leader, only_finishes=True)
        if self._parts.oldest_commit_wait_s(leader) > COMMIT_TIMEOUT_S:
            reason = "the primary's commits are not acknowledged"
            return ReplacementTrigger(reason, True, leader)
        if state.has_pending_orders:
            state.has_pending_orders = False
            reason = "orders to promote the primary may be pending"
            return ReplacementTrigger(reason, True, leader, only_finishes=True)
        return None

    def _waits_for_successor(self, leader: BackendServer, state: _ServiceState) -> bool:
        """Whether a primary in an evacuated zone stays, as no server may succeed it.

        An attempt would stop it and have it lead again, once a second.
        """
        servers = self._parts.servers(leader.service)
        has_successor = any(not server.draining for server in servers)
        waits = self._parts.is_evacuated(leader) and not has_successor
        if waits and not state.waits_for_successor:
            log_event(
                "succession.waits",
                service=leader.service,
                leader=leader.id,
                reason="all other servers are leaving or in evacuated zones",
            )
        state.waits_for_successor = waits
        return waits

    async def _attempt_replacement(
        self, service: str, state: _ServiceState, trigger: ReplacementTrigger
    ) -> None:
        delay_s = RETRY_DELAY_S
        try:
            agreed = await self._is_agreed(service, trigger)
            if agreed and self._still_leads(service, trigger):
                failure = await self._replace(service, trigger)
                if failure.startswith(UNFINISHED_FAILURES):
                    state.unfinished_leader_id = trigger.leader_id
                elif not failure.startswith("claim: StoreFailure"):
                    state.unfinished_leader_id = None
                # An order without an answer costs nobody else, and callers wait for the
                # next attempt.
                is_spared = failure.startswith(SPARING_FAILURES)
                state.failures = state.failures + 1 if is_spared else 0
                delay_s *= 2 ** max(0, state.failures - 1)
        finally:
            state.replacing = False
            state.not_before_s = self._parts.clock() + min(MAX_RETRY_DELAY_S, delay_s)

    async def _is_agreed(self, service: str, trigger: ReplacementTrigger) -> bool:
        """Whether other hosts agree that an unresponsive primary is unreachable.

        They are queried while this host still probes it.
        """
        leader = trigger.leader
        if leader is None or trigger.reachable or leader.draining:
            return True
        reached = await self._parts.query_reachability(leader)
        if reached is False:
            until_s = self._parts.clock() + OWN_PROBE_S
            while self._is_suspected(leader) and self._parts.clock() < until_s:
                await trio.sleep(CHECK_INTERVAL_S / 2)
            if self._parts.is_unreachable(leader):
                return True
        log_event(
            "succession.not_agreed",
            service=service,
            leader=leader.id,
            others_reach_it=reached,
        )
        return False

    def _still_leads(self, service: str, trigger: ReplacementTrigger) -> bool:
        """Whether the primary of the trigger is still the one believed to lead.

        Other hosts may have replaced it while they were queried; the trigger says
        nothing about the next primary.
        """
        leader = self._parts.leader(service)
        leader_id = leader.id if leader is not None else ""
        if leader_id == trigger.leader_id:
            return True
        log_event(
            "succession.outdated",
            service=service,
            leader=leader_id,
            old_leader=trigger.leader_id,
            reason=trigger.reason,
        )
        return False

    def _is_suspected(self, server: BackendServer) -> bool:
        """Whether a probe of this host has yet to tell if it reaches a server."""
        unreachable = self._parts.is_unreachable(server)
        return not unreachable and self._parts.suspected_s(server) > 0

    async def _replace(self, service: str, trigger: ReplacementTrigger) -> str:
        """Replace the primary and return why that failed, empty if it did not."""
        leader = self._parts.leader(service)
        log_event(
            "succession.begin",
            service=service,
            leader=leader.id if leader is not None else "",
            reason=trigger.reason,
        )
        if leader is not None:
            self._parts.replace_parts.set_switching(leader, True)
        try:
            task = self._build_task(service, leader, trigger.reachable)
            task = task._replace(
                only_finishes=trigger.only_finishes,
                is_last_resort=trigger.is_last_resort,
            )
            replaced = await replace_primary(task, self._parts.replace_parts)
        finally:
            if leader is not None:
                self._parts.replace_parts.set_switching(leader, False)
        if replaced.is_err():
            failure = replaced.unwrap_err()
            log_event("succession.failed", service=service, reason=failure)
            return failure
        await self._parts.announce(replaced.unwrap())
        return ""

    def _build_task(
        self, service: str, leader: BackendServer | None, reachable: bool
    ) -> Task:
        claim_id, seen_at_s = self._states[service].competing_claim
        stale = self._parts.clock() - seen_at_s >= CLAIM_STALE_AFTER_S
        return Task(
            service=service,
            sync_replica_count=self._parts.sync_replica_count(service),
            old_leader=leader,
            reachable=reachable,
            claim_id=uuid.uuid4().hex,
            stale_claim_id=claim_id if stale else "",
        )

    async def _release_replica(
        self, server: BackendServer, state: _ServiceState
    ) -> None:
        """Release a replica that is held although no replacement is in progress."""
        sender = self._parts.replace_parts.command_sender
        status = await sender.send(server, CommandKind.STATUS)
        leader = self._parts.leader(server.service)
        held = status is not None and not status.leads and status.held_term > 0
        if not held or leader is None or state.replacing:
            return
        task = self._build_task(server.service, leader, reachable=True)
        parts = self._parts.replace_parts
        state.replacing = True
        try:
            released = await release_held_replica(task, server, parts)
        finally:
            state.replacing = False
        log_event(
            "succession.released",
            service=server.service,
            server=server.id,
            failure=released.err(),
        )
