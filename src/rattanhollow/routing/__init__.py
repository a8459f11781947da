"""Routing of statements to backend servers."""

from rattanhollow.routing._agents import (
    DispatcherDependencies,
    DispatchResult,
    WorkDispatcher,
)
from rattanhollow.routing._directory import ServerDirectory
from rattanhollow.routing._evacuations import Evacuations
from rattanhollow.routing._floors import FloorCache
from rattanhollow.routing._home_regions import HomeRegions, combine_home_regions
from rattanhollow.routing._requests import Outcome, Placement, StatementRequest
from rattanhollow.routing._router import Router, RouterDependencies
from rattanhollow.routing._zone_overflow import CrossingCosts
from rattanhollow.routing._zone_topology import ZoneTopology

__all__ = [
    "CrossingCosts",
    "DispatcherDependencies",
    "WorkDispatcher",
    "StatementRequest",
    "FloorCache",
    "Outcome",
    "Placement",
    "ZoneTopology",
    "DispatchResult",
    "Evacuations",
    "HomeRegions",
    "Router",
    "RouterDependencies",
    "ServerDirectory",
    "combine_home_regions",
]
