"""Logs that are bounded and never waited for, and metrics."""

from collections.abc import Callable
from typing import Any

from rattanhollow.observe import BoundedLog, Meter, MetricKind, kinds
from rattanhollow.observe._logs import BUFFER_BYTES, LINES_AT_ONCE, REPORT_INTERVAL_S
from rattanhollow.observe._meter import LABEL_SETS_AT_MOST, OTHERS


class Clock:
    """Simulated time."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now_s


def event(name: str, **fields: Any) -> dict[str, Any]:
    """Return a message as eliot hands it on."""
    return {"timestamp": 0, "message_type": name, **fields}


def written_to(lines: list[bytes]) -> Callable[[bytes], int]:
    """Return a pipe that takes everything."""

    def write(data: bytes) -> int:
        lines.extend(data.splitlines())
        return len(data)

    return write


def test_each_event_has_room_of_its_own() -> None:
    """A flood of one event leaves the others their lines, and is counted."""
    clock = Clock()
    lines: list[bytes] = []
    log = BoundedLog(written_to(lines), clock)
    for number in range(1_000):
        log.take(event("request.refused", request=number))
    log.take(event("leader.proven", server="i-1"))
    assert len(lines) == LINES_AT_ONCE + 1
    assert b"event=leader.proven" in lines[-1]
    assert log.omitted["request.refused"] == 1_000 - LINES_AT_ONCE


def test_what_was_left_out_is_said() -> None:
    """A line tells how many of each event were not written."""
    clock = Clock()
    lines: list[bytes] = []
    log = BoundedLog(written_to(lines), clock)
    for _ in range(LINES_AT_ONCE + 30):
        log.take(event("request.refused"))
    clock.now_s += REPORT_INTERVAL_S
    log.take(event("host.ready"))
    assert b"event=log.omitted" in lines[-1]
    assert b"lines=request.refused:30" in lines[-1]


def test_a_full_pipe_is_not_waited_for() -> None:
    """Lines are dropped and counted while it takes nothing, whole ones follow."""
    clock, full = Clock(), [True]
    lines: list[bytes] = []
    take = written_to(lines)

    def write(data: bytes) -> int:
        if full[0]:
            raise BlockingIOError
        return take(data)

    log = BoundedLog(write, clock)
    for _ in range(LINES_AT_ONCE):
        log.take(event("x", text="y" * (BUFFER_BYTES // 100)))
    assert log.omitted["x"] > 0 and not lines
    full[0] = False
    log.take(event("host.ready"))
    assert all(line.startswith(b"time=") for line in lines)


def test_half_a_line_is_finished_before_the_next() -> None:
    """A pipe that takes a part gets the rest first."""
    taken = bytearray()

    def write(data: bytes) -> int:
        taken.extend(data[:7])
        return min(7, len(data))

    log = BoundedLog(write, Clock())
    for _ in range(200):
        log.take(event("a"))
    whole = bytes(taken).splitlines()[:-1]
    assert whole and all(line.endswith(b"event=a") for line in whole)


def test_metrics_are_served_in_the_usual_format() -> None:
    """Counters, histograms and gauges, with their labels."""
    meter = Meter()
    meter.count(kinds.REQUESTS, "newest", "Read", "DONE", by=3)
    meter.time(kinds.REQUEST_MS, 7.0, "newest")
    meter.time(kinds.REQUEST_MS, 70_000.0, "newest")
    meter.gauge(kinds.SESSIONS, lambda: 5)
    text = meter.exposition().decode()
    labels = 'consistency="newest",outcome="DONE",statement="Read"'
    assert f"rattanhollow_requests_total{{{labels}}} 3.0" in text
    assert 'rattanhollow_request_ms_bucket{consistency="newest",le="10"} 1.0' in text
    assert 'rattanhollow_request_ms_bucket{consistency="newest",le="+Inf"} 2.0' in text
    assert "rattanhollow_sessions 5.0" in text


def test_labels_are_bounded() -> None:
    """More label sets than a page can hold are summed under one."""
    meter, kind = Meter(), MetricKind("m", "help", ("who",))
    for number in range(LABEL_SETS_AT_MOST + 50):
        meter.count(kind, f"o{number}")
    assert meter.value(kind, OTHERS) == 50
    assert meter.value(kind, "o1") == 1
