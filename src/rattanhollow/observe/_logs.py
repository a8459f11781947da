"""Logs: one line of key=value pairs for each event, written through eliot."""

import traceback
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, TextIO

import eliot

HIDDEN_FIELDS = frozenset({"task_uuid", "task_level", "timestamp", "message_type"})
PLACES_LOGGED = 6
NEEDS_QUOTES = frozenset(' "=\n\t')


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
    text = str(value)
    if text and not NEEDS_QUOTES.intersection(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + escaped.replace("\n", "\\n").replace("\t", "\\t") + '"'
