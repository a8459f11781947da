"""Hosts of the fleet: host records, failure detection and shared configuration."""

from rattanhollow.membership._freshness import Freshness, PeerAccess
from rattanhollow.membership._gossip import Gossip
from rattanhollow.membership._hosts import (
    HOST_KIND,
    REPORT_KIND,
    HostDirectory,
    HostRecord,
    HostReport,
    NeighbourWatch,
    Registration,
)
from rattanhollow.membership._start_copies import StartCopies, StartCopiesParts

__all__ = [
    "HOST_KIND",
    "REPORT_KIND",
    "Freshness",
    "Gossip",
    "HostDirectory",
    "HostRecord",
    "HostReport",
    "NeighbourWatch",
    "PeerAccess",
    "Registration",
    "StartCopies",
    "StartCopiesParts",
]
