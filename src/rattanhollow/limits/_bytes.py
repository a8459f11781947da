"""The bytes that a process holds for callers, accounted for by connection."""

import enum
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import trio

# Above this share of a limit, connections that hold more than their part pause; by
# closing, what is held falls to the lower share, so that several others can go on.
PAUSE_SHARE = 0.75
RELIEF_SHARE = 0.5


class Purpose(enum.Enum):
    """What bytes are held for."""

    RECEIVED = "received"
    STATEMENT = "statement"
    RESPONSE = "response"
    VALUES = "values"


class ByteLimits(NamedTuple):
    """The most that is held for the process, an organisation and a connection.

    ``pause_s`` is how long a shortage may last until paused connections are closed.
    """

    process_bytes: int
    organisation_bytes: int
    connection_bytes: int
    pause_s: float


class Account:
    """What is held for one connection; ``scope`` is cancelled to close it.

    ``closed_for`` names the limit for which it was closed, ``request`` is the
    identifier of the statement under way.
    """

    def __init__(self, budget: "ByteBudget") -> None:
        self.scope = trio.CancelScope()
        self.organisation = ""
        self.held_bytes = 0
        self.closed_for = ""
        self.held_at_close_bytes = 0
        self.request = ""
        self.paused = False
        self._budget = budget
        self._parts: dict[Purpose, int] = {}

    def belong_to(self, organisation: str) -> None:
        """Count what is held for an organisation from now on."""
        self._budget.move(self, organisation)

    def hold(self, purpose: Purpose, held_bytes: int) -> None:
        """Set what is held for a purpose; may close this connection or others."""
        if self._set(purpose, held_bytes) > 0:
            self._budget.enforce(self)

    def try_hold(self, purpose: Purpose, held_bytes: int) -> bool:
        """Set what is held for a purpose, unless a limit would be exceeded."""
        growth = held_bytes - self._parts.get(purpose, 0)
        if growth > 0 and not self._budget.has_room(self, growth):
            return False
        self._set(purpose, held_bytes)
        return True

    async def wait_for_room(self) -> None:
        """Wait while this connection holds more than its part of what is short."""
        if self._budget.must_pause(self):
            await self._budget.pause(self)

    def close(self, reason: str) -> None:
        """Close the connection; what it holds counts no more."""
        self.closed_for = reason
        self.held_at_close_bytes = self.held_bytes
        self._budget.remove(self)
        self.scope.cancel()

    def _set(self, purpose: Purpose, held_bytes: int) -> int:
        growth = held_bytes - self._parts.get(purpose, 0)
        self._parts[purpose] = held_bytes
        if growth and not self.closed_for:
            self._budget.add(self, growth)
        return growth


class ByteBudget:
    """All accounts of a process; ``on_pause`` is called for each pause."""

    def __init__(
        self,
        limits: ByteLimits,
        clock: Callable[[], float],
        on_pause: Callable[[], None] = lambda: None,
    ) -> None:
        self.limits = limits
        self.held_bytes = 0
        self._clock = clock
        self._on_pause = on_pause
        self._accounts: set[Account] = set()
        self._by_organisation: Counter[str] = Counter()
        self._connections: Counter[str] = Counter()
        self._room = trio.Event()
        self._short_since_s = 0.0

    def open(self) -> Account:
        """Return the account of a new connection; `remove` it at its end."""
        account = Account(self)
        self._accounts.add(account)
        self._connections[""] += 1
        return account

    def remove(self, account: Account) -> None:
        """Release all that an account holds."""
        if account not in self._accounts:
            return
        self._accounts.discard(account)
        self.add(account, -account.held_bytes)
        self._leave(account.organisation)

    def move(self, account: Account, organisation: str) -> None:
        """Count an account for another organisation."""
        if account not in self._accounts:
            return
        held_bytes = account.held_bytes
        self.add(account, -held_bytes)
        self._leave(account.organisation)
        account.organisation = organisation
        self._connections[organisation] += 1
        self.add(account, held_bytes)

    def add(self, account: Account, growth: int) -> None:
        """Change what an account holds; wakes those that wait for room."""
        account.held_bytes += growth
        self.held_bytes += growth
        self._by_organisation[account.organisation] += growth
        if growth < 0 and self._room.statistics().tasks_waiting:
            if not self._is_short(account.organisation):
                self._room.set()
                self._room = trio.Event()

    def has_room(self, account: Account, growth: int) -> bool:
        """Whether an account may hold ``growth`` more within all limits."""
        limits = self.limits
        organisation = self._by_organisation[account.organisation]
        return (
            account.held_bytes + growth <= limits.connection_bytes
            and organisation + growth <= limits.organisation_bytes
            and self.held_bytes + growth <= limits.process_bytes
        )

    def must_pause(self, account: Account) -> bool:
        """Whether an account holds more than its part of what is short."""
        limits = self.limits
        if account not in self._accounts:
            return False
        part_bytes = limits.process_bytes / len(self._accounts)
        if self._is_process_short() and account.held_bytes > part_bytes:
            return True
        organisation = account.organisation
        part_bytes = limits.organisation_bytes / self._connections[organisation]
        return (
            self._is_organisation_short(organisation)
            and account.held_bytes > part_bytes
        )

    async def pause(self, account: Account) -> None:
        """Wait for room; while there is none, those that hold most are closed."""
        self._on_pause()
        if not any(other.paused for other in self._accounts):
            self._short_since_s = self._clock()
        account.paused = True
        try:
            while self.must_pause(account):
                with trio.move_on_after(self.limits.pause_s):
                    await self._room.wait()
                if self._clock() - self._short_since_s >= self.limits.pause_s:
                    self._short_since_s = self._clock()
                    self._relieve()
                await trio.lowlevel.checkpoint()
        finally:
            account.paused = False

    def enforce(self, account: Account) -> None:
        """Close the connections that hold most until no limit is exceeded."""
        limits = self.limits
        if account.held_bytes > limits.connection_bytes:
            account.close("connection")
        organisation = account.organisation
        while self._by_organisation[organisation] > limits.organisation_bytes:
            members = (a for a in self._accounts if a.organisation == organisation)
            max(members, key=_held).close("organisation")
        while self.held_bytes > limits.process_bytes:
            max(self._accounts, key=_held).close("process")

    def _relieve(self) -> None:
        """Close paused connections, those that hold most first."""
        paused = [account for account in self._accounts if account.paused]
        for account in sorted(paused, key=_held, reverse=True):
            organisation = account.organisation
            process_bytes = RELIEF_SHARE * self.limits.process_bytes
            organisation_bytes = RELIEF_SHARE * self.limits.organisation_bytes
            if (
                self.held_bytes > process_bytes
                or self._by_organisation[organisation] > organisation_bytes
            ):
                account.close("paused")

    def _leave(self, organisation: str) -> None:
        self._connections[organisation] -= 1
        if not self._connections[organisation]:
            del self._connections[organisation]
            self._by_organisation.pop(organisation, None)

    def _is_short(self, organisation: str) -> bool:
        return self._is_process_short() or self._is_organisation_short(organisation)

    def _is_process_short(self) -> bool:
        return self.held_bytes > PAUSE_SHARE * self.limits.process_bytes

    def _is_organisation_short(self, organisation: str) -> bool:
        held_bytes = self._by_organisation[organisation]
        return held_bytes > PAUSE_SHARE * self.limits.organisation_bytes


def _held(account: Account) -> int:
    return account.held_bytes
