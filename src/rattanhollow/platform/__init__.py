"""The users' platform: its names, formats and calls, translated to ours.

Decides nothing: what comes over the wire is decoded once, into types of the
product, and what the product says is encoded.
"""

from rattanhollow.platform._backend import (
    encode_command,
    line_backend,
    parse_lines,
    parse_status,
)
from rattanhollow.platform._caller import LineCaller
from rattanhollow.platform._entries import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    EVACUATION_KIND,
    SERVER_KIND,
    asks_scarce_slots,
    evacuation_kind,
    read_routes,
    read_server,
)
from rattanhollow.platform._environment import (
    METRICS_PATH,
    READINESS_PATH,
    SETTINGS_VARIABLE,
)
from rattanhollow.platform._objects import object_store
from rattanhollow.platform._promotion import promotion_call

__all__ = [
    "CONFIGURATION_KIND",
    "CONFIGURATION_NAME",
    "EVACUATION_KIND",
    "METRICS_PATH",
    "READINESS_PATH",
    "SERVER_KIND",
    "SETTINGS_VARIABLE",
    "LineCaller",
    "asks_scarce_slots",
    "encode_command",
    "evacuation_kind",
    "line_backend",
    "object_store",
    "parse_lines",
    "parse_status",
    "promotion_call",
    "read_routes",
    "read_server",
]
