"""A stand-in for a database group: PostgreSQL's protocol over sqlite.

Asynchronous log shipping, terms and log positions, and the faults that a
proxy must survive.
"""

from rattanhollow_standins.database._group import (
    DatabaseGroup,
    GroupTiming,
    MemberPlace,
)
from rattanhollow_standins.database._member import MemberFaults, StandInMember

__all__ = [
    "DatabaseGroup",
    "GroupTiming",
    "MemberFaults",
    "MemberPlace",
    "StandInMember",
]
