"""Replacing primaries: who may succeed, in which steps, and who acts."""

from rattanhollow.succession._choose import Member, Stopped, choose, next_term
from rattanhollow.succession._guardian import (
    Concern,
    PrimaryMonitor,
    PrimaryMonitorParts,
)
from rattanhollow.succession._orders import CommandSender
from rattanhollow.succession._record import (
    SUCCESSION_KIND,
    Phase,
    SuccessionRecord,
    advance,
    claim,
)
from rattanhollow.succession._replace import (
    ReplaceParts,
    Task,
    release_held,
    replace_primary,
)

__all__ = [
    "SUCCESSION_KIND",
    "Concern",
    "PrimaryMonitor",
    "PrimaryMonitorParts",
    "Member",
    "CommandSender",
    "Phase",
    "ReplaceParts",
    "Stopped",
    "SuccessionRecord",
    "Task",
    "advance",
    "choose",
    "claim",
    "next_term",
    "release_held",
    "replace_primary",
]
