"""The protocols that a host speaks, as the composition root takes them."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import trio
from result import Result

from rattanhollow.configuration import RouteTable
from rattanhollow.limits import Account
from rattanhollow.serving import BackendAdapter, BackendServer
from rattanhollow.session import CallerConnection
from rattanhollow.store import ObjectStore, Stored


class Ends(NamedTuple):
    """Everything outside the host.

    ``caller(stream, account)`` speaks with a caller. ``promote(service, server, holder,
    fencing_token)`` answers with the status of the order. ``evacuation_kind`` is the
    kind of the store's objects that evacuate zones, empty where there are none.
    ``scarce_slots`` is whether the platform asks for admission under scarcity.
    """

    caller: Callable[[trio.SocketStream, Account], CallerConnection]
    backend: BackendAdapter
    store: ObjectStore
    promote: Callable[[str, str, str, int], Awaitable[Result[int, str]]]
    read_routes: Callable[[dict[str, Any]], Result[RouteTable, str]]
    read_server: Callable[[Stored], Result[BackendServer, str]]
    configuration_kind: str
    configuration_name: str
    server_kind: str
    evacuation_kind: str
    scarce_slots: bool
    readiness_path: str
    metrics_path: str
