"""Backend servers: connections, pools, and the commands of a database group."""

from rattanhollow.backend._commands import (
    confirm_command,
    group_control,
    lead_command,
    read_status,
    wait_command,
)
from rattanhollow.backend._connection import (
    Answer,
    BackendConnection,
    Credentials,
    open_connection,
)
from rattanhollow.backend._group import Group, Groups, PoolSettings
from rattanhollow.backend._pool import Pool

__all__ = [
    "Answer",
    "BackendConnection",
    "Credentials",
    "Group",
    "Groups",
    "Pool",
    "PoolSettings",
    "confirm_command",
    "group_control",
    "lead_command",
    "open_connection",
    "read_status",
    "wait_command",
]
