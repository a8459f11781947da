"""The protections that tests and the demonstration can switch off.

No setting reaches them: a running system has all of them on.
"""

from typing import NamedTuple


class Guards(NamedTuple):
    """Which protections are on.

    ``write_confirmation``: a commit is acknowledged only once enough members
    hold it. ``fence``: an election fences members, and members obey.
    ``floor``: a read sees at least its session's floor. ``cancel_wait``: a
    connection that a cancel was sent for is kept until the cancel arrived.
    ``key_check``: open connections end when their key is withdrawn.
    ``freshness``: a host that can't know the newest configuration stops.
    ``rates``: organisations are held to their rates. ``fairness``: waiting
    organisations get connections in turn.
    """

    write_confirmation: bool = True
    fence: bool = True
    floor: bool = True
    cancel_wait: bool = True
    key_check: bool = True
    freshness: bool = True
    rates: bool = True
    fairness: bool = True


ALL_GUARDS = Guards()
