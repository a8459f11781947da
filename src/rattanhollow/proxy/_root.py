"""The composition root: builds a proxy from its settings and runs it."""

import random
import secrets
import time
from collections.abc import Awaitable, Callable

import trio

from rattanhollow.backend import (
    Credentials,
    Group,
    Groups,
    PoolSettings,
    group_control,
)
from rattanhollow.configuration import (
    CONFIGURATION_KIND,
    EMPTY,
    Configuration,
    Database,
    configuration_reader,
)
from rattanhollow.coordination import (
    GROUP_KIND,
    GroupControl,
    Step,
    group_state_from_spec,
)
from rattanhollow.limits import ByteBudget, ConnectionLimit, derive_limits
from rattanhollow.membership import (
    Freshness,
    HostDirectory,
    HostRecord,
    NeighbourWatch,
    PeerAccess,
    Registration,
)
from rattanhollow.observe import Metrics, log_event, no_metrics, statsd_metrics
from rattanhollow.peer import Message, Peers, new_peer_keys
from rattanhollow.pgwire import Watchdog
from rattanhollow.proxy._answer_peers import Answerers, answer_peer
from rattanhollow.proxy._cancel import cancel_anywhere
from rattanhollow.proxy._drain import send_callers_away
from rattanhollow.proxy._guards import ALL_GUARDS, Guards
from rattanhollow.proxy._listen import Listener, tls_context
from rattanhollow.proxy._login import Cancel
from rattanhollow.proxy._service import Callers, Service
from rattanhollow.proxy._watch_all import GroupWatches
from rattanhollow.proxy._watch_primary import WatchParts
from rattanhollow.rates import LeasedRateLimiter, LeasedRateLimiterParts
from rattanhollow.records import RecordError
from rattanhollow.settings import ProxySettings
from rattanhollow.sql import classifier
from rattanhollow.store import Follower, ObjectStore, Stored, follow, http_store
from rattanhollow.verdict import Refusal, Verdict, sqlstates

# A proxy takes 57 MB with few callers, and 164 MB with 36 MB held for 120 of them.
BASE_BYTES = 100_000_000
# Callers above the limit that may begin to log in, to be told of it.
TOLD_AT_ONCE = 8
CONFIRM_TIMEOUT_MS = 2_000

StepHook = Callable[[str, Step], Awaitable[None]]


async def no_hook(database: str, step: Step) -> None:
    """Do nothing behind an election step."""


