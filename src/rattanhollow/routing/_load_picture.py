"""What this host knows of the load of each backend server, and how old that is.

Fed by the results of this host's own work. ``wait_ms`` of a result is the serving
host's estimate for new work of any host, so that it tells what others send, too.
Does no I/O; the clock is passed in.
"""

from collections.abc import Callable
from typing import NamedTuple

from rattanhollow.serving import Blocker, WorkOutcome, WorkResult
from rattanhollow.statements import Reason

# Work waits no longer than its deadline, about a second: a queue that was seen earlier
# is gone, and its length counts as unknown.
WAIT_VALID_S = 1.0
# A short queue is gone sooner: it counts for so many times its length, and at least for
# the shortest time. Counting it for a second, a zone at 0.8 of what it can do sent 6 to
# 9% of its reads away in simulations; this way 3 to 5%.
WAIT_VALID_RATIO = 8.0
SHORTEST_WAIT_VALID_S = 0.2
# The speed of a server changes with its load and its caches, over seconds.
SPEED_VALID_S = 10.0
# Some ten reads tell a change of speed; single long statements count for little.
SPEED_SMOOTHING = 0.2
# A server that fails a read gets fewer for this time, doubled with each failure in a
# row, then a growing share: all hosts would try it at the same time otherwise.
AVOIDED_S = 0.5
LONGEST_AVOIDED_S = 4.0
RETURNING_S = 1.0
# One failed statement may be to blame itself, two in a row hardly.
FAILURE_STEP = 0.5
# Replicas lack positions for milliseconds at a time, mostly.
LAG_AVOIDANCE = 0.8
# Servers kept; those without work for `FORGET_AFTER_S` are removed beyond that.
SERVERS_KEPT = 2_000
FORGET_AFTER_S = 30.0


class ServerLoad(NamedTuple):
    """The load of a server as known here.

    ``in_flight`` counts the work of this host. ``wait_ms`` is the expected wait for a
    slot, ``work_ms`` the time of a read that waits for none, with its way there and
    back; None: unknown. ``avoidance`` is the share of reads to be sent elsewhere.
    """

    in_flight: int = 0
    wait_ms: float | None = None
    work_ms: float | None = None
    avoidance: float = 0.0


UNKNOWN_LOAD = ServerLoad()


class _Entry:
    """The state of one server; all times are those of the last measurement."""

    def __init__(self, now_s: float) -> None:
        self.in_flight = 0
        self.wait_ms = 0.0
        self.waited_at_s = float("-inf")
        self.work_ms = 0.0
        self.worked_at_s = float("-inf")
        self.avoidance = 0.0
        self.avoided_until_s = float("-inf")
        self.failures = 0
        self.used_at_s = now_s


class LoadPicture:
    """The load of each server, from the results of work sent there."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._entries: dict[str, _Entry] = {}

    def load(self, server_id: str) -> ServerLoad:
        """Return what is known of a server now."""
        entry = self._entries.get(server_id)
        if entry is None:
            return UNKNOWN_LOAD
        now_s = self._clock()
        is_measured = now_s - entry.worked_at_s < SPEED_VALID_S
        return ServerLoad(
            entry.in_flight,
            _current_wait_ms(entry, now_s),
            entry.work_ms if is_measured else None,
            _avoidance(entry, now_s),
        )

    def record_start(self, server_id: str) -> None:
        """Record that work is sent to a server; `record_end` must follow."""
        self._entry(server_id).in_flight += 1

    def record_end(self, server_id: str) -> None:
        """Record that work sent to a server has ended, with or without a result."""
        entry = self._entry(server_id)
        entry.in_flight = max(0, entry.in_flight - 1)

    def record_result(
        self, server_id: str, result: WorkResult, took_ms: float | None = None
    ) -> None:
        """Record a result; ``took_ms`` is the time of a read of its own."""
        entry = self._entry(server_id)
        now_s = self._clock()
        wait_ms = _measured_wait_ms(result)
        if wait_ms is not None:
            entry.wait_ms, entry.waited_at_s = wait_ms, now_s
        if result.outcome is WorkOutcome.DONE:
            if took_ms is not None:
                _take_speed(entry, took_ms - result.wait_ms, now_s)
            _avoid(entry, _avoidance(entry, now_s) / 2, now_s)
            entry.failures = 0
        elif result.blocker in (Blocker.NOT_SERVED, Blocker.FAILING):
            _take_failure(entry, 1.0, now_s)
        elif result.reason is Reason.FAILED or result.blocker in (
            Blocker.LOST,
            Blocker.HOST_LOST,
        ):
            _take_failure(entry, FAILURE_STEP, now_s)

    def record_lag(self, server_id: str) -> None:
        """Record that a server lacks a position that all readers must see."""
        entry = self._entry(server_id)
        now_s = self._clock()
        if _avoidance(entry, now_s) < LAG_AVOIDANCE:
            _avoid(entry, LAG_AVOIDANCE, now_s)

    def _entry(self, server_id: str) -> _Entry:
        now_s = self._clock()
        entry = self._entries.get(server_id)
        if entry is None:
            if len(self._entries) >= SERVERS_KEPT:
                self._remove_unused(now_s)
            entry = self._entries[server_id] = _Entry(now_s)
        entry.used_at_s = now_s
        return entry

    def _remove_unused(self, now_s: float) -> None:
        self._entries = {
            server_id: entry
            for server_id, entry in self._entries.items()
            if entry.in_flight or now_s - entry.used_at_s < FORGET_AFTER_S
        }


def _measured_wait_ms(result: WorkResult) -> float | None:
    """Return the wait that a result tells of, None where it tells nothing.

    Work that is turned away before it is queued carries no estimate.
    """
    if result.blocker is Blocker.OVERLOADED:
        return float(max(result.wait_ms, result.retry_after_ms))
    if result.wait_ms or result.outcome is WorkOutcome.DONE:
        return float(result.wait_ms)
    return None


def _current_wait_ms(entry: _Entry, now_s: float) -> float | None:
    age_s = now_s - entry.waited_at_s
    if age_s >= WAIT_VALID_S:
        return None
    valid_s = max(SHORTEST_WAIT_VALID_S, WAIT_VALID_RATIO * entry.wait_ms / 1000)
    return entry.wait_ms if age_s < valid_s else 0.0


def _take_speed(entry: _Entry, work_ms: float, now_s: float) -> None:
    """Take the time of a read less the wait that the server then had."""
    is_measured = now_s - entry.worked_at_s < SPEED_VALID_S
    weight = SPEED_SMOOTHING if is_measured else 1.0
    entry.work_ms += weight * (max(1.0, work_ms) - entry.work_ms)
    entry.worked_at_s = now_s


def _take_failure(entry: _Entry, step: float, now_s: float) -> None:
    avoided_s = min(LONGEST_AVOIDED_S, AVOIDED_S * 2**entry.failures)
    entry.failures = min(entry.failures + 1, 10)
    avoidance = min(1.0, _avoidance(entry, now_s) + step)
    _avoid(entry, avoidance, now_s + avoided_s)


def _avoid(entry: _Entry, avoidance: float, until_s: float) -> None:
    entry.avoidance, entry.avoided_until_s = avoidance, until_s


def _avoidance(entry: _Entry, now_s: float) -> float:
    if not entry.avoidance:
        return 0.0
    returning = (now_s - entry.avoided_until_s) / RETURNING_S
    return entry.avoidance * (1.0 - min(1.0, max(0.0, returning)))
