"""The composition root of a host: builds it from its settings and runs it."""

import random
import secrets
import time
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from rattanhollow.configuration import NO_ROUTES, RouteTable
from rattanhollow.coordination import ranked
from rattanhollow.host._answer_peers import Answerers, answer_peer
from rattanhollow.host._begin import find_own_record, wait_for_relays
from rattanhollow.host._callers import Callers
from rattanhollow.host._clock import now_s
from rattanhollow.host._ends import Ends
from rattanhollow.host._leader_use import HostLinks, is_stopped_elsewhere
from rattanhollow.host._polls import PollParts, poll_store
from rattanhollow.host._restored import order_configurations, order_descriptions
from rattanhollow.host._stop import Stopping, stop_serving
from rattanhollow.host._watch_primaries import WatchedParts, build_guardian
from rattanhollow.host._withdrawing_peers import WithdrawingPeers
from rattanhollow.limits import derive_limits
from rattanhollow.membership import (
    HOST_KIND,
    Gossip,
    HostDirectory,
    HostRecord,
    NeighbourWatch,
    Registration,
    StartCopies,
    StartCopiesParts,
)
from rattanhollow.net import (
    HttpReply,
    listen_at,
    serve_http,
)
from rattanhollow.observe import Meter, kinds, log_event
from rattanhollow.peer import (
    FloorAnswer,
    FloorQuestion,
    Message,
    Peers,
)
from rattanhollow.rates import PooledRateLimiter, PooledRateLimiterParts
from rattanhollow.routing import (
    CrossingCosts,
    DispatcherDependencies,
    Evacuations,
    FloorCache,
    Router,
    RouterDependencies,
    ServerDirectory,
    WorkDispatcher,
    ZoneTopology,
)
from rattanhollow.serving import NO_COLD_BOUND, ColdBound, ProofAnswer, Serving
from rattanhollow.session import (
    DepartureWatch,
    ServeParts,
    SessionParts,
    Sessions,
)
from rattanhollow.settings import LineHostSettings
from rattanhollow.store import NO_REVISION, Follower, Revision, Stored, follow
from rattanhollow.succession import LeaderUseChecker

# A host nearby asks the primary across regions, at worst; then this one does.
NEARBY_TIMEOUT_MS = 300
# Hosts hear of a leave up to a second late, and work takes its way to the server.
LEAVE_MARGIN_S = 2.0


