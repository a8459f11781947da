"""Serves backend servers on behalf of all hosts of the fleet."""

from collections.abc import Callable

import trio

from rattanhollow.observe import Meter
from rattanhollow.serving._backend_protocol import BackendAdapter, BackendServer
from rattanhollow.serving._cold_limit import NO_COLD_BOUND, ColdBound
from rattanhollow.serving._connector import ServingParts
from rattanhollow.serving._leader_use import CheckLeaderUse
from rattanhollow.serving._presence import CURRENT_CALLER
from rattanhollow.serving._scarce_slot_waits import work_of_left_caller
from rattanhollow.serving._served_backend import ServedBackend
from rattanhollow.serving._work import (
    Blocker,
    ProofAnswer,
    Work,
    WorkKind,
    WorkResult,
    not_run,
)

EXPIRE_INTERVAL_S = 0.5
# The longer interval while no server is served.
IDLE_INTERVAL_S = 2.0
# How long idle connections are kept at a server whose first serving host is this one.
# It is below the 60 s after which operators have servers close them; a full pool
# closes the longest idle one sooner.
CONNECTION_IDLE_TIMEOUT_S = 50.0
# The same at a server that this host served temporarily in place of another.
TEMPORARY_CONNECTION_IDLE_TIMEOUT_S = 1.0


class Serving:
    """Serves each backend server from the first work for it that arrives.

    ``is_first(server)`` returns whether this host is the server's first choice of
    serving host, ``find(id)`` the server as described in the store,
    ``connections(service)`` the connection limit of each server of the service, None
    if the configuration does not have the service, and ``idle_ms()`` how long a
    transaction may stay idle. ``check_leader_use(server)`` returns whether a server may
    be used as the primary, ``may_begin_work(server_id)`` whether it may get new work,
    ``cold_bound(service)`` what a cold server of a service may get, and
    ``must_stop(server)`` whether a server must get nothing more. ``scarce_slots``
    is whether queues for slots refuse what they can't do in time.
    """

    def __init__(
        self,
        backend: BackendAdapter,
        is_first: Callable[[BackendServer], bool],
        find: Callable[[str], BackendServer | None],
        connections: Callable[[str], int | None],
        idle_ms: Callable[[], int],
        clock: Callable[[], float],
        meter: Meter,
        check_leader_use: CheckLeaderUse,
        may_begin_work: Callable[[str], bool],
        cold_bound: Callable[[str], ColdBound] = lambda service: NO_COLD_BOUND,
        must_stop: Callable[[BackendServer], bool] = lambda server: False,
        scarce_slots: bool = False,
    ) -> None:
        self._scarce_slots = scarce_slots
        self._must_stop = must_stop
        self._cold_bound = cold_bound
        self._check_leader_use = check_leader_use
        self._may_begin_work = may_begin_work
        self._backend = backend
        self._is_first = is_first
        self._find_server = find
        self._connection_limit = connections
        self._idle_ms = idle_ms
        self._clock = clock
        self._meter = meter
        self._served: dict[str, ServedBackend] = {}
        self._nursery: trio.Nursery | None = None

    async def run(self) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            while True:
                await trio.sleep(EXPIRE_INTERVAL_S if self._served else IDLE_INTERVAL_S)
                self.refresh()
                for served in self._served.values():
                    served.expire(self._idle_ms() / 1000)
                    if self._must_stop(served.server):
                        served.end_transactions()
                    first = self._is_first(served.server)
                    served.trim(
                        CONNECTION_IDLE_TIMEOUT_S
                        if first
                        else TEMPORARY_CONNECTION_IDLE_TIMEOUT_S
                    )

    @property
    def idle(self) -> bool:
        """Whether no work runs or waits and no transaction is open at any server."""
        return all(served.idle for served in self._served.values())

    def served(self) -> list[ServedBackend]:
        """Return the backend servers that are being served."""
        return list(self._served.values())

    def find(self, server_id: str) -> ServedBackend | None:
        """Return a backend server if it is being served."""
        return self._served.get(server_id)

    def refresh(self) -> None:
        """Stop serving servers that were removed or have restarted."""
        for server_id, served in list(self._served.items()):
            known = self._find_server(server_id)
            if known is None and not served.idle:
                continue
            if known is None or known.born_ms != served.server.born_ms:
                self._stop_serving(server_id)
                continue
            limit = self._connection_limit(known.service)
            if limit is not None:
                served.update(known, limit)

    async def run_work(self, work: Work) -> WorkResult:
        """Run work at the backend server named in it."""
        served = self.serve(work.server)
        if served is None:
            return not_run(
                Blocker.NOT_SERVED,
                f"backend server {work.server} is not known to this host",
            )
        caller = CURRENT_CALLER.get()
        if caller is None or work.kind is WorkKind.ROLLBACK:
            return await served.run(work)
        if caller.gone:
            return work_of_left_caller(work)
        with caller.withdrawing(lambda: served.withdraw(work.transaction)):
            return await served.run(work)

    def withdraw(self, server_id: str, transaction: str) -> None:
        """Drop work for which nobody waits, unless it has been sent to the server."""
        served = self._served.get(server_id)
        if served is not None:
            served.withdraw(transaction)

    async def prove(self, server_id: str) -> ProofAnswer:
        """Return a log position that the server proves as the primary."""
        served = self.serve(server_id)
        if served is None:
            return ProofAnswer(
                None, f"backend server {server_id} is not known to this host"
            )
        return await served.prove()

    def serve(self, server_id: str) -> ServedBackend | None:
        """Return a server, starting to serve it if it is known.

        A host that has just started knows servers before it knows how many connections
        they allow; others serve them until then.
        """
        served = self._served.get(server_id)
        known = self._find_server(server_id)
        if served is not None:
            if known is None or known.born_ms == served.server.born_ms:
                return served
            self._stop_serving(server_id)
        if known is None or self._nursery is None:
            return None
        limit = self._connection_limit(known.service)
        if limit is None:
            return None
        parts = ServingParts(
            self._backend,
            self._nursery,
            self._clock,
            self._meter,
            self._check_leader_use,
            self._may_begin_work,
            self._cold_bound,
            self._is_first,
            must_stop=self._must_stop,
            scarce_slots=self._scarce_slots,
        )
        served = ServedBackend(known, limit, parts)
        self._served[server_id] = served
        self._nursery.start_soon(served.watch)
        return served

    def _stop_serving(self, server_id: str) -> None:
        self._served.pop(server_id).close()
