"""Replacing primaries: selecting a successor, the steps, and the host that acts."""

from rattanhollow.succession._choose import (
    Member,
    StoppedGroup,
    choose_successor,
    keep_or_choose,
    next_term,
)
from rattanhollow.succession._commands import CommandSender
from rattanhollow.succession._guardian import (
    PrimaryMonitor,
    PrimaryMonitorParts,
    ReplacementTrigger,
)
from rattanhollow.succession._leader_use import LeaderUseChecker
from rattanhollow.succession._parts import ReplaceParts, Task
from rattanhollow.succession._record import (
    SUCCESSION_KIND,
    AlreadyReplaced,
    Phase,
    SuccessionRecord,
    claim,
    write_claim_phase,
)
from rattanhollow.succession._release import release_held_replica
from rattanhollow.succession._replace import replace_primary

__all__ = [
    "SUCCESSION_KIND",
    "AlreadyReplaced",
    "CommandSender",
    "LeaderUseChecker",
    "Member",
    "Phase",
    "PrimaryMonitor",
    "PrimaryMonitorParts",
    "ReplaceParts",
    "ReplacementTrigger",
    "StoppedGroup",
    "SuccessionRecord",
    "Task",
    "choose_successor",
    "claim",
    "keep_or_choose",
    "next_term",
    "release_held_replica",
    "replace_primary",
    "write_claim_phase",
]
