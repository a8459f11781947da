"""Callers' sessions, whichever protocol they speak."""

from rattanhollow.session._departures import DepartureWatch
from rattanhollow.session._end import (
    BadLine,
    CallerConnection,
    Farewell,
    NoRoom,
    Opening,
    Received,
)
from rattanhollow.session._serve import ServeParts, idle, serve_caller
from rattanhollow.session._session import Session, SessionParts, Sessions

__all__ = [
    "BadLine",
    "CallerConnection",
    "DepartureWatch",
    "Farewell",
    "NoRoom",
    "Opening",
    "Received",
    "ServeParts",
    "Session",
    "SessionParts",
    "Sessions",
    "idle",
    "serve_caller",
]
