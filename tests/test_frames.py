"""Splitting bytes into frames, however they arrive."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from rattanhollow.pgwire import (
    Frame,
    FrameReader,
    ProtocolViolation,
    data_row,
    error_fields,
    error_response,
    rows_as_text,
)

LIMIT_BYTES = 1_000

PAYLOADS = st.lists(st.tuples(st.integers(0, 255), st.binary(max_size=60)), max_size=12)


def raw_frame(kind: int, payload: bytes) -> bytes:
    """Return one frame."""
    return bytes([kind]) + (len(payload) + 4).to_bytes(4) + payload


@seed(1)
@settings(max_examples=300, deadline=None, database=None)
@given(frames=PAYLOADS, cuts=st.lists(st.integers(0, 900), max_size=20))
def test_any_cutting_gives_the_same_frames(
    frames: list[tuple[int, bytes]], cuts: list[int]
) -> None:
    """Frames come out whole and in order, wherever the stream is cut."""
    data = b"".join(raw_frame(kind, payload) for kind, payload in frames)
    reader = FrameReader(LIMIT_BYTES)
    edges = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    found: list[Frame] = []
    for start, end in zip(edges, edges[1:], strict=False):
        found.extend(reader.feed(data[start:end]))
    assert [(frame.kind, frame.payload) for frame in found] == frames
    assert reader.pending_bytes == 0


@seed(1)
@settings(max_examples=500, deadline=None, database=None)
@given(st.lists(st.binary(max_size=40), max_size=10))
def test_random_bytes_raise_nothing_else(chunks: list[bytes]) -> None:
    """Random bytes give frames or a protocol violation, and stay bounded."""
    reader = FrameReader(LIMIT_BYTES)
    try:
        for chunk in chunks:
            reader.feed(chunk)
            assert reader.pending_bytes <= LIMIT_BYTES + 40
    except ProtocolViolation:
        pass


@pytest.mark.parametrize("length", [0, 3, LIMIT_BYTES, 0xFFFFFFFF])
def test_bad_lengths(length: int) -> None:
    """A length below the minimum or above the limit is refused at once."""
    with pytest.raises(ProtocolViolation):
        FrameReader(LIMIT_BYTES).feed(b"Q" + length.to_bytes(4))


def test_rows_and_errors_are_read_back() -> None:
    """What is built is what is read."""
    (row,) = FrameReader(LIMIT_BYTES).feed(data_row([b"a", None, b""]))
    assert rows_as_text([row]) == [["a", None, ""]]
    (error,) = FrameReader(LIMIT_BYTES).feed(error_response("57P03", "not run: x"))
    assert error_fields(error) == ("ERROR", "57P03", "not run: x")
