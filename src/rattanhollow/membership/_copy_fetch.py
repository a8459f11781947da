"""Large changes and whole copies: what one host sends another, and how it asks.

A change of a large object travels as steps from an earlier version. Where a host
can't apply these, it asks for its own, and then for the whole copy in pieces.
"""

import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

import trio

from rattanhollow.membership._hosts import HostRecord
from rattanhollow.membership._pieces import (
    LARGE_COPY_BYTES,
    LONGEST_WAIT_S,
    PIECE_BYTES,
    EncodedCopies,
    Items,
    Pacer,
    Transfer,
    cut_piece,
    no_piece,
)
from rattanhollow.observe import log_event
from rattanhollow.peer import (
    CopyChange,
    CopyDifference,
    CopyState,
    DifferenceAnswer,
    DifferenceQuestion,
    Peers,
    PieceAnswer,
    PieceQuestion,
    encoded_bytes,
)
from rattanhollow.store import (
    NO_REVISION,
    Changes,
    Follower,
    Revision,
    Step,
    Stored,
    Unfit,
    apply_steps,
)

QUERY_TIMEOUT_MS = 400
# A piece waits for its turn at the other host, and crosses a region at 20 ms.
PIECE_TIMEOUT_MS = 600
# What a relay tells each host of its zone unasked: 65 such messages take 0.7 s of its
# pace. The change of one route has 300 bytes.
LARGEST_NEWS_BYTES = 4 * 1024
RETRY_S = 0.2
# How long a copy is looked for in the own region first, where another host fetches it
# from afar. A difference crosses regions at once.
NEAR_S = 1.0
# A fetch that gets nowhere ends; the next comparison begins another one, which goes
# on from the last piece.
FETCH_S = 8.0


class Source(NamedTuple):
    """A host that may have a copy; ``far`` in another region."""

    record: HostRecord
    far: bool = False


class FetchParts(NamedTuple):
    """What fetching needs of the rest of the host.

    ``sources()`` are the hosts to ask, the nearest first; ``fetches_first()`` whether
    this host fetches from afar for its region. ``apply_difference`` and
    ``apply_items`` return whether the copy is newer now.
    """

    followers: dict[str, Follower]
    peers: Peers
    rng: random.Random
    digest: Callable[[Follower], int]
    sources: Callable[[], list[Source]]
    fetches_first: Callable[[], bool]
    apply_difference: Callable[[CopyDifference], bool]
    apply_items: Callable[[str, Revision, Items, str], bool]


