"""Stand-ins of the users' platform: line databases, objects, promotions."""

from rattanhollow_standins.platform._client import Answer, LineClient
from rattanhollow_standins.platform._cluster import LineCluster
from rattanhollow_standins.platform._group import (
    DatabaseServer,
    ServerSession,
    ServiceGroup,
)
from rattanhollow_standins.platform._memory import memory_end
from rattanhollow_standins.platform._objects_api import serve_objects
from rattanhollow_standins.platform._serve import serve_database, serve_promotions

__all__ = [
    "Answer",
    "DatabaseServer",
    "LineClient",
    "LineCluster",
    "ServerSession",
    "ServiceGroup",
    "memory_end",
    "serve_database",
    "serve_objects",
    "serve_promotions",
]
