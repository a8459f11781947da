"""Remembering whether a host may use a backend server as the primary."""

import enum
from collections.abc import Awaitable, Callable

import trio

from rattanhollow.observe import log_event, log_failure
from rattanhollow.serving._backend_protocol import BackendServer

# A refusal is not checked again sooner.
REFUSED_RECHECK_S = 0.2
# What was found holds for this long from when it was asked for. A coordinator that does
# not reach all hosts waits as long before it reads the logs that its choice rests on.
LEADER_USE_VALID_S = 1.0
# It is asked for again, beside the work, once it is this old.
LEADER_USE_RENEWED_S = 0.4
# A refusal that no work has met for longer says nothing about the present.
REFUSAL_VALID_S = 1.5


class LeaderUse(enum.Enum):
    """Whether a server may be used as the primary.

    ``ALLOWED``: no promotion of another server is pending. ``ASSUMED``: that can't be
    read at present, and other hosts know of none. ``PENDING``: the promotion of another
    server may be executed; what this one acknowledged could be lost. ``UNKNOWN``:
    neither the store nor another host answers.
    """

    ALLOWED = "allowed"
    ASSUMED = "assumed"
    PENDING = "pending"
    UNKNOWN = "unknown"


CheckLeaderUse = Callable[[BackendServer], Awaitable[LeaderUse]]


async def always_allowed(server: BackendServer) -> LeaderUse:
    """Allow the use of every server."""
    return LeaderUse.ALLOWED


class LeaderUseGuard:
    """Remembers for one server whether this host may use it as the primary.

    ``check(server)`` finds out. ``clock`` must include time during which the host was
    suspended.
    """

    def __init__(
        self,
        check: CheckLeaderUse,
        nursery: trio.Nursery,
        clock: Callable[[], float],
    ) -> None:
        self._check = check
        self._nursery = nursery
        self._clock = clock
        self._use: LeaderUse | None = None
        self._asked_at_s = 0.0
        self._noted_at_s = 0.0
        self._allowed_until_s = 0.0
        self._pending_since_s: float | None = None
        self._checking: trio.Event | None = None
        # Counts events after which what was read before says nothing.
        self._resets = 0

    @property
    def is_allowed(self) -> bool:
        """Whether the server may be used now."""
        return self._was_allowed and not self._is_older_than(LEADER_USE_VALID_S)

    @property
    def _was_allowed(self) -> bool:
        return self._use in (LeaderUse.ALLOWED, LeaderUse.ASSUMED)

    @property
    def pending_s(self) -> float:
        """Seconds between the first and the last refusal for a pending promotion.

        0 where there is none, or where no work has met one lately.
        """
        if self._pending_since_s is None or self._is_older_than(REFUSAL_VALID_S):
            return 0.0
        return self._noted_at_s - self._pending_since_s

    def reset(self) -> None:
        """Check again before the next use."""
        self._resets += 1
        self._use = None
        self._pending_since_s = None

    async def check(self, server: BackendServer) -> LeaderUse:
        """Return whether the server may be used; callers share a check."""
        while True:
            if self._use is not None and self.is_allowed:
                self.renew(server)
                return self._use
            is_refused = self._use is not None and not self._was_allowed
            if is_refused and self._clock() - self._noted_at_s < REFUSED_RECHECK_S:
                assert self._use is not None
                return self._use
            if self._checking is None:
                self._begin(server)
            assert self._checking is not None
            await self._checking.wait()

    def renew(self, server: BackendServer) -> None:
        """Check again in the background what will not hold for long."""
        if self._checking is None and self._is_older_than(LEADER_USE_RENEWED_S):
            self._begin(server)

    def _begin(self, server: BackendServer) -> None:
        """Check in a task that no caller's deadline ends."""
        self._checking = trio.Event()
        self._nursery.start_soon(self._read, server, self._checking)

    def _is_older_than(self, age_s: float) -> bool:
        return self._clock() - self._asked_at_s >= age_s

    async def _read(self, server: BackendServer, checking: trio.Event) -> None:
        resets = -1
        try:
            while resets != self._resets:
                resets, asked_at_s = self._resets, self._clock()
                use = LeaderUse.UNKNOWN
                use = await self._check(server)
        except Exception as error:
            # One check must not end the process; the next one may succeed.
            log_failure("leader.check_failed", error, server=server.id)
        finally:
            checking.set()
            if self._checking is checking:
                self._checking = None
        self._note(use, asked_at_s, server)

    def _note(self, use: LeaderUse, asked_at_s: float, server: BackendServer) -> None:
        if use is not self._use:
            log_event(
                "leader.use_checked",
                server=server.id,
                born_ms=server.born_ms,
                use=use.value,
            )
        self._use = use
        self._asked_at_s = asked_at_s
        self._noted_at_s = self._clock()
        if use is not LeaderUse.PENDING:
            self._pending_since_s = None
        elif self._pending_since_s is None:
            self._pending_since_s = self._clock()
        if self._was_allowed:
            self._allowed_until_s = asked_at_s + LEADER_USE_VALID_S

    @property
    def must_give_up(self) -> bool:
        """Whether nothing that was sent before may be waited for any longer."""
        return not self.is_allowed and self._clock() >= self._allowed_until_s
