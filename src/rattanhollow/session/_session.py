"""One caller's session: what it has set, prepared and opened."""

import enum
import itertools
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from rattanhollow.configuration import Route, RouteTable
from rattanhollow.coordination import Position
from rattanhollow.limits import ENTRY_BYTES, text_bytes
from rattanhollow.rates import Admission
from rattanhollow.routing import (
    HomeRegions,
    Outcome,
    Placement,
    Router,
    StatementRequest,
    combine_home_regions,
)
from rattanhollow.serving import Scope, Work, WorkKind
from rattanhollow.session._departures import admit_while_connected
from rattanhollow.statements import (
    Answer,
    Begin,
    Commit,
    Completed,
    Execute,
    Forget,
    Prepare,
    Read,
    Reason,
    Refused,
    Request,
    Rollback,
    SessionState,
    SetValue,
    Statement,
    Write,
)

# Another host takes the caller at once.
LEAVING_RETRY_MS = 1


class SessionParts(NamedTuple):
    """What a session needs of the rest of the host.

    ``routes()`` is the configuration in force, ``admit(organisation, target_ms)``
    counts one operation.
    """

    routes: Callable[[], RouteTable]
    admit: Callable[[str, int], Awaitable[Admission]]
    router: Router
    clock: Callable[[], float]


class _Prepared(NamedTuple):
    writes: bool
    shape: str


class _Transaction(enum.Enum):
    """How far a transaction has come."""

    BEGUN = "no statement ran yet"
    PLACED = "open at a backend server"
    FAILED = "can only be rolled back"


