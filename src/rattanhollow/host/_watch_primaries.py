"""Wiring the guardian of primaries to the rest of a host."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from rattanhollow.configuration import RouteTable
from rattanhollow.coordination import Position, ranked
from rattanhollow.host._clock import now_s
from rattanhollow.host._ends import Ends
from rattanhollow.host._hosts_asked import sample_of_zones
from rattanhollow.host._leader_use import (
    HostLinks,
    stop_use_elsewhere,
    stop_use_here,
)
from rattanhollow.membership import HostDirectory, HostRecord
from rattanhollow.peer import (
    LeaderNews,
    Peers,
    ReachAnswer,
    ReachQuestion,
    ReplacementOverNews,
    StopUseQuestion,
)
from rattanhollow.routing import FloorCache, ServerDirectory, WorkDispatcher
from rattanhollow.serving import (
    BackendServer,
    Command,
    Reply,
    ServedBackend,
    ServerStatus,
    Serving,
)
from rattanhollow.succession import (
    CommandSender,
    LeaderUseChecker,
    PrimaryMonitor,
    PrimaryMonitorParts,
    ReplaceParts,
)

# A host that has no connection to the server tries for half a second to open one.
REACH_TIMEOUT_MS = 800


class WatchedParts(NamedTuple):
    """The parts of a host that its guardian looks at.

    ``read_servers()`` reads the descriptions of all servers anew.
    """

    ends: Ends
    routes: Callable[[], RouteTable]
    own: Callable[[], HostRecord]
    hosts: HostDirectory
    peers: Peers
    directory: ServerDirectory
    agents: WorkDispatcher
    serving: Serving
    floors: FloorCache
    read_servers: Callable[[], Awaitable[bool]]
    leader_uses: LeaderUseChecker


def build_guardian(parts: WatchedParts) -> PrimaryMonitor:
    """Return the guardian of this host's share of the services."""
    own_name = parts.own().name

    def services() -> list[str]:
        return [
            name
            for name in parts.routes().services
            if parts.directory.list_servers(name)
        ]

    def copies(service: str) -> int:
        known = parts.routes().services.get(service)
        return known.copies if known is not None else 1

    def is_mine(service: str) -> bool:
        leader = parts.directory.leader(service)
        if leader is not None:
            return parts.agents.is_preferred_host_for(leader)
        lit = [h for h in parts.hosts.active_hosts() if not parts.peers.is_dark(h.peer)]
        names = {record.name for record in lit} | {own_name}
        return ranked(service, names)[0] == own_name

    def served(server: BackendServer) -> ServedBackend | None:
        return parts.serving.serve(server.id)

    def suspicion_s(server: BackendServer) -> float:
        found = served(server)
        return found.suspected_s if found is not None else 0.0

    def unreachable(server: BackendServer) -> bool:
        found = served(server)
        return found is not None and not found.reachable

    def promotion_pending_s(server: BackendServer) -> float:
        found = parts.serving.find(server.id)
        return found.leader_pending_s if found is not None else 0.0

    def stuck_s(server: BackendServer) -> float:
        found = served(server)
        return found.stuck_s if found is not None else 0.0

    def switching(server: BackendServer, on: bool) -> None:
        # A host that stops must not begin to serve it.
        found = served(server) if on else parts.serving.find(server.id)
        if found is not None:
            found.switching = on

    def is_evacuated(server: BackendServer) -> bool:
        return parts.directory.evacuations.is_evacuated(server.zone)

    async def stop_leader_use(service: str, token: int, gives_up_writes: bool) -> bool:
        question = StopUseQuestion(service, token, gives_up_writes)
        stop_use_here(question, parts.leader_uses, parts.serving)
        links = HostLinks(own_name, parts.hosts, parts.peers)
        return await stop_use_elsewhere(question, links)

    async def tell_over(service: str, token: int) -> None:
        parts.leader_uses.note_over(service, token)
        await _tell_all(ReplacementOverNews(service, token), parts)

    async def others_reach(server: BackendServer) -> bool | None:
        return await _others_reach(server, parts)

    async def announce(server: BackendServer) -> None:
        parts.directory.record_leader_proof(server.service, server.id)
        await _tell_all(LeaderNews(server.service, server.id), parts)

    async def run_command(
        server: BackendServer, command: Command, timeout_s: float
    ) -> Reply | None:
        found = served(server)
        return await found.command(command, timeout_s) if found is not None else None

    async def members(service: str) -> list[BackendServer] | None:
        return (
            parts.directory.list_servers(service)
            if await parts.read_servers()
            else None
        )

    def covers(server: BackendServer, status: ServerStatus, last_leader: str) -> bool:
        return _covers(server, status.received, last_leader, parts)

    def behind() -> list[tuple[BackendServer, float]]:
        return [
            (found.server, found.lagging_s)
            for found in parts.serving.served()
            if found.lagging_s > 0 and parts.agents.is_preferred_host_for(found.server)
        ]

    # The guardian is told of claims by the very parts that it is built from.
    guardian: PrimaryMonitor

    def saw_claim(service: str, claim_id: str) -> None:
        guardian.note_competing_claim(service, claim_id)

    def note_replaced(service: str, leader: str) -> None:
        # The other one may lead by the time that this one is gone.
        parts.directory.record_leader_proof(service, leader)

    def note_pending_orders(service: str) -> None:
        guardian.note_pending_orders(service)

    guardian = PrimaryMonitor(
        PrimaryMonitorParts(
            services=services,
            sync_replica_count=copies,
            servers=parts.directory.list_servers,
            leader=parts.directory.leader,
            is_responsible=is_mine,
            suspected_s=suspicion_s,
            is_unreachable=unreachable,
            promotion_pending_s=promotion_pending_s,
            oldest_commit_wait_s=stuck_s,
            lagging_replicas=behind,
            query_reachability=others_reach,
            is_missing=lambda server: parts.directory.is_missing(server.id),
            is_evacuated=is_evacuated,
            announce=announce,
            clock=now_s,
            replace_parts=ReplaceParts(
                store=parts.ends.store,
                command_sender=CommandSender(run_command, parts.ends.backend.status),
                promote=parts.ends.promote,
                holder=own_name,
                is_log_complete=covers,
                read_members=members,
                known_members=parts.directory.list_servers,
                note_competing_claim=saw_claim,
                note_replaced=note_replaced,
                note_pending_orders=note_pending_orders,
                set_switching=switching,
                stop_leader_use=stop_leader_use,
                tell_over=tell_over,
                clock=now_s,
            ),
        )
    )
    return guardian


