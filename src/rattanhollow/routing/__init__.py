"""Routing statements to backend servers."""

from rattanhollow.routing._agents import AgentParts, Agents, Ran
from rattanhollow.routing._directory import ServerDirectory
from rattanhollow.routing._floors import Floors
from rattanhollow.routing._places import Places
from rattanhollow.routing._router import (
    Demand,
    Outcome,
    Placement,
    Router,
    RouterParts,
)

__all__ = [
    "AgentParts",
    "Agents",
    "Demand",
    "Floors",
    "Outcome",
    "Placement",
    "Places",
    "Ran",
    "Router",
    "RouterParts",
    "ServerDirectory",
]
