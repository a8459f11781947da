"""What a coordinator needs to replace a primary, and its task."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from result import Result

from rattanhollow.serving import BackendServer, ServerStatus
from rattanhollow.store import ObjectStore
from rattanhollow.succession._commands import CommandSender


class ReplaceParts(NamedTuple):
    """Dependencies of replacing a primary.

    ``promote(service, server, holder, token)`` returns the HTTP status of the
    platform's response. ``is_log_complete(server, status, last_leader)`` is true
    when the server's log can be relied on to hold everything that it acknowledged, and
    that servers other than ``last_leader`` acknowledged which are gone.
    ``read_members(service)`` reads the service's servers from the store again;
    None if that failed, ``known_members(service)`` returns those that this host knows.
    ``note_competing_claim(service, claim_id)`` is notified of another coordinator's
    claim, ``note_replaced(service, leader)`` of a primary that another coordinator has
    replaced, ``note_pending_orders(service)`` of a replacement that ended while orders
    to promote the new primary may still be executed. ``set_switching(server, on)``
    keeps new transactions from a primary.
    ``stop_leader_use(service, token, gives_up_writes)`` has all known hosts that answer
    in time use no primary of the service until they hear otherwise; they wait for no
    acknowledgement either where they are to give up their writes. It returns whether
    all of them answered. ``tell_over(service, token)`` tells them that the replacement
    with that token is over.
    """

    store: ObjectStore
    command_sender: CommandSender
    promote: Callable[[str, str, str, int], Awaitable[Result[int, str]]]
    holder: str
    is_log_complete: Callable[[BackendServer, ServerStatus, str], bool]
    read_members: Callable[[str], Awaitable[list[BackendServer] | None]]
    known_members: Callable[[str], list[BackendServer]]
    note_competing_claim: Callable[[str, str], None]
    note_replaced: Callable[[str, str], None]
    note_pending_orders: Callable[[str], None]
    set_switching: Callable[[BackendServer, bool], None]
    stop_leader_use: Callable[[str, int, bool], Awaitable[bool]]
    tell_over: Callable[[str, int], Awaitable[None]]
    clock: Callable[[], float]


class Task(NamedTuple):
    """One replacement; ``reachable`` is true if the old primary still responds.

    ``stale_claim_id`` is another coordinator's claim that makes no progress.
    ``only_finishes`` where an unfinished replacement is to be finished, and a primary
    that leads is to be kept otherwise. ``is_last_resort`` where the service has been
    without a primary for so long that no proof of its logs is to be expected.
    """

    service: str
    sync_replica_count: int
    old_leader: BackendServer | None
    reachable: bool
    claim_id: str
    stale_claim_id: str = ""
    only_finishes: bool = False
    is_last_resort: bool = False

    @property
    def old_leader_id(self) -> str:
        """The old primary's identifier, empty if none is known."""
        return self.old_leader.id if self.old_leader is not None else ""
