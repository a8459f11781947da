"""Crowds of clients at a host's line protocol: it lives, within its memory.

Each test starts the host as a process and checks its resident memory, its open
descriptors, and that ordinary callers are served behind it. `crowd_fleet` has the
bounds: what the smallest host has.
"""

from pathlib import Path

import pytest
import trio

from crowd_fleet import KEY, ROUTE, CrowdFleet, Talk, check, many, play_crowd
from rattanhollow_standins.soak._fleet import CALLER_PORT

LINE_BYTES = 1 << 20
# So many lines of full size overfill the 110 MB beside ordinary traffic.
LARGE_CROWD = 140
# More than the descriptors of `crowd_fleet`.
WIDE_CROWD = 250
PIECE_BYTES = 4_096
GREETING = f"CONNECT {ROUTE} {KEY}\r\n".encode()
# One character outside the basic plane makes a decoded text four times as large.
WIDE_CHARACTER = "\U0001f600"


def full_line(start: str) -> bytes:
    """Return a line of the largest legal size."""
    head = f"{start}{WIDE_CHARACTER}".encode()
    return head + b"x" * (LINE_BYTES - len(head)) + b"\r\n"


def says(*parts: bytes, piece_bytes: int = LINE_BYTES * 4) -> Talk:
    """Return what sends a greeting, then ``parts`` cut into pieces, and never reads."""

    async def talk(stream: trio.SocketStream) -> None:
        await stream.send_all(GREETING)
        for part in parts:
            for start in range(0, len(part), piece_bytes):
                await stream.send_all(part[start : start + piece_bytes])
                await trio.lowlevel.checkpoint()

    return talk


@pytest.mark.parametrize("piece_bytes", [4 * LINE_BYTES, PIECE_BYTES])
def test_lines_of_full_size_at_once(piece_bytes: int, tmp_path: Path) -> None:
    """Every line is legal; all together are more than the host's memory."""
    talk = says(full_line("QUERY q READ "), piece_bytes=piece_bytes)
    check(play_crowd(CrowdFleet(60, 1, tmp_path), many(LARGE_CROWD, CALLER_PORT, talk)))


def test_lines_in_tiny_pieces(tmp_path: Path) -> None:
    """A search from the start at each piece takes the whole processor."""
    talk = says(full_line("QUERY q READ "), piece_bytes=64)
    check(play_crowd(CrowdFleet(60, 1, tmp_path), many(20, CALLER_PORT, talk)))


def test_lines_far_over_the_limit(tmp_path: Path) -> None:
    """No end comes within four times the legal size."""
    talk = says(b"QUERY q READ " + b"x" * 4 * LINE_BYTES)
    check(play_crowd(CrowdFleet(60, 1, tmp_path), many(LARGE_CROWD, CALLER_PORT, talk)))


def test_lines_that_stop_before_their_end(tmp_path: Path) -> None:
    """All but the end of a legal line arrives, and nothing behind it."""
    talk = says(full_line("QUERY q READ ")[:-2])
    check(play_crowd(CrowdFleet(60, 1, tmp_path), many(LARGE_CROWD, CALLER_PORT, talk)))


def test_slow_senders(tmp_path: Path) -> None:
    """Lines grow by 16 KB each 50 ms, all at once."""
    line = full_line("QUERY q READ ")

    async def talk(stream: trio.SocketStream) -> None:
        await stream.send_all(GREETING)
        for start in range(0, len(line) - 2, 4 * PIECE_BYTES):
            await stream.send_all(line[start : start + 4 * PIECE_BYTES])
            await trio.sleep(0.05)

    check(play_crowd(CrowdFleet(60, 1, tmp_path), many(LARGE_CROWD, CALLER_PORT, talk)))


def test_pipelined_statements_whose_responses_are_not_read(tmp_path: Path) -> None:
    """A row has full size; its responses fill the socket, then the host."""
    write = full_line("QUERY w WRITE large ")[: LINE_BYTES - 1_000] + b"\r\n"

    async def crowd(fleet, nursery):  # type: ignore[no-untyped-def]
        writer = await fleet.client(fleet.hosts[0], "newest", KEY)
        await writer.stream.send_all(write)
        assert not (await writer.read_answer()).error
        await writer.close()
        talk = says(*[b"QUERY q READ large\r\n"] * 1_000)
        await many(LARGE_CROWD, CALLER_PORT, talk)(fleet, nursery)

    check(play_crowd(CrowdFleet(60, 1, tmp_path), crowd))


def test_many_small_statements_pipelined_unread(tmp_path: Path) -> None:
    """Megabytes of statements are sent ahead by each client."""
    talk = says(b"QUERY q READ small\r\n" * 100_000)
    check(play_crowd(CrowdFleet(60, 1, tmp_path), many(LARGE_CROWD, CALLER_PORT, talk)))


@pytest.mark.parametrize("start", [b"", b"CONNECT bou"])
def test_greetings_that_stop(start: bytes, tmp_path: Path) -> None:
    """More connections than descriptors, none of which becomes a session."""

    async def talk(stream: trio.SocketStream) -> None:
        await stream.send_all(start)

    check(play_crowd(CrowdFleet(60, 1, tmp_path), many(WIDE_CROWD, CALLER_PORT, talk)))


def test_transactions_that_stop(tmp_path: Path) -> None:
    """More sessions than descriptors, each inside a transaction."""
    talk = says(b"QUERY b BEGIN\r\nQUERY q READ small\r\n")
    check(play_crowd(CrowdFleet(60, 1, tmp_path), many(WIDE_CROWD, CALLER_PORT, talk)))


@pytest.mark.parametrize("kind", ["SET {} ", "PREPARE {} READ "])
def test_values_that_a_session_keeps(kind: str, tmp_path: Path) -> None:
    """One session sets values of full size until the memory is full."""
    lines = [full_line("QUERY s " + kind.format(f"n{n}")) for n in range(100)]

    async def talk(stream: trio.SocketStream) -> None:
        await stream.send_all(GREETING)
        for line in lines:
            await stream.send_all(line)

    check(play_crowd(CrowdFleet(60, 1, tmp_path), many(2, CALLER_PORT, talk)))
