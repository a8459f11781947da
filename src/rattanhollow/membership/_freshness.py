"""Detection of a configuration that may be out of date.

A host that is disconnected from the store cannot learn that a key was withdrawn.
It keeps serving as long as other hosts confirm its configuration: either one that
receives changes from the store, or, if none does, hosts in most availability zones.
If another host has a newer configuration, it is fetched from there. Without
confirmation the host stops accepting requests.
"""

import random
import time
from collections import defaultdict
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
import trio

from rattanhollow.membership._hosts import HostDirectory, HostRecord
from rattanhollow.observe import log_event
from rattanhollow.peer import (
    ConfigurationAnswer,
    ConfigurationQuestion,
    FreshnessAnswer,
    FreshnessQuestion,
    Message,
    Peers,
)
from rattanhollow.store import (
    NO_REVISION,
    Follower,
    Revision,
    Stored,
    revision_from_wire,
    revision_to_wire,
)

CHECK_INTERVAL_S = 0.5
STALE_AFTER_S = 5.0
# A host whose last contact with the store is no older than this is connected to it.
RECENT_CONTACT_S = 3.0
HOSTS_QUERIED_PER_ZONE = 2
QUERY_TIMEOUT_MS = 500


class PeerAccess(NamedTuple):
    """The own record, the other hosts, and the connections to query them."""

    own: Callable[[], HostRecord]
    hosts: HostDirectory
    peers: Peers
    rng: random.Random


class Freshness:
    """Tracks when the configuration was last confirmed to be the newest."""

    def __init__(self, follower: Follower, peer_access: PeerAccess) -> None:
        self._follower = follower
        self._peer_access = peer_access
        self._confirmed_by_hosts_at_s = float("-inf")

    def is_fresh(self) -> bool:
        """Whether the configuration is recent enough to accept requests."""
        return time.monotonic() - self._last_confirmed_at_s() < STALE_AFTER_S

    def freshness_response(self) -> FreshnessAnswer:
        """Return this host's configuration version and the age of its store contact."""
        contact_age_ms = int((time.monotonic() - self._follower.heard_at_s) * 1000)
        return FreshnessAnswer(self._known_version(), contact_age_ms)

    def configuration_response(self) -> ConfigurationAnswer:
        """Return all configuration objects known from the store, for another host."""
        items = [
            (item.name, revision_to_wire(item.version), item.spec)
            for item in self._follower.items.values()
        ]
        return ConfigurationAnswer(msgspec.json.encode(items))

    async def run(self) -> None:
        """Query other hosts while the store sends nothing, until cancelled."""
        was_fresh = True
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if time.monotonic() - self._follower.heard_at_s > RECENT_CONTACT_S:
                await self._query_other_hosts()
            if self.is_fresh() != was_fresh:
                was_fresh = not was_fresh
                log_event("configuration.freshness", fresh=was_fresh)

    def _last_confirmed_at_s(self) -> float:
        return max(self._confirmed_by_hosts_at_s, self._follower.heard_at_s)

    def _known_version(self) -> Revision:
        """Return the store version of the newest known configuration object."""
        versions = (item.version for item in self._follower.items.values())
        return max(versions, default=NO_REVISION)

    async def _query_other_hosts(self) -> None:
        queried_at_s = time.monotonic()
        responses: dict[str, list[tuple[HostRecord, FreshnessAnswer]]]
        responses = defaultdict(list)

        async def query(record: HostRecord) -> None:
            request = FreshnessQuestion()
            result = await self._peer_access.peers.ask(
                record.peer, request, QUERY_TIMEOUT_MS
            )
            response: Message | None = result.ok()
            if isinstance(response, FreshnessAnswer):
                responses[record.zone].append((record, response))

        zones = self._sample_hosts()
        async with trio.open_nursery() as nursery:
            for record in [record for zone in zones.values() for record in zone]:
                nursery.start_soon(query, record)
        received = [pair for zone in responses.values() for pair in zone]
        newest = max(received, key=lambda pair: pair[1].version, default=None)
        if newest is not None and newest[1].version > self._known_version():
            await self._fetch_configuration(newest[0])
        if newest is not None and newest[1].version > self._known_version():
            return
        if self._is_confirmed_by(zones, responses):
            self._confirmed_by_hosts_at_s = queried_at_s

    def _is_confirmed_by(
        self,
        zones: dict[str, list[HostRecord]],
        responses: dict[str, list[tuple[HostRecord, FreshnessAnswer]]],
    ) -> bool:
        """Whether the responses rule out a newer configuration at any host.

        Either one of the hosts is connected to the store, or hosts in most
        availability zones responded.
        """
        recent_contact_ms = RECENT_CONTACT_S * 1000
        received = [response for zone in responses.values() for _, response in zone]
        if any(response.heard_ms < recent_contact_ms for response in received):
            return True
        own_zone = self._peer_access.own().zone
        responding_zones = {*responses, own_zone}
        all_zones = {*zones, own_zone}
        is_isolated = not received and any(zones.values())
        return not is_isolated and 2 * len(responding_zones) > len(all_zones)

    def _sample_hosts(self) -> dict[str, list[HostRecord]]:
        """Choose a few random hosts of each zone, without this one."""
        zones: dict[str, list[HostRecord]] = defaultdict(list)
        for record in self._peer_access.hosts.all():
            if record.name != self._peer_access.own().name:
                zones[record.zone].append(record)
        return {
            zone: self._peer_access.rng.sample(
                records, min(HOSTS_QUERIED_PER_ZONE, len(records))
            )
            for zone, records in zones.items()
        }

    async def _fetch_configuration(self, record: HostRecord) -> None:
        request = ConfigurationQuestion()
        result = await self._peer_access.peers.ask(
            record.peer, request, QUERY_TIMEOUT_MS
        )
        response: Message | None = result.ok()
        if not isinstance(response, ConfigurationAnswer):
            return
        try:
            items = msgspec.json.decode(
                response.content, type=list[tuple[str, Any, dict[str, Any]]]
            )
            versions = [revision_from_wire(version) for _, version, _ in items]
        except (ValueError, RecursionError) as error:
            log_event("configuration.unreadable", host=record.name, reason=error)
            return
        for (name, _, spec), version in zip(items, versions, strict=True):
            self._follower.offer(Stored(self._follower.kind, name, version, spec))
        log_event("configuration.from_host", host=record.name)
