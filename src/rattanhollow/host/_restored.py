"""Which of two descriptions is newer, where the store came back from an older copy."""

from collections.abc import Callable
from typing import Any

from result import Result

from rattanhollow.configuration import RouteTable
from rattanhollow.serving import BackendServer
from rattanhollow.store import Stored

# Whether the second was written after the first, None if nobody can tell.
Order = Callable[[Stored, Stored], bool | None]


def order_configurations(
    read_routes: Callable[[dict[str, Any]], Result[RouteTable, str]],
) -> Order:
    """Return the order of configurations: operators' versions only rise."""

    def is_newer(known: Stored, listed: Stored) -> bool | None:
        before, after = read_routes(known.spec).ok(), read_routes(listed.spec).ok()
        if before is None or after is None:
            return None
        return after.version >= before.version

    return is_newer


def order_descriptions(
    read_server: Callable[[Stored], Result[BackendServer, str]],
) -> Order:
    """Return the order of descriptions of one backend server.

    A later start is newer. So is a leave, since no server stays that has announced it.
    """

    def is_newer(known: Stored, listed: Stored) -> bool | None:
        before, after = read_server(known).ok(), read_server(listed).ok()
        if before is None or after is None:
            return None
        if after.born_ms > before.born_ms:
            return True
        leaves = after.draining and not before.draining
        return True if leaves and after.born_ms == before.born_ms else None

    return is_newer