class Proxy:
    """A running proxy process; built by `build_proxy`."""

    def __init__(
        self,
        settings: ProxySettings,
        store: ObjectStore,
        metrics: Metrics,
        guards: Guards,
        rng: random.Random,
        step_hook: StepHook,
    ) -> None:
        self.settings = settings
        self.configuration: Configuration = EMPTY
        self._read_configuration = configuration_reader()
        self.groups = Groups(self._make_group)
        self.hosts = HostDirectory(self._hosts_changed)
        self.metrics = metrics
        self._store = store
        self._rng = rng
        self._step_hook = step_hook
        self._watchdog = Watchdog()
        self._new_configuration = trio.Event()
        keys = new_peer_keys()
        self.peers = Peers(
            settings.host.address, keys, self.hosts.has_public_key, self._answer_peer
        )
        record = HostRecord(
            name=settings.host.name,
            address=settings.host.address,
            zone=settings.host.zone,
            peer_port=settings.peer.port,
            public_key=keys.public.decode(),
            incarnation=secrets.token_hex(8),
        )
        self.registration = Registration(store, record, rng)
        self._neighbours = NeighbourWatch(
            self._own_record, self.hosts, self.peers, store, settings.membership
        )
        self.service = Service(
            settings=settings,
            groups=self.groups,
            configuration=lambda: self.configuration,
            classify=classifier(),
            callers=Callers(),
            guards=guards,
            metrics=metrics,
            rng=rng,
            watchdog=self._watchdog,
            held=ByteBudget(
                derive_limits(settings.limits.held, BASE_BYTES).byte_limits,
                time.monotonic,
                lambda: metrics.add("callers.paused", 1),
            ),
            connections=ConnectionLimit(
                settings.limits.callers + TOLD_AT_ONCE, time.monotonic
            ),
            is_fresh=self._may_serve,
            admit=self._admit,
            admit_soon=self._admit_soon,
        )
        self._listener = Listener(self.service, tls_context(settings.listen))
        self._configurations = Follower(
            CONFIGURATION_KIND,
            self._take_stored,
            is_newer=self._is_newer_configuration,
        )
        reach = PeerAccess(self._own_record, self.hosts, self.peers, rng)
        self.freshness = Freshness(self._configurations, reach)
        self._watches = GroupWatches(self.groups, self._watch_parts())
        self.rates = LeasedRateLimiter(self._rate_parts())
        self._drained = trio.Event()

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve callers until cancelled, or until `drain` is through."""
        async with trio.open_nursery() as nursery:
            configurations = self._configurations
            states = Follower(GROUP_KIND, self._take_group)
            followers = (
                configurations,
                states,
                self.hosts.follower,
                self.rates.follower,
            )
            for follower in followers:
                nursery.start_soon(follow, self._store, follower, self._rng)
            nursery.start_soon(self._apply_configurations)
            nursery.start_soon(self._watches.run)
            nursery.start_soon(self._neighbours.run)
            nursery.start_soon(self.freshness.run)
            nursery.start_soon(self.rates.run)
            nursery.start_soon(self.metrics.run)
            nursery.start_soon(self._watchdog.run)
            nursery.start_soon(self.peers.run, self.settings.peer.port)
            nursery.start_soon(self.registration.run)
            nursery.start_soon(
                self.registration.restore_in_new_eras, self.hosts.follower
            )
            nursery.start_soon(self._become_ready, nursery, task_status)
            await self._drained.wait()
            nursery.cancel_scope.cancel()

    async def _become_ready(
        self, nursery: trio.Nursery, task_status: trio.TaskStatus[None]
    ) -> None:
        """Accept callers once the configuration is known.

        Without it no key can be checked: callers that come earlier are better off
        at another host.
        """
        await self._configurations.listed.wait()
        await nursery.start(self._listener.run, self._cancel)
        port = self.settings.listen.port
        log_event("proxy.ready", host=self.settings.host.name, port=port)
        task_status.started()

    async def drain(self) -> None:
        """Leave without cutting a request.

        The host list is told first and given time to be read; then nobody new
        is accepted, idle callers are sent away, and running requests and
        transactions finish, within the drain time of the settings.
        """
        log_event("proxy.draining", host=self.settings.host.name)
        await self.registration.announce_leaving()
        await trio.sleep(self.settings.shutdown.announce_ms / 1000)
        self._listener.stop()
        callers = self.service.callers
        await send_callers_away(callers, self.settings.shutdown.drain_ms)
        await self.rates.release()
        await self.registration.remove()
        log_event("proxy.drained", callers_cut=callers.connected)
        self._drained.set()

    def _make_group(self, database: Database) -> Group:
        backend = self.settings.backend
        settings = PoolSettings(
            credentials=self._credentials(),
            watchdog=self._watchdog,
            connections=backend.connections,
            probe_after_idle_ms=backend.probe_after_idle_ms,
            lead_timeout_ms=self.settings.failover.probe_timeout_ms,
            confirm_timeout_ms=CONFIRM_TIMEOUT_MS,
        )
        return Group(database, settings, self._rng)

    def _credentials(self) -> Credentials:
        backend = self.settings.backend
        return Credentials(
            backend.user,
            backend.password,
            backend.connect_timeout_ms,
            self.settings.host.address,
        )

    def _control(self, database: str) -> GroupControl:
        timeout_ms = self.settings.failover.step_timeout_ms
        return group_control(database, self._credentials(), self._watchdog, timeout_ms)

    def _take_stored(self, stored: Stored | None, name: str) -> None:
        if stored is None:
            log_event("configuration.missing", name=name)
            return
        try:
            offered = self._read_configuration(stored.spec)
        except RecordError as error:
            log_event("configuration.unreadable", reason=error)
            return
        if offered.version <= self.configuration.version:
            return
        self.configuration = offered
        self._new_configuration.set()

    def _is_newer_configuration(self, known: Stored, listed: Stored) -> bool | None:
        """Whether operators wrote a configuration after the one that was known."""
        try:
            before = self._read_configuration(known.spec)
            after = self._read_configuration(listed.spec)
        except RecordError:
            return None
        return after.version >= before.version

    async def _apply_configurations(self) -> None:
        """Bring each configuration into force: groups, watches, open connections."""
        while True:
            await self._new_configuration.wait()
            self._new_configuration = trio.Event()
            configuration = self.configuration
            await self.groups.take_databases(configuration.databases)
            self._watches.changed()
            self._refresh_callers(configuration)
            self.registration.set_configuration_version(configuration.version)
            log_event("configuration.in_force", version=configuration.version)

    def _refresh_callers(self, configuration: Configuration) -> None:
        """Bring a configuration into force for callers that are connected."""
        for caller in self.service.callers.all():
            limits = configuration.organisations.get(caller.organisation)
            if limits is not None:
                caller.limits = limits
            known = configuration.has_key(caller.organisation, caller.key)
            if self.service.guards.key_check and not known:
                verdict = Verdict.MAY_HAVE_RUN if caller.busy else Verdict.NOT_RUN
                reason = "the key was withdrawn"
                caller.ending = Refusal(verdict, sqlstates.LEAVING, reason)
                caller.session_scope.cancel()

    def _take_group(self, stored: Stored | None, name: str) -> None:
        if stored is None:
            return
        try:
            self.groups.take_state(name, group_state_from_spec(stored.spec))
        except RecordError as error:
            log_event("group.unreadable", database=name, reason=error)

    def _watch_parts(self) -> WatchParts:
        return WatchParts(
            own=self._own_record,
            hosts=self.hosts,
            peers=self.peers,
            store=self._store,
            control=self._control,
            settings=self.settings.failover,
            metrics=self.metrics,
            rng=self._rng,
            finished=self._step_hook,
            fencing=self.service.guards.fence,
        )

    async def _answer_peer(self, question: Message) -> Message | None:
        parts = Answerers(
            groups=self.groups,
            watches=self._watches,
            neighbours=self._neighbours,
            freshness=self.freshness,
            rates=self.rates,
            service=self.service,
        )
        return await answer_peer(question, self._own_record(), parts)

    def _rate_parts(self) -> LeasedRateLimiterParts:
        return LeasedRateLimiterParts(
            organisations=lambda: self.configuration.organisations,
            own=self._own_record,
            hosts=self.hosts,
            peers=self.peers,
            store=self._store,
            settings=self.settings.rates,
        )

    def _admit(self, organisation: str) -> bool:
        return not self.service.guards.rates or self.rates.admit(organisation)

    async def _admit_soon(self, organisation: str) -> bool:
        return await self.rates.admit_soon(organisation)

    def _may_serve(self) -> bool:
        return not self.service.guards.freshness or self.freshness.is_fresh()

    def _own_record(self) -> HostRecord:
        return self.registration.record

    def _hosts_changed(self) -> None:
        self._watches.changed()
        own = self.registration.record
        if self.hosts.follower.listed.is_set() and self.hosts.find(own.name) != own:
            self.registration.restore_record()

    async def _cancel(self, wanted: Cancel) -> None:
        own = self.settings.host.name
        await cancel_anywhere(self.service, wanted, self.peers, self.hosts, own)


def build_proxy(
    settings: ProxySettings,
    store: ObjectStore | None = None,
    guards: Guards = ALL_GUARDS,
    seed: int | None = None,
    step_hook: StepHook = no_hook,
) -> Proxy:
    """Return a proxy built from ``settings``.

    Tests give a ``store``, ``guards``, a ``seed`` and a hook that is called
    behind each election step.

    Raises:
        OSError: a TLS file can't be used.

    """
    metrics = no_metrics()
    if settings.metrics.address:
        name = settings.host.name
        metrics = statsd_metrics(
            settings.metrics.address, settings.metrics.port, f"rattanhollow.{name}"
        )
    chosen = store or http_store(
        settings.store.url, settings.store.timeout_ms, settings.host.address
    )
    rng = random.Random(seed)
    return Proxy(settings, chosen, metrics, guards, rng, step_hook)
