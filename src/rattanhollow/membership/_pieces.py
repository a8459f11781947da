"""Whole copies of the store's objects in pieces: encoding, pacing, resuming.

Does no I/O.
"""

from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec

from rattanhollow.peer import CopyChange, PieceAnswer
from rattanhollow.store import (
    Follower,
    Revision,
    Unfit,
    compress,
    decompress,
    digest_bytes,
    encode_content,
    revision_from_wire,
    revision_to_wire,
)

# A piece takes 7 ms of a link of 10 Mbit/s, and 13 ms of the slowest one. That is how
# long a liveness check on the same connection waits behind it.
PIECE_BYTES = 8 * 1024
# What a host sends of copies at most, to all others together: a third of a link of
# 10 Mbit/s, two thirds of the slowest.
BYTES_PER_S = 410_000
# Beyond this wait the asker is told to come back: another host may have the copy by
# then.
LONGEST_WAIT_S = 0.2
# A transfer goes on with the copy that it began with when there is a newer one.
COPIES_KEPT = 3
# While a fleet starts its host records change with each host. A copy that is this old
# is sent all the same: the changes behind it are small.
ENCODE_INTERVAL_S = 1.0
# A copy of small objects takes this much of a link of 10 Mbit/s for 52 ms.
LARGE_COPY_BYTES = 64 * 1024

_ITEMS = msgspec.msgpack.Decoder(tuple[tuple[str, Any, dict[str, Any]], ...])

Items = tuple[tuple[str, Revision, dict[str, Any]], ...]


class EncodedCopy(NamedTuple):
    """A whole copy as bytes; ``digest`` is of names and versions."""

    kind: str
    version: Revision
    digest: int
    data: bytes
    data_digest: int


class Pacer:
    """Spreads what is sent over time; the time is passed in."""

    def __init__(self, bytes_per_s: float = BYTES_PER_S) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_at_s = 0.0

    def wait_s(self, size: int, now_s: float) -> float:
        """Return how long to wait before sending ``size`` bytes, and count them."""
        begins_at_s = max(self._free_at_s, now_s)
        self._free_at_s = begins_at_s + size / self._bytes_per_s
        return begins_at_s - now_s

    def backlog_s(self, now_s: float) -> float:
        """Return how long what was counted still takes."""
        return max(0.0, self._free_at_s - now_s)


class EncodedCopies:
    """The last copies of each kind that were asked for, encoded."""

    def __init__(self) -> None:
        self._copies: dict[str, list[EncodedCopy]] = {}
        self._encoded_at_s: dict[str, float] = {}

    def find(self, kind: str, digest: int) -> EncodedCopy | None:
        """Return a copy that was encoded before."""
        copies = self._copies.get(kind, [])
        return next((copy for copy in copies if copy.digest == digest), None)

    def encode(
        self, follower: Follower, digest: int, version: Revision, now_s: float
    ) -> EncodedCopy:
        """Return the present copy, which has ``digest``.

        Or one that was encoded a moment ago, if it is newer than ``version``.
        """
        known = self.find(follower.kind, digest)
        if known is not None:
            return known._replace(version=follower.version)
        copies = self._copies.get(follower.kind, [])
        age_s = now_s - self._encoded_at_s.get(follower.kind, now_s)
        if copies and copies[-1].version > version and age_s < ENCODE_INTERVAL_S:
            return copies[-1]
        items = sorted(
            (item.name, revision_to_wire(item.version), item.spec)
            for item in follower.items.values()
        )
        data = compress(encode_content(items))
        copy = EncodedCopy(
            follower.kind, follower.version, digest, data, digest_bytes(data)
        )
        self._copies[follower.kind] = [*copies, copy][-COPIES_KEPT:]
        self._encoded_at_s[follower.kind] = now_s
        return copy


class Transfer:
    """What has arrived of one copy, from whichever hosts."""

    def __init__(self, first: PieceAnswer) -> None:
        self.version = first.version
        self.digest = first.digest
        self._data_digest = first.data_digest
        self._total_bytes = first.total_bytes
        self._data = bytearray()
        self.take(first)

    @property
    def offset(self) -> int:
        """Where the next piece begins."""
        return len(self._data)

    @property
    def is_complete(self) -> bool:
        """Whether all pieces are here."""
        return len(self._data) >= self._total_bytes

    def take(self, piece: PieceAnswer) -> bool:
        """Add a piece; False where it belongs to another copy or place."""
        same = (piece.digest, piece.data_digest) == (self.digest, self._data_digest)
        if not same or piece.offset != self.offset or not piece.data:
            return False
        self._data += piece.data
        return True

    def items(self) -> Items:
        """Return the objects of the complete copy.

        Raises:
            Unfit: the pieces don't give the copy that they were cut from.

        """
        if digest_bytes(bytes(self._data)) != self._data_digest:
            raise Unfit("the pieces have another digest")
        try:
            decoded = _ITEMS.decode(decompress(bytes(self._data)))
            return tuple((n, revision_from_wire(v), spec) for n, v, spec in decoded)
        except (ValueError, RecursionError) as error:
            raise Unfit(str(error)) from None


def cut_piece(copy: EncodedCopy, offset: int) -> PieceAnswer:
    """Return the piece of a copy that begins at ``offset``."""
    data = copy.data[offset : offset + PIECE_BYTES]
    return PieceAnswer(
        copy.version, copy.digest, copy.data_digest, len(copy.data), offset, data
    )


def no_piece(version: Revision, retry_ms: int = 0) -> PieceAnswer:
    """Return that there is no newer copy here, or that it is sent later."""
    return PieceAnswer(version, 0, 0, 0, 0, b"", retry_ms)


def needs_pieces(follower: Follower, change: CopyChange | None = None) -> bool:
    """Whether a whole copy, or a change, is too large for one message."""
    if change is None:
        return bool(
            follower.encoded_bytes >= LARGE_COPY_BYTES or follower.large_names()
        )
    names = [item[0] for item in change.items]
    return any(map(follower.is_large, names)) or _are_large(follower, names)


def _are_large(follower: Follower, names: Sequence[str]) -> bool:
    return sum(map(follower.encoded_bytes_of, names)) >= LARGE_COPY_BYTES
