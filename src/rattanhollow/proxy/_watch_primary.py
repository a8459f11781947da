"""Watching a primary together with other hosts, and replacing a dead one."""

import random
import time
import uuid
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from rattanhollow.backend import Group
from rattanhollow.coordination import (
    GroupControl,
    Step,
    Vote,
    agreed,
    elect,
    follow_all,
)
from rattanhollow.membership import HostDirectory, HostRecord
from rattanhollow.observe import Metrics, log_event
from rattanhollow.peer import Peers, SuspicionAnswer, SuspicionQuestion
from rattanhollow.settings import FailoverSettings
from rattanhollow.store import ObjectStore

VOTE_TIMEOUT_MS = 300
TURN_MS = 150
REPAIR_INTERVAL_S = 2.0
RETRY_LOW_S = 0.3
RETRY_HIGH_S = 1.0


class WatchParts(NamedTuple):
    """What watching needs; ``finished`` is called behind each election step."""

    own: Callable[[], HostRecord]
    hosts: HostDirectory
    peers: Peers
    store: ObjectStore
    control: Callable[[str], GroupControl]
    settings: FailoverSettings
    metrics: Metrics
    rng: random.Random
    finished: Callable[[str, Step], Awaitable[None]]
    fencing: bool = True


class PrimaryWatch:
    """The opinion that this host has of one group's primary."""

    def __init__(self, group: Group, parts: WatchParts) -> None:
        self.group = group
        self.watchers: list[HostRecord] = []
        self._parts = parts
        self._bad_since_s: float | None = None
        self._bad_term = 0
        self._claim_seen: tuple[int, float] = (0, 0.0)
        self._repaired_at_s = 0.0

    def suspects(self, term: int) -> bool:
        """Whether this host holds the primary of ``term`` for dead."""
        if self._bad_since_s is None or self._bad_term != term:
            return False
        if self.group.primary is None:
            return True
        bad_ms = (time.monotonic() - self._bad_since_s) * 1000
        return bad_ms >= self._parts.settings.suspect_after_ms

    async def run(self) -> None:
        """Watch until cancelled, as one of ``watchers``."""
        interval_s = self._parts.settings.probe_interval_ms / 1000
        while True:
            await trio.sleep(interval_s * self._parts.rng.uniform(0.8, 1.2))
            if self.group.state.term and not self.group.settled:
                await self._change_members()
                continue
            await self._probe()
            if self.suspects(self.group.state.term):
                await self._replace()
            elif self._bad_since_s is None and self._turn() == 0:
                await self._repair()

    def _turn(self) -> int:
        """Return this host's place among the watchers."""
        own = self._parts.own().name
        return [record.name for record in self.watchers].index(own)

    async def _probe(self) -> None:
        term = self.group.state.term
        now_s = time.monotonic()
        timeout_s = self._parts.settings.probe_timeout_ms / 1000
        proven = now_s - self.group.index.proven_at_s < timeout_s / 2
        if not proven:
            proven = await self._ask(timeout_s)
        if proven or term != self.group.state.term:
            self._bad_since_s = None
        elif self._bad_since_s is None or self._bad_term != term:
            self._bad_since_s, self._bad_term = now_s, term

    async def _ask(self, timeout_s: float) -> bool:
        with trio.move_on_after(timeout_s):
            answer = await self.group.index.read()
            return answer.is_ok()
        # The pool may be exhausted, by work or by a primary that hangs: a
        # connection of its own tells these apart.
        with trio.move_on_after(timeout_s):
            answer = await self.group.ask_apart()
            return answer.is_ok()
        return False

    async def _replace(self) -> None:
        term = self.group.state.term
        await trio.sleep(self._turn() * TURN_MS / 1000)
        if not self.suspects(self.group.state.term) or self._other_claims():
            return
        if not agreed(await self._votes(term), self._zone_count()):
            return
        log_event("failover.agreed", database=self.group.database.name, dead_term=term)
        await self._elect(term)

    def _other_claims(self) -> bool:
        """Whether another host's election is under way and had not long enough."""
        claimed = self.group.state.claimed_term
        if claimed <= self.group.state.term:
            return False
        if self._claim_seen[0] != claimed:
            self._claim_seen = (claimed, time.monotonic())
        age_ms = (time.monotonic() - self._claim_seen[1]) * 1000
        return age_ms < 2 * self._parts.settings.step_timeout_ms

    def _zone_count(self) -> int:
        zones = {record.zone for record in self._parts.hosts.active_hosts()}
        return len(zones | {self._parts.own().zone})

    async def _change_members(self) -> None:
        """Bring changed members into force: by an election, without suspicion."""
        state = self.group.state
        await trio.sleep(self._turn() * TURN_MS / 1000)
        if self.group.state != state or self.group.settled or self._other_claims():
            return
        log_event("group.members", database=self.group.database.name, term=state.term)
        await self._elect(state.term)

    async def _votes(self, term: int) -> list[Vote]:
        own = self._parts.own()
        votes = [Vote(own.name, own.zone, self.suspects(term))]
        question = SuspicionQuestion(self.group.database.name, term)

        def take(answer: SuspicionAnswer) -> None:
            votes.append(Vote(answer.host, answer.zone, answer.suspects))
            if answer.state is not None:
                self.group.take_state(answer.state)

        async def ask(record: HostRecord) -> None:
            asked = await self._parts.peers.ask(record.peer, question, VOTE_TIMEOUT_MS)
            answer = asked.ok()
            if isinstance(answer, SuspicionAnswer):
                take(answer)

        async with trio.open_nursery() as nursery:
            for record in self.watchers:
                if record.name != own.name:
                    nursery.start_soon(ask, record)
        return votes

    async def _elect(self, dead_term: int) -> None:
        name = self.group.database.name
        began_s = time.monotonic()

        async def finished(step: Step) -> None:
            step_ms = (time.monotonic() - began_s) * 1000
            self._parts.metrics.timing(f"failover.{step.value}", step_ms)
            log_event(
                "failover.step", database=name, step=step.value, after_ms=int(step_ms)
            )
            await self._parts.finished(name, step)

        elected = await elect(
            self.group.database,
            dead_term,
            self._parts.own().name,
            uuid.uuid4().hex,
            self._parts.store,
            self._parts.control(name),
            finished,
            self._parts.fencing,
        )
        if elected.is_ok():
            self.group.take_state(elected.unwrap())
            return
        failure = elected.unwrap_err()
        log_event(
            "failover.failed",
            database=name,
            step=failure.step.value,
            reason=failure.reason,
        )
        await trio.sleep(self._parts.rng.uniform(RETRY_LOW_S, RETRY_HIGH_S))

    async def _repair(self) -> None:
        """Make members that missed the last election follow its primary."""
        if time.monotonic() - self._repaired_at_s < REPAIR_INTERVAL_S:
            return
        self._repaired_at_s = time.monotonic()
        state = self.group.state
        control = self._parts.control(self.group.database.name)
        for member in self.group.replicas:
            status = await control.status(member)
            if status.is_ok() and status.unwrap().term < state.term:
                log_event(
                    "group.repair",
                    database=self.group.database.name,
                    member=member.name,
                    term=state.term,
                )
                await follow_all(
                    self.group.database,
                    state.term,
                    state.primary,
                    control,
                    {member.name},
                )
