"""Logs: one line of key=value pairs for each event, written through eliot.

Bounded, and never waited for: each event's name has a rate of its own, and what
a full pipe doesn't take is dropped. Both are counted and reported.
"""

import os
import time
import traceback
from collections import Counter
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, TextIO

import eliot

from rattanhollow.flow import TokenBucket

HIDDEN_FIELDS = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})
NEEDS_QUOTES = frozenset(' "=\n\t')
PLACES_LOGGED = 6
# Callers choose identifiers and names of routes, up to the length of a line.
VALUE_CHARACTERS = 4_000
# Lines of one event's name: at once, and over time. Requests that end well are
# the most and say the least; what fails or changes has its own room.
LINES_AT_ONCE = 200
LINES_PER_S = 20.0
QUIET_EVENTS = frozenset({"request.done"})
QUIET_AT_ONCE = 20
QUIET_PER_S = 2.0
REPORT_INTERVAL_S = 5.0
# What is kept for a pipe that is full for a moment.
BUFFER_BYTES = 65_536


def log_event(event: str, **fields: Any) -> None:
    """Log one event; ``fields`` carry their unit in their name."""
    eliot.log_message(message_type=event, **fields)


def log_failure(event: str, error: Exception, **fields: Any) -> None:
    """Log an error that nobody foresaw, with the place where it was raised."""
    places = traceback.extract_tb(error.__traceback__)[-PLACES_LOGGED:]
    where = " < ".join(f"{Path(p.filename).name}:{p.lineno}" for p in reversed(places))
    log_event(event, error=f"{type(error).__name__}: {error}", where=where, **fields)


def log_to(stream: TextIO) -> Callable[[], None]:
    """Write every event to ``stream``; the answer stops that again."""

    def write(message: dict[str, Any]) -> None:
        stream.write(format_event(message) + "\n")
        stream.flush()

    eliot.add_destinations(write)
    return lambda: eliot.remove_destination(write)


def log_bounded(descriptor: int) -> "BoundedLog":
    """Write events to a descriptor, without ever waiting for it."""
    os.set_blocking(descriptor, False)
    log = BoundedLog(lambda data: os.write(descriptor, data))
    eliot.add_destinations(log.take)
    return log


class BoundedLog:
    """Writes events as lines, so many of each name; ``omitted`` counts the rest."""

    def __init__(
        self,
        write: Callable[[bytes], int],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.omitted: Counter[str] = Counter()
        self._write = write
        self._clock = clock
        self._rooms: dict[str, TokenBucket] = {}
        self._unreported: Counter[str] = Counter()
        self._reported_at_s = clock()
        self._buffer = b""

    def take(self, message: dict[str, Any]) -> None:
        """Write one event, or count it as omitted."""
        event = str(message.get("message_type", "unknown"))
        now_s = self._clock()
        if self._has_room(event):
            self._put(event, format_event(message))
        else:
            self._omit(event)
        if self._unreported and now_s - self._reported_at_s >= REPORT_INTERVAL_S:
            self._report(now_s, message)

    def _has_room(self, event: str) -> bool:
        room = self._rooms.get(event)
        if room is None:
            quiet = event in QUIET_EVENTS
            at_once = QUIET_AT_ONCE if quiet else LINES_AT_ONCE
            per_s = QUIET_PER_S if quiet else LINES_PER_S
            room = self._rooms[event] = TokenBucket(self._clock)
            room.resize(per_s, at_once)
            room.set_initial_tokens(at_once)
        return room.take()

    def _put(self, event: str, line: str) -> None:
        data = self._buffer + line.encode(errors="replace") + b"\n"
        try:
            written = self._write(data)
        except OSError:
            # The pipe is full, or gone: nothing may wait for it.
            written = 0
        self._buffer = data[written:]
        if len(self._buffer) > BUFFER_BYTES:
            kept = self._buffer.rfind(b"\n", 0, -1) + 1
            self._buffer = self._buffer[:kept]
            self._omit(event)

    def _omit(self, event: str) -> None:
        self.omitted[event] += 1
        self._unreported[event] += 1

    def _report(self, now_s: float, message: dict[str, Any]) -> None:
        self._reported_at_s = now_s
        counts = ",".join(f"{name}:{n}" for name, n in self._unreported.items())
        self._unreported.clear()
        report = {
            "timestamp": message.get("timestamp", 0),
            "message_type": "log.omitted",
            "lines": counts,
        }
        self._put("log.omitted", format_event(report))


def format_event(message: dict[str, Any]) -> str:
    """Return an eliot message as one line."""
    when = datetime.fromtimestamp(message.get("timestamp", 0), UTC)
    parts = [f"time={when.isoformat(timespec='milliseconds')}"]
    parts.append(f"event={_value(message.get('message_type', 'unknown'))}")
    parts.extend(
        f"{key}={_value(value)}"
        for key, value in message.items()
        if key not in HIDDEN_FIELDS
    )
    return " ".join(parts)


def _value(value: Any) -> str:
    text = str(value)[:VALUE_CHARACTERS]
    if text and not NEEDS_QUOTES.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\t", "\\t") + '"'
