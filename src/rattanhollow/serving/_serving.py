"""All backend servers that this host serves to the fleet."""

from collections.abc import Callable

import trio

from rattanhollow.observe import Meter
from rattanhollow.serving._backend_protocol import BackendAdapter, BackendServer
from rattanhollow.serving._served_backend import ServedBackend, ServingParts
from rattanhollow.serving._work import (
    Blocker,
    ProofAnswer,
    Work,
    WorkResult,
    not_run,
)

EXPIRE_INTERVAL_S = 0.5
# A host that serves no server has nothing to look after.
IDLE_INTERVAL_S = 2.0
# How long idle connections are kept at a server that falls to this host: operators
# let servers close them after 60 s, and the one idle for longest makes room before.
KEPT_IDLE_S = 50.0
# The same at a server that it served for a while in place of another host.
LEFT_IDLE_S = 1.0


class Serving:
    """Serves a backend server from the first work for it that arrives.

    ``is_first(server)`` tells whether the server falls to this host,
    ``find(id)`` gives a server as the store describes it, ``connections(service)``
    how many connections each of its servers takes, ``idle_ms()`` how long a
    transaction may stay idle.
    """

    def __init__(
        self,
        end: BackendAdapter,
        is_first: Callable[[BackendServer], bool],
        find: Callable[[str], BackendServer | None],
        connections: Callable[[str], int],
        idle_ms: Callable[[], int],
        clock: Callable[[], float],
        meter: Meter,
    ) -> None:
        self._end = end
        self._is_first = is_first
        self._find = find
        self._connections = connections
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
                    first = self._is_first(served.server)
                    served.trim(KEPT_IDLE_S if first else LEFT_IDLE_S)

    @property
    def idle(self) -> bool:
        """Whether nothing runs, waits or is open at any server."""
        return all(served.idle for served in self._served.values())

    def served(self) -> list[ServedBackend]:
        """Return the servers served now."""
        return list(self._served.values())

    def find(self, server_id: str) -> ServedBackend | None:
        """Return a server that is served now."""
        return self._served.get(server_id)

    def refresh(self) -> None:
        """Give up servers that are gone, or that started anew."""
        for server_id, served in list(self._served.items()):
            known = self._find(server_id)
            if known is None and not served.idle:
                continue
            if known is None or known.born_ms != served.server.born_ms:
                self._give_up(server_id)
            else:
                served.server = known

    async def run_work(self, work: Work) -> WorkResult:
        """Run work at the backend server that it names."""
        served = self.serve(work.server)
        if served is None:
            return not_run(Blocker.NOT_SERVED, f"no server {work.server} is known")
        return await served.run(work)

    async def prove(self, server_id: str) -> ProofAnswer:
        """Return a log position that a primary has proven."""
        served = self.serve(server_id)
        if served is None:
            return ProofAnswer(None, f"no server {server_id} is known")
        return await served.prove()

    def serve(self, server_id: str) -> ServedBackend | None:
        """Return a server, served from now on if it is known."""
        served = self._served.get(server_id)
        known = self._find(server_id)
        if served is not None:
            if known is None or known.born_ms == served.server.born_ms:
                return served
            self._give_up(server_id)
        if known is None or self._nursery is None:
            return None
        parts = ServingParts(self._end, self._nursery, self._clock, self._meter)
        served = ServedBackend(known, self._connections(known.service), parts)
        self._served[server_id] = served
        self._nursery.start_soon(served.watch)
        return served

    def _give_up(self, server_id: str) -> None:
        self._served.pop(server_id).close()
