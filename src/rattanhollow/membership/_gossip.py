"""Comparing followed copies with other hosts.

A host that the store turns away, or whose watch has gone silent, hears of changes
from hosts that the store still serves.
"""

import hashlib
import random
from collections.abc import Callable, Sequence

import trio

from rattanhollow.membership._hosts import HostDirectory, HostRecord
from rattanhollow.observe import log_event
from rattanhollow.peer import Copy, CopyAnswer, CopyQuestion, CopyState, Peers
from rattanhollow.store import Follower, Listing, Stored

# With the few rounds that news needs to reach every host, within seconds.
INTERVAL_S = 0.7
ASK_TIMEOUT_MS = 400


class Gossip:
    """Asks one other host after another whether it knows anything newer."""

    def __init__(
        self,
        followers: Sequence[Follower],
        own: Callable[[], HostRecord],
        hosts: HostDirectory,
        peers: Peers,
        rng: random.Random,
    ) -> None:
        self._followers = {follower.kind: follower for follower in followers}
        self._own = own
        self._hosts = hosts
        self._peers = peers
        self._rng = rng

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await trio.sleep(INTERVAL_S * self._rng.uniform(0.8, 1.2))
            others = [h for h in self._hosts.all() if h.name != self._own().name]
            reached = [h for h in others if not self._peers.is_dark(h.peer)]
            if reached:
                await self._ask(self._rng.choice(reached))

    def answer(self, question: CopyQuestion) -> CopyAnswer:
        """Return the copies that are newer here."""
        newer = []
        for state in question.states:
            follower = self._followers.get(state.kind)
            if follower is None or follower.version <= state.version:
                continue
            if digest_of_copy(follower) == state.digest:
                continue
            newer.append(
                Copy(
                    state.kind,
                    follower.version,
                    tuple((i.name, i.version, i.spec) for i in follower.items.values()),
                )
            )
        return CopyAnswer(tuple(newer))

    async def _ask(self, record: HostRecord) -> None:
        states = tuple(
            CopyState(follower.kind, follower.version, digest_of_copy(follower))
            for follower in self._followers.values()
        )
        asked = await self._peers.ask(record.peer, CopyQuestion(states), ASK_TIMEOUT_MS)
        answer = asked.ok()
        if not isinstance(answer, CopyAnswer):
            return
        for copy in answer.copies:
            self._take(copy, record)

    def _take(self, copy: Copy, record: HostRecord) -> None:
        follower = self._followers.get(copy.kind)
        if follower is None or copy.version <= follower.version:
            return
        log_event(
            "copy.from_host",
            kind=copy.kind,
            host=record.name,
            version=copy.version,
            known_version=follower.version,
        )
        items = [Stored(copy.kind, *item) for item in copy.items]
        follower.take_copy(Listing(copy.version, items))


def digest_of_copy(follower: Follower) -> int:
    """Return what two copies with the same objects have in common."""
    names = sorted(f"{i.name}\0{i.version}" for i in follower.items.values())
    digest = hashlib.blake2b("\n".join(names).encode(), digest_size=8).digest()
    return int.from_bytes(digest)