class Host:
    """A running host; built by `build_host`."""

    def __init__(
        self,
        settings: LineHostSettings,
        ends: Ends,
        rng: random.Random,
        meter: Meter,
        process_started_at_s: float,
    ) -> None:
        place = settings.place
        self.settings = settings
        self.routes: RouteTable = NO_ROUTES
        self.ready = False
        self.sessions = Sessions()
        self.limits = derive_limits(settings.limits)
        self.callers = Callers(self.limits, ends.caller, meter)
        self.hosts = HostDirectory(self._hosts_changed)
        self.evacuations = Evacuations(
            now_s,
            settings.evacuate_ms / 1000,
            lambda: self.gossip.compared_at_s,
        )
        self.directory = ServerDirectory(ends.read_server, now_s, self.evacuations)
        self.meter = meter
        self._ends = ends
        self._rng = rng
        self._incarnation = secrets.token_hex(4)
        record = HostRecord(
            name=place.name,
            address=place.address,
            zone=place.zone,
            peer_port=settings.listen.peer_port,
            # Callers' and backend servers' lines cross the same network in the clear.
            public_key="",
            incarnation=self._incarnation,
        )
        find_version = self._find_record if settings.shared_start else None
        self.registration = Registration(
            ends.store, record, rng, reports=False, find_version=find_version
        )
        self._scarce_slots = settings.admission.scarce_slots or ends.scarce_slots
        self.peers = (WithdrawingPeers if self._scarce_slots else Peers)(
            place.address, None, self.hosts.has_public_key, self._answer_peer
        )
        self._neighbours = NeighbourWatch(
            self._own, self.hosts, self.peers, ends.store, settings.membership
        )
        links = HostLinks(place.name, self.hosts, self.peers)
        self._leader_uses = LeaderUseChecker(
            ends.store,
            lambda service: is_stopped_elsewhere(service, links),
            lambda service, claim: self.guardian.note_competing_claim(service, claim),
            now_s,
        )
        self.serving = Serving(
            ends.backend,
            lambda server: self.agents.is_preferred_host_for(server),
            self.directory.find,
            self._connections_of,
            lambda: self.routes.transaction_idle_ms,
            now_s,
            meter,
            self._leader_uses.check,
            self._may_begin_work,
            self._cold_bound,
            self.directory.must_stop,
            self._scarce_slots,
        )
        places = ZoneTopology(place.zone, place.regions)
        self.agents = WorkDispatcher(
            DispatcherDependencies(
                self._own, self.hosts, self.peers, self.serving, places
            )
        )
        self.floors = FloorCache(self._prove, now_s, self._ask_nearby)
        self.rates = PooledRateLimiter(
            PooledRateLimiterParts(
                organisations=lambda: self.routes.organisations,
                own=self._own,
                hosts=self.hosts,
                peers=self.peers,
                clock=now_s,
                region_of=places.region,
                process_started_at_s=process_started_at_s,
                settle_s=settings.rate_settle_ms / 1000,
                slack=settings.rate_slack,
                meter=meter,
                scarce=self._scarce_slots,
            )
        )
        self._places = places
        self._configurations = Follower(
            ends.configuration_kind,
            self._take_routes,
            is_newer=order_configurations(ends.read_routes),
        )
        self._servers = Follower(
            ends.server_kind,
            self.directory.apply_description,
            is_newer=order_descriptions(ends.read_server),
        )
        self._followers = [
            self._configurations,
            self._servers,
            self.hosts.follower,
        ]
        self._evacuation_objects: Follower | None = None
        if ends.evacuation_kind:
            self._evacuation_objects = Follower(
                ends.evacuation_kind, self._take_evacuation
            )
            self._followers.append(self._evacuation_objects)
        self.guardian = build_guardian(
            WatchedParts(
                ends=ends,
                routes=lambda: self.routes,
                own=self._own,
                hosts=self.hosts,
                peers=self.peers,
                directory=self.directory,
                agents=self.agents,
                serving=self.serving,
                floors=self.floors,
                read_servers=self._read_servers,
                leader_uses=self._leader_uses,
            )
        )
        self.gossip = Gossip(
            self._followers,
            self._own,
            self.hosts,
            self.peers,
            rng,
            settings.configuration_ms / 1000,
            places.region,
            now_s,
        )
        self._start_copies = StartCopies(
            StartCopiesParts(
                store=ends.store,
                followers=[f for f in self._followers if f.kind != HOST_KIND],
                own=self._own,
                hosts=self.hosts,
                peers=self.peers,
                gossip=self.gossip,
                region_of=places.region,
                rng=rng,
            )
        )
        self._stopping = False
        # Whether the store's list of hosts has this one, and when it was deleted.
        self._listed = False
        self._deleted = trio.Event()
        self._stopped = trio.Event()
        self._accepting = trio.CancelScope()
        self._serve_gauges()

    async def run(self) -> None:
        """Serve until cancelled, or until `stop` is through."""
        settings = self.settings
        readiness = await listen_at(*settings.listen.readiness)
        address = settings.place.address
        metrics = await listen_at(address, settings.listen.metrics_port)
        async with trio.open_nursery() as nursery:
            if settings.first_start or not settings.shared_start:
                self._start_copies.finished.set()
            else:
                nursery.start_soon(self._start_copies.run)
            for follower in self._followers:
                nursery.start_soon(self._follow, follower)
            most = self.limits.http_connections
            nursery.start_soon(serve_http, readiness, self._answer_readiness, most)
            nursery.start_soon(serve_http, metrics, self._answer_metrics, most)
            nursery.start_soon(self.peers.run, settings.listen.peer_port)
            nursery.start_soon(self.registration.run)
            nursery.start_soon(
                self.registration.restore_in_new_eras, self.hosts.follower
            )
            nursery.start_soon(self._neighbours.run)
            nursery.start_soon(self.gossip.run)
            nursery.start_soon(poll_store, self._poll_parts())
            nursery.start_soon(self.guardian.run)
            nursery.start_soon(self.serving.run)
            nursery.start_soon(self.rates.run)
            nursery.start_soon(self._note_registration)
            nursery.start_soon(self._become_ready, nursery)
            await self._stopped.wait()
            nursery.cancel_scope.cancel()

    async def _become_ready(self, nursery: trio.Nursery) -> None:
        """Accept callers once the configuration and the servers are known."""
        serve = partial(self.callers.serve, self._serve_parts(nursery))
        callers = await listen_at(*self.settings.listen.callers)
        await self._configurations.listed.wait()
        await self._servers.listed.wait()
        if self._evacuation_objects is not None:
            await self._evacuation_objects.listed.wait()
        await self._start_copies.finished.wait()
        nursery.start_soon(self._accept, serve, callers, nursery)
        self.ready = not self._stopping
        log_event("host.ready", host=self.settings.place.name)

    def take_settings(self, settings: LineHostSettings) -> None:
        """Take settings that were read anew; addresses need a new start."""
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = settings
        log_event("host.reloaded", changed=",".join(changed))

    async def stop(self) -> None:
        """Leave without cutting a request, within the time of the settings."""
        self._stopping = True
        self.ready = False
        parts = Stopping(
            sessions=self.sessions,
            serving=self.serving,
            registration=self.registration,
            connections=lambda: self.callers.connections,
            stop_accepting=self._accepting.cancel,
        )
        await stop_serving(parts, self.settings.stop_s)
        log_event("host.stopped", host=self.settings.place.name)
        self._stopped.set()

    async def _accept(
        self,
        serve: Callable[[trio.SocketStream], Awaitable[None]],
        listener: trio.SocketListener,
        nursery: trio.Nursery,
    ) -> None:
        with self._accepting:
            await trio.serve_listeners(serve, [listener], handler_nursery=nursery)
        await listener.aclose()

    async def _follow(self, follower: Follower) -> None:
        gossip = self.gossip
        if self.settings.first_start:
            await wait_for_relays(follower, self.hosts.follower, gossip.is_relay)
        elif follower is not self.hosts.follower:
            await self._start_copies.finished.wait()
        store = self._ends.store
        await follow(store, follower, self._rng, gossip.is_relay, gossip.notify_zone)

    async def _find_record(self) -> Revision:
        """Return the version of the record of a previous start, or `NO_REVISION`."""
        if self.settings.first_start:
            return NO_REVISION
        return await find_own_record(self.settings.place.name, self.hosts.follower)

    def _poll_parts(self) -> PollParts:
        return PollParts(
            store=self._ends.store,
            configurations=self._configurations,
            servers=self._servers,
            evacuations=self._evacuation_objects,
            own=self._own,
            hosts=self.hosts,
            rng=self._rng,
            in_force_s=lambda: self.settings.configuration_ms / 1000,
            spread=self.gossip.notify_all_zones,
        )

    async def _read_servers(self) -> bool:
        listed = await self._ends.store.list(self._servers.kind)
        if listed.is_ok():
            self._servers.take_list(listed.unwrap())
        return listed.is_ok()

    def _serve_parts(self, nursery: trio.Nursery) -> ServeParts:
        router = Router(
            RouterDependencies(
                directory=self.directory,
                dispatcher=self.agents,
                floors=self.floors,
                topology=self._places,
                clock=now_s,
                nursery=nursery,
                name=self._incarnation,
                meter=self.meter,
                crossing=lambda: CrossingCosts(*self.settings.crossing),
            )
        )
        session = SessionParts(lambda: self.routes, self.rates.admit, router, now_s)
        departures = None
        if self._scarce_slots:
            departures = DepartureWatch()
            nursery.start_soon(departures.run)
        return ServeParts(
            session, self.sessions, self._may_serve, self.meter, departures
        )

    def _may_serve(self) -> bool:
        return self.routes.version > 0

    async def _note_registration(self) -> None:
        await self.registration.written.wait()
        self.rates.registered(self.registration.is_first_registration is not False)
        while True:
            await self._deleted.wait()
            self._deleted = trio.Event()
            await self.registration.written.wait()
            self.rates.registered(anew=True)

    def _hosts_changed(self) -> None:
        """Register again where others have deleted this host's record.

        They do so with that of a host that was cut off from them.
        """
        listed = self.hosts.find(self._own().name) is not None
        deleted = self._listed and not listed and not self._stopping
        self._listed = listed
        if deleted:
            log_event("host.deleted", host=self.settings.place.name)
            self.rates.unregistered()
            self.registration.restore_record()
            self._deleted.set()

    def _own(self) -> HostRecord:
        return self.registration.record

    def _connections_of(self, service: str) -> int | None:
        known = self.routes.services.get(service)
        return known.connections if known is not None else None

    def _cold_bound(self, service: str) -> ColdBound:
        known = self.routes.services.get(service)
        if known is None:
            return NO_COLD_BOUND
        excess_ratio, slack = self.settings.cold
        return ColdBound(known.cold_per_s, known.cold_s, excess_ratio, slack)

    def _may_begin_work(self, server_id: str) -> bool:
        drain_s = self.settings.drain_ms / 1000 - LEAVE_MARGIN_S
        return self.directory.may_begin_work(server_id, drain_s)

    async def _prove(self, service: str) -> ProofAnswer:
        leader = self.directory.leader(service)
        if leader is None:
            return ProofAnswer(None, "no primary is known")
        answer = await self.agents.prove(leader)
        if answer.position is not None:
            self.directory.record_leader_proof(service, leader.id)
        elif answer.denied:
            self.directory.record_leader_denial(leader.id)
        return answer

    async def _ask_nearby(self, service: str) -> FloorAnswer | None:
        """Ask the host that asks the service's primary for all of this region."""
        own = self._own()
        region = self._places.region(own.zone)
        nearby = {
            record.name: record
            for record in self.hosts.active_hosts()
            if self._places.region(record.zone) == region
            and not self.peers.is_dark(record.peer)
        }
        asking = ranked(f"floors-{service}", {*nearby, own.name})[0]
        if asking == own.name:
            return None
        question = FloorQuestion(service)
        asked = await self.peers.ask(nearby[asking].peer, question, NEARBY_TIMEOUT_MS)
        answer = asked.ok()
        return answer if isinstance(answer, FloorAnswer) else None

    def _take_evacuation(self, stored: Stored | None, zone: str) -> None:
        assert self._evacuation_objects is not None
        if stored is None:
            self.evacuations.end(zone)
        else:
            listed = self._evacuation_objects.listed.is_set()
            is_news = listed and self._start_copies.finished.is_set()
            self.evacuations.begin(zone, is_news)

    def _take_routes(self, stored: Stored | None, name: str) -> None:
        if name != self._ends.configuration_name:
            return
        if stored is None:
            log_event("configuration.missing", name=name)
            return
        read = self._ends.read_routes(stored.spec)
        if read.is_err():
            log_event("configuration.unreadable", reason=read.unwrap_err())
            return
        offered = read.unwrap()
        if offered.version <= self.routes.version:
            return
        self.routes = offered
        log_event(
            "configuration.in_force",
            version=offered.version,
            routes=len(offered.routes),
            keys=len(offered.owners),
        )
        for session in self.sessions.all():
            if not session.may_go_on():
                session.close_when_idle()

    def _answer_readiness(self, method: str, path: str) -> HttpReply:
        if path != self._ends.readiness_path:
            return HttpReply(404)
        return HttpReply(200 if self.ready else 503)

    def _answer_metrics(self, method: str, path: str) -> HttpReply:
        if path != self._ends.metrics_path:
            return HttpReply(404)
        return HttpReply(200, self.meter.exposition())

    def _serve_gauges(self) -> None:
        """Serve what is known of the host's state whenever somebody asks."""
        gauge = self.meter.gauge
        gauge(kinds.CONFIGURATION_VERSION, lambda: self.routes.version)
        gauge(kinds.SESSIONS, lambda: len(self.sessions))
        gauge(kinds.CONNECTIONS, lambda: self.callers.connections)
        gauge(kinds.HELD_BYTES, lambda: self.callers.held.held_bytes)
        gauge(kinds.HOSTS, lambda: len(self.hosts.all()))
        gauge(kinds.STORE_SILENT_S, self._store_silent_s)

    def _store_silent_s(self) -> float:
        heard_at_s = max(follower.heard_at_s for follower in self._followers)
        return time.monotonic() - heard_at_s

    async def _answer_peer(self, question: Message) -> Message | None:
        parts = Answerers(
            self.serving,
            self._neighbours,
            self.rates.broker,
            self.gossip,
            self.directory,
            self.floors,
            self._leader_uses,
            self._start_copies,
        )
        return await answer_peer(question, self._own(), parts)


def build_host(
    settings: LineHostSettings,
    ends: Ends,
    seed: int | None = None,
    meter: Meter | None = None,
    process_started_at_s: float | None = None,
) -> Host:
    """Return a host built from ``settings``, over the protocols of ``ends``.

    ``process_started_at_s`` is when its process began, where it has one to itself.
    """
    counting = meter if meter is not None else Meter()
    started_at_s = now_s() if process_started_at_s is None else process_started_at_s
    return Host(settings, ends, random.Random(seed), counting, started_at_s)