class Session:
    """The state of a session, and its statements.

    ``organisation`` is empty on a route that is open to all. A ``closing`` session
    ends outside a transaction, an ``ending`` one behind the statement under way.
    ``waiting`` is the wait for a request, ``running`` the work on one. ``kept_bytes``
    is the memory of set values and prepared shapes.
    """

    def __init__(
        self, route: str, key_digest: str, organisation: str, parts: SessionParts
    ) -> None:
        self.organisation = organisation
        self.closing = False
        self.ending = False
        self.busy = False
        self.waiting = trio.CancelScope()
        self.running = trio.CancelScope()
        self.mid_request: Callable[[], bool] = lambda: False
        self._route_name = route
        self._key_digest = key_digest
        self._parts = parts
        self._values: dict[str, str] = {}
        self._prepared: dict[str, _Prepared] = {}
        self.kept_bytes = 0
        self._floor: Position | None = None
        self._transaction: _Transaction | None = None
        self._read_only = False
        self._route: Route | None = None
        self._homes: HomeRegions | None = None
        self._placement: Placement | None = None
        self._server = self._host = ""

    @property
    def state(self) -> SessionState:
        """What the caller is told of its transaction."""
        if self._transaction is None:
            return SessionState.IDLE
        if self._transaction is _Transaction.FAILED:
            return SessionState.FAILED
        return SessionState.OPEN

    @property
    def route_name(self) -> str:
        """The name that the caller asked for."""
        return self._route_name

    @property
    def consistency(self) -> str:
        """What the session's route promises, as text."""
        return self._route.consistency.value if self._route is not None else "none"

    def trace(self) -> dict[str, object]:
        """Return what decided about the last statement, for the log."""
        placement = self._placement
        return {
            "configuration": self._parts.routes().version,
            "floor": self._floor,
            "server": placement.server.id if placement is not None else self._server,
            "host": placement.host if placement is not None else self._host,
        }

    def close_when_idle(self) -> None:
        """End the session once no request is under way.

        Only the wait for the next request is cancelled: one that has just
        arrived is served.
        """
        self.closing = True
        self.waiting.cancel()

    def close_after_statement(self) -> None:
        """End the session behind the statement under way, also inside a transaction."""
        self.ending = True
        self.close_when_idle()

    def break_off(self) -> None:
        """End the session now; a statement under way is answered as broken off."""
        self.close_after_statement()
        self.running.cancel()

    def broken_off(self, request: Request) -> Refused:
        """Return the answer to a statement whose work was cancelled.

        What changes nothing, or only within a transaction that is rolled back now, is
        not kept; a write of its own or a commit may be.
        """
        statement = request.statement
        in_transaction = self._transaction is not None
        changes_nothing = isinstance(statement, Read) or self._is_prepared_read(
            statement
        )
        kept = isinstance(statement, Commit) or not (in_transaction or changes_nothing)
        self.abandon()
        reason = Reason.IN_DOUBT if kept else Reason.ABORTED
        return Refused(reason, "the host is leaving", LEAVING_RETRY_MS)

    def _is_prepared_read(self, statement: Statement) -> bool:
        if not isinstance(statement, Execute):
            return False
        prepared = self._prepared.get(statement.name)
        return prepared is not None and not prepared.writes

    def farewell(self) -> Refused:
        """Return what a caller is told whose session the host ends."""
        if not self.may_go_on():
            return Refused(Reason.NO_KEY)
        return Refused(Reason.BUSY, "the host is leaving", LEAVING_RETRY_MS)

    def may_go_on(self) -> bool:
        """Whether the caller's key still is one of its organisation."""
        if not self._key_digest:
            return True
        owner = self._parts.routes().organisation_of(self._key_digest)
        return owner == self.organisation

    async def handle(self, request: Request) -> Answer:
        """Run one statement."""
        if not self.may_go_on():
            self.abandon()
            return Refused(Reason.NO_KEY, ends=True)
        statement = request.statement
        if isinstance(statement, Rollback):
            self.abandon()
            return Completed()
        if self._transaction is _Transaction.FAILED:
            detail = "the transaction can only be rolled back"
            return Refused(Reason.MALFORMED, detail)
        if isinstance(statement, SetValue):
            self._keep(statement.name, self._values.get(statement.name), -1)
            self._values[statement.name] = statement.value
            self._keep(statement.name, statement.value)
            return Completed()
        if isinstance(statement, Prepare):
            shape = _Prepared(statement.writes, statement.shape)
            self._forget(statement.name)
            self._prepared[statement.name] = shape
            self._keep(statement.name, statement.shape)
            return Completed()
        if isinstance(statement, Forget):
            self._forget(statement.name)
            return Completed()
        if isinstance(statement, Begin):
            return await self._begin(statement)
        return await self._run(request)

    def _forget(self, name: str) -> None:
        prepared = self._prepared.pop(name, None)
        self._keep(name, prepared.shape if prepared is not None else None, -1)

    def _keep(self, name: str, text: str | None, sign: int = 1) -> None:
        """Add or subtract what a named text takes, where there is one."""
        if text is not None:
            self.kept_bytes += sign * (ENTRY_BYTES + text_bytes(name, text))

    def fail_unrun(self) -> Reason:
        """Fail an open transaction, a statement of which was not run.

        Returns the reason to refuse the statement for.
        """
        if self._transaction is None:
            return Reason.BUSY
        self.abandon()
        self._transaction = _Transaction.FAILED
        return Reason.ABORTED

    def abandon(self) -> None:
        """Roll back what is open, without waiting for it."""
        if self._placement is not None:
            work = Work("", self.organisation, "", WorkKind.ROLLBACK, Scope.WITHIN)
            self._parts.router.roll_back_abandoned(work, self._placement)
        self._end_transaction()

    def _end_transaction(self) -> None:
        self._transaction = None
        self._placement = None

    async def _begin(self, statement: Begin) -> Answer:
        if self._transaction is not None:
            return Refused(Reason.MALFORMED, "a transaction is open")
        route = await self._admitted_route()
        if isinstance(route, Refused):
            return route
        self._route = route
        self._read_only = statement.read_only
        self._transaction = _Transaction.BEGUN
        return Completed()

    async def _admitted_route(self) -> Route | Refused:
        """Return the route of an operation that begins, and count it."""
        route = self._parts.routes().routes.get(self._route_name)
        if route is None or not (self._key_digest or route.open):
            return Refused(Reason.NO_ROUTE)
        if self.organisation:
            admission = await admit_while_connected(
                self._parts.admit, self.organisation, route.target_ms
            )
            if not admission.admitted:
                return Refused(
                    Reason.OVER_RATE, admission.detail, admission.retry_after_ms
                )
        organisation_homes = self._parts.routes().home_regions.get(
            self.organisation, ()
        )
        self._homes = combine_home_regions(route.home_regions, organisation_homes)
        return route

    async def _run(self, request: Request) -> Answer:
        if self._transaction is None:
            if isinstance(request.statement, Commit):
                return Refused(Reason.MALFORMED, "no transaction is open")
            route = await self._admitted_route()
            if isinstance(route, Refused):
                return route
            self._route = route
        work = self._work(request)
        if work is None:
            return Refused(Reason.NO_STATEMENT)
        assert self._route is not None
        timeout_s = self._route.statement_timeout_ms / 1000
        deadline_s = self._parts.clock() + timeout_s
        demand = StatementRequest(
            self._route, work, self._floor, deadline_s, self._homes
        )
        outcome = await self._route_work(demand)
        self._take(outcome, work)
        return outcome.answer

    def _work(self, request: Request) -> Work | None:
        """Return the work that a statement means, None for an unknown name."""
        statement = request.statement
        assert self._route is not None
        work = Work(
            server="",
            organisation=self.organisation,
            request_id=request.id,
            kind=WorkKind.COMMIT,
            scope=Scope.ALONE,
            values=tuple(self._values.items()),
            priority=self._route.priority,
            target_ms=self._route.target_ms,
        )
        if isinstance(statement, Read):
            return work._replace(kind=WorkKind.READ, text=statement.text)
        if isinstance(statement, Write):
            return work._replace(kind=WorkKind.WRITE, text=statement.text)
        if isinstance(statement, Execute):
            prepared = self._prepared.get(statement.name)
            if prepared is None:
                return None
            return work._replace(
                kind=WorkKind.EXECUTE,
                text=statement.arguments,
                shape=prepared.shape,
                shape_writes=prepared.writes,
            )
        return work

    async def _route_work(self, demand: StatementRequest) -> Outcome:
        router = self._parts.router
        if self._placement is not None:
            return await router.run_in_transaction(demand, self._placement)
        if self._transaction is not None:
            return await router.begin(demand, self._read_only)
        if demand.work.kind is WorkKind.WRITE or demand.work.shape_writes:
            return await router.write(demand)
        return await router.read(demand)

    def _take(self, outcome: Outcome, work: Work) -> None:
        """Bring the session into the state behind a statement."""
        self._server = self._host = ""
        if outcome.placement is not None:
            self._server = outcome.placement.server.id
            self._host = outcome.placement.host
        if outcome.committed is not None:
            floor = self._floor or outcome.committed
            self._floor = max(floor, outcome.committed)
        if self._transaction is None:
            return
        if work.kind is WorkKind.COMMIT:
            self._end_transaction()
        elif outcome.open:
            self._placement = outcome.placement
            self._transaction = _Transaction.PLACED
        else:
            self._placement = None
            self._transaction = _Transaction.FAILED


class Sessions:
    """The sessions of this host."""

    def __init__(self) -> None:
        self._sessions: dict[int, Session] = {}
        self._numbers = itertools.count(1)

    def __len__(self) -> int:
        return len(self._sessions)

    def add(self, session: Session) -> int:
        """Add a session and return its number."""
        number = next(self._numbers)
        self._sessions[number] = session
        return number

    def remove(self, number: int) -> None:
        """Remove a session."""
        self._sessions.pop(number, None)

    def all(self) -> list[Session]:
        """Return all sessions."""
        return list(self._sessions.values())