def _covers(
    server: BackendServer, received: Position, last_leader: str, parts: WatchedParts
) -> bool:
    """Whether a log holds all that was acknowledged before a log was lost.

    A server that started anew holds nothing of before, and what a replica that
    is gone had acknowledged may be nowhere else yet. What ``last_leader``
    acknowledged as the primary is on a replica, too. A log that reaches a position
    which the primary proved later holds it all.
    """
    lost_at_s = [
        at_s
        for at_s in (
            parts.directory.restarted_at_s(server.id),
            parts.directory.replica_missing_at_s(server.service, last_leader),
        )
        if at_s is not None
    ]
    if not lost_at_s:
        return True
    proven = parts.floors.cached_position(server.service, max(lost_at_s))
    return proven is not None and received >= proven


async def _others_reach(server: BackendServer, parts: WatchedParts) -> bool | None:
    """Ask hosts of other zones; None where none of these answers."""
    own = parts.own()
    asked = sample_of_zones(parts.hosts, parts.peers, own.name)
    zones_elsewhere = {record.zone for record in asked} - {own.zone}
    answers: list[ReachAnswer] = []

    async def ask(record: HostRecord) -> None:
        question = ReachQuestion(server.id)
        answered = await parts.peers.ask(record.peer, question, REACH_TIMEOUT_MS)
        answer = answered.ok()
        if isinstance(answer, ReachAnswer):
            answers.append(answer)

    async with trio.open_nursery() as nursery:
        for record in asked:
            nursery.start_soon(ask, record)
    if any(answer.reaches for answer in answers):
        return True
    if zones_elsewhere and not any(a.zone in zones_elsewhere for a in answers):
        return None
    return False


async def _tell_all(
    news: LeaderNews | ReplacementOverNews, parts: WatchedParts
) -> None:
    async with trio.open_nursery() as nursery:
        for record in parts.hosts.all():
            if record.name != parts.own().name:
                nursery.start_soon(parts.peers.tell, record.peer, news)
