"""Whether this host's configuration can be the newest.

A host that the store has lost can't hear that a key was withdrawn. It goes on
while other hosts tell it what they know: one that hears the store, or, where
nobody does, hosts in most availability zones. A newer configuration is taken
from them. Otherwise the host takes no requests.
"""

import random
import time
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

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
from rattanhollow.store import Follower, Stored

CHECK_INTERVAL_S = 0.5
STALE_AFTER_S = 5.0
HEARD_LATELY_S = 3.0
ASKED_IN_A_ZONE = 2
ASK_TIMEOUT_MS = 500


class Reach(NamedTuple):
    """Who is asked: the other hosts, and the links to them."""

    own: Callable[[], HostRecord]
    hosts: HostDirectory
    peers: Peers
    rng: random.Random


class Freshness:
    """Keeps track of when the configuration was last known to be the newest."""

    def __init__(self, follower: Follower, reach: Reach) -> None:
        self._follower = follower
        self._reach = reach
        self._confirmed_at_s = float("-inf")

    def is_fresh(self) -> bool:
        """Whether requests may be taken."""
        return time.monotonic() - self._last_s() < STALE_AFTER_S

    def answer(self) -> FreshnessAnswer:
        """Tell another host what this one knows."""
        heard_ms = int((time.monotonic() - self._follower.heard_at_s) * 1000)
        return FreshnessAnswer(self._version(), heard_ms)

    def configuration(self) -> ConfigurationAnswer:
        """Give another host all that was read from the store."""
        items = list(self._follower.items.values())
        return ConfigurationAnswer(msgspec.json.encode([item[1:] for item in items]))

    async def run(self) -> None:
        """Ask other hosts while the store is silent, until cancelled."""
        was_fresh = True
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            if time.monotonic() - self._follower.heard_at_s > HEARD_LATELY_S:
                await self._ask_others()
            if self.is_fresh() != was_fresh:
                was_fresh = not was_fresh
                log_event("configuration.freshness", fresh=was_fresh)

    def _last_s(self) -> float:
        return max(self._confirmed_at_s, self._follower.heard_at_s)

    def _version(self) -> int:
        """Return the store's version of the newest object that is known."""
        return max((i.version for i in self._follower.items.values()), default=0)

    async def _ask_others(self) -> None:
        asked_at_s = time.monotonic()
        answers: dict[str, list[tuple[HostRecord, FreshnessAnswer]]]
        answers = defaultdict(list)

        async def ask(record: HostRecord) -> None:
            question = FreshnessQuestion()
            asked = await self._reach.peers.ask(record.peer, question, ASK_TIMEOUT_MS)
            answer: Message | None = asked.ok()
            if isinstance(answer, FreshnessAnswer):
                answers[record.zone].append((record, answer))

        zones = self._sample()
        async with trio.open_nursery() as nursery:
            for record in [record for zone in zones.values() for record in zone]:
                nursery.start_soon(ask, record)
        heard = [pair for zone in answers.values() for pair in zone]
        newest = max(heard, key=lambda pair: pair[1].version, default=None)
        if newest is not None and newest[1].version > self._version():
            await self._fetch(newest[0])
        if newest is not None and newest[1].version > self._version():
            return
        if self._confirmed(zones, answers):
            self._confirmed_at_s = asked_at_s

    def _confirmed(
        self,
        zones: dict[str, list[HostRecord]],
        answers: dict[str, list[tuple[HostRecord, FreshnessAnswer]]],
    ) -> bool:
        """Whether the answers show that nobody can know anything newer."""
        lately_ms = HEARD_LATELY_S * 1000
        heard = [answer for zone in answers.values() for _, answer in zone]
        if any(answer.heard_ms < lately_ms for answer in heard):
            return True
        own_zone = self._reach.own().zone
        reached = {*answers, own_zone}
        everywhere = {*zones, own_zone}
        alone = not heard and any(zones.values())
        return not alone and 2 * len(reached) > len(everywhere)

    def _sample(self) -> dict[str, list[HostRecord]]:
        """Choose some hosts of each zone."""
        zones: dict[str, list[HostRecord]] = defaultdict(list)
        for record in self._reach.hosts.all():
            if record.name != self._reach.own().name:
                zones[record.zone].append(record)
        return {
            zone: self._reach.rng.sample(records, min(ASKED_IN_A_ZONE, len(records)))
            for zone, records in zones.items()
        }

    async def _fetch(self, record: HostRecord) -> None:
        question = ConfigurationQuestion()
        asked = await self._reach.peers.ask(record.peer, question, ASK_TIMEOUT_MS)
        answer: Message | None = asked.ok()
        if not isinstance(answer, ConfigurationAnswer):
            return
        for name, version, spec in msgspec.json.decode(answer.content):
            self._follower.offer(Stored(self._follower.kind, name, version, spec))
        log_event("configuration.from_host", host=record.name)
