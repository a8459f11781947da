"""Any bytes in any pieces: a request, an error or a close, in bounded memory."""

from collections.abc import Sequence

import trio
from hypothesis import given
from hypothesis import strategies as st

from rattanhollow.limits import Account, ByteBudget, ByteLimits
from rattanhollow.pgwire import FrameReader, ProtocolViolation
from rattanhollow.platform._caller import LineCaller
from rattanhollow.platform._lines import LineReader, LineTooLong
from rattanhollow.platform._words import LINE_BYTES_AT_MOST
from rattanhollow.session import BadLine, Farewell
from test_odd_entries import FUZZ

ROOM = ByteLimits(1 << 40, 1 << 40, 1 << 40, 1.0)
FRAME_BYTES = 64
# A text takes up to four bytes a byte received, and has a head.
TEXT_PER_BYTE, TEXT_HEAD_BYTES = 4, 80
LINE_PARTS = st.sampled_from(
    [b"CONNECT a b", b"QUERY 1 ", b"READ a", b"SET x ", b"\r\n", b"\r", b"\n", b"\xff"]
)
PIECES = st.lists(st.binary(max_size=40) | LINE_PARTS, max_size=40)
SIZES = st.integers(0, FRAME_BYTES + 10).map(lambda size: size.to_bytes(4))
FRAME_PIECES = st.lists(st.binary(max_size=20) | SIZES, max_size=40)


class Pieces:
    """A stream that brings pieces, then its end."""

    def __init__(self, pieces: Sequence[bytes]) -> None:
        self._pieces = [piece for piece in pieces if piece]

    async def receive_some(self, most: int) -> bytes:
        """Return the next piece."""
        await trio.lowlevel.checkpoint()
        return self._pieces.pop(0) if self._pieces else b""


@FUZZ
@given(PIECES)
def test_any_lines_end_in_a_close(pieces: list[bytes]) -> None:
    """Every receive returns, and what is held is proportional to the last piece."""
    budget = ByteBudget(ROOM, lambda: 0.0)
    account: Account = budget.open()
    caller = LineCaller(Pieces(pieces), account)  # type: ignore[arg-type]
    received_bytes = sum(len(piece) for piece in pieces)

    async def converse() -> None:
        for _ in range(received_bytes + 2):
            received = await caller.receive()
            lines = received_bytes // 2
            most = TEXT_PER_BYTE * received_bytes + TEXT_HEAD_BYTES * lines
            assert 0 <= budget.held_bytes <= most
            if isinstance(received, Farewell):
                return
            if isinstance(received, BadLine) and received.framing_lost:
                return
        raise AssertionError("more was received than sent")

    trio.run(converse)
    budget.remove(account)
    assert budget.held_bytes == 0


@FUZZ
@given(st.binary(max_size=8), st.integers(1, 1 << 18))
def test_a_line_without_its_end_is_given_up(start: bytes, piece_bytes: int) -> None:
    """Whatever the size of the pieces, no more is kept than a line may have."""
    reader = LineReader()
    reader.feed(start.replace(b"\r\n", b""))
    piece = b"x" * max(piece_bytes, 4_096)
    try:
        for _ in range(LINE_BYTES_AT_MOST // len(piece) + 1):
            reader.feed(piece)
            assert reader.pending_bytes <= LINE_BYTES_AT_MOST
    except LineTooLong:
        return
    raise AssertionError("a line of any length is taken")


@FUZZ
@given(FRAME_PIECES)
def test_any_frames_are_read_or_refused(pieces: list[bytes]) -> None:
    """What waits for its end is no larger than a frame may be."""
    reader = FrameReader(FRAME_BYTES)
    fed = b""
    found = b""
    for piece in pieces:
        fed += piece
        try:
            frames = reader.feed(piece)
        except ProtocolViolation:
            return
        found += b"".join(frame.raw for frame in frames)
        assert all(len(frame.raw) <= FRAME_BYTES for frame in frames)
        assert reader.pending_bytes <= FRAME_BYTES
        assert found + fed[len(found) :] == fed
        assert len(found) + reader.pending_bytes == len(fed)