class CopyFetch:
    """Asks other hosts for large changes and copies, and answers them."""

    def __init__(self, parts: FetchParts) -> None:
        self._parts = parts
        self._encoded = EncodedCopies()
        self._pacer = Pacer()
        self._transfers: dict[str, Transfer] = {}
        self._fetching: set[str] = set()

    async def difference_response(
        self, request: DifferenceQuestion
    ) -> DifferenceAnswer:
        """Return what changed behind another host's copy."""
        follower = self._parts.followers.get(request.state.kind)
        if follower is None or follower.version <= request.state.version:
            return DifferenceAnswer(None)
        known = dict(request.large)
        difference = make_difference(
            follower, request.state.version, self._parts.digest(follower), known
        )
        size = encoded_bytes(difference)
        if is_empty(difference) or size > PIECE_BYTES:
            return DifferenceAnswer(None)
        await trio.sleep(self._pacer.wait_s(size, trio.current_time()))
        return DifferenceAnswer(difference)

    async def piece_response(self, request: PieceQuestion) -> PieceAnswer:
        """Return a piece of the copy that was asked for, or of a newer one."""
        follower = self._parts.followers.get(request.kind)
        if follower is None:
            return no_piece(NO_REVISION)
        if self._pacer.backlog_s(trio.current_time()) > LONGEST_WAIT_S:
            return no_piece(follower.version, int(LONGEST_WAIT_S * 1000))
        copy = self._encoded.find(request.kind, request.digest)
        offset = request.offset
        if copy is None or copy.version <= request.version:
            if follower.version <= request.version:
                return no_piece(follower.version)
            copy = self._encoded.encode(
                follower,
                self._parts.digest(follower),
                request.version,
                trio.current_time(),
            )
            offset = offset if copy.digest == request.digest else 0
        piece = cut_piece(copy, max(0, offset))
        await trio.sleep(self._pacer.wait_s(len(piece.data), trio.current_time()))
        return piece

    def telling_wait_s(self, size: int) -> float:
        """Return how long to wait before sending ``size`` bytes unasked."""
        return self._pacer.wait_s(size, trio.current_time())

    async def fetch(
        self, kind: str, version: Revision, partner: HostRecord | None
    ) -> bool:
        """Fetch what is newer, at least ``version``; whether that was had.

        ``partner`` is a host known to have it.
        """
        if kind in self._fetching:
            return False
        self._fetching.add(kind)
        follower = self._parts.followers[kind]
        begun_at_s, known_version = trio.current_time(), follower.version
        try:
            with trio.move_on_after(FETCH_S):
                while follower.version < version:
                    if not await self._fetch_difference(follower, partner):
                        await self._fetch_pieces(follower)
        finally:
            self._fetching.discard(kind)
        log_event(
            "copy.fetched" if follower.version >= version else "copy.not_fetched",
            kind=kind,
            version=follower.version,
            known_version=known_version,
            wanted_version=version,
            took_ms=int((trio.current_time() - begun_at_s) * 1000),
        )
        return follower.version > known_version

    async def _fetch_difference(
        self, follower: Follower, partner: HostRecord | None
    ) -> bool:
        names = follower.large_names()
        if not follower.listed.is_set() or not names:
            return False
        sources = [source.record for source in self._parts.sources()[:2]]
        for record in [partner, *sources] if partner is not None else sources:
            state = CopyState(
                follower.kind, follower.version, self._parts.digest(follower)
            )
            large = tuple((name, follower.items[name].version) for name in names)
            asked = await self._parts.peers.ask(
                record.peer, DifferenceQuestion(state, large), QUERY_TIMEOUT_MS
            )
            answer = asked.ok()
            if isinstance(answer, DifferenceAnswer) and answer.difference is not None:
                return self._parts.apply_difference(answer.difference)
        return False

    async def _fetch_pieces(self, follower: Follower) -> None:
        """Take a whole copy, which may be older than the newest."""
        begun_at_s, known_version = trio.current_time(), follower.version
        # A relay may tell the change meanwhile.
        while follower.version == known_version:
            may_go_far = (
                self._parts.fetches_first()
                or trio.current_time() - begun_at_s >= NEAR_S
            )
            for source in self._parts.sources():
                if source.far and not may_go_far:
                    continue
                if await self._pull(follower, source.record):
                    return
            await trio.sleep(RETRY_S * self._parts.rng.uniform(0.5, 1.5))

    async def _pull(self, follower: Follower, record: HostRecord) -> bool:
        """Take pieces from one host, one after another; whether the copy is whole."""
        while True:
            transfer = self._transfers.get(follower.kind)
            if transfer is not None and transfer.version <= follower.version:
                del self._transfers[follower.kind]
                transfer = None
            digest, offset = (transfer.digest, transfer.offset) if transfer else (0, 0)
            question = PieceQuestion(follower.kind, follower.version, digest, offset)
            asked = await self._parts.peers.ask(record.peer, question, PIECE_TIMEOUT_MS)
            piece = asked.ok()
            if not isinstance(piece, PieceAnswer) or not piece.data:
                return False
            if piece.version <= follower.version:
                return False
            if transfer is None or not transfer.take(piece):
                if piece.offset != 0:
                    # A copy that was encoded otherwise: begin with it from the start.
                    self._transfers.pop(follower.kind, None)
                    return False
                transfer = self._transfers[follower.kind] = Transfer(piece)
            if transfer.is_complete:
                return self._finish(follower, transfer, record)

    def _finish(
        self, follower: Follower, transfer: Transfer, record: HostRecord
    ) -> bool:
        del self._transfers[follower.kind]
        try:
            items = transfer.items()
        except Unfit as error:
            log_event("copy.damaged", kind=follower.kind, reason=error)
            return False
        version = transfer.version
        return self._parts.apply_items(follower.kind, version, items, record.name)


def make_difference(
    follower: Follower,
    since: Revision,
    digest: int,
    known: dict[str, Revision] | None = None,
) -> CopyDifference:
    """Return what changed behind version ``since``, without content if too large.

    ``known`` has the versions of the large objects where they are known.
    """
    nothing = CopyChange(follower.kind, NO_REVISION, follower.version, (), (), digest)
    changes = follower.changes_since(since)
    if changes is None:
        return CopyDifference(nothing)
    items, steps = [], []
    for item in changes.items:
        if not follower.is_large(item.name):
            items.append((item.name, item.version, item.spec))
            continue
        base = since if known is None else known.get(item.name, NO_REVISION)
        found = follower.steps_since(item.name, base)
        if found is None:
            return CopyDifference(nothing)
        steps += found
    size = sum(len(step.content) for step in steps)
    size += sum(follower.encoded_bytes_of(item[0]) for item in items)
    if size > LARGE_COPY_BYTES:
        return CopyDifference(nothing)
    change = nothing._replace(since=since, items=tuple(items), gone=tuple(changes.gone))
    return CopyDifference(change, tuple(steps))


def is_empty(difference: CopyDifference) -> bool:
    """Whether a difference only says that there is something newer."""
    return not (difference.steps or difference.change.items or difference.change.gone)


def items_behind(
    follower: Follower, difference: CopyDifference
) -> tuple[Changes, list[Step]]:
    """Return the objects that a difference gives here, and the steps that were used.

    Raises:
        Unfit: a step has another base, or another result.

    """
    change = difference.change
    items = [Stored(change.kind, *item) for item in change.items]
    used: list[Step] = []
    for name, steps in _by_name(difference.steps):
        known = follower.items.get(name)
        if known is None:
            raise Unfit(f"{name} is not here")
        missing = [step for step in steps if step.version > known.version]
        version = known.version
        for step in missing:
            if step.base_version != version:
                raise Unfit(f"{name} is at version {version}")
            version = step.version
        if missing:
            content = apply_steps(known.spec, missing)
            items.append(Stored(change.kind, name, version, content))
            used += missing
    return Changes(items, list(change.gone)), used


def _by_name(steps: tuple[Step, ...]) -> Iterator[tuple[str, list[Step]]]:
    for name in dict.fromkeys(step.name for step in steps):
        yield name, [step for step in steps if step.name == name]
