"""What all sessions of a proxy share."""

import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from rattanhollow.backend import Groups
from rattanhollow.configuration import Configuration
from rattanhollow.limits import ByteBudget, ConnectionLimit
from rattanhollow.observe import Metrics
from rattanhollow.pgwire import Watchdog
from rattanhollow.proxy._caller import Caller
from rattanhollow.proxy._guards import Guards
from rattanhollow.settings import ProxySettings
from rattanhollow.sql import Statement


class Service(NamedTuple):
    """The parts that a session uses."""

    settings: ProxySettings
    groups: Groups
    configuration: Callable[[], Configuration]
    classify: Callable[[str], Statement]
    callers: "Callers"
    guards: Guards
    metrics: Metrics
    rng: random.Random
    watchdog: Watchdog
    held: ByteBudget
    connections: ConnectionLimit
    is_fresh: Callable[[], bool]
    admit: Callable[[str], bool]
    admit_soon: Callable[[str], Awaitable[bool]]

    @property
    def answer_timeout_ms(self) -> int:
        """How long a backend server may be silent."""
        return self.settings.backend.answer_timeout_ms

    def deadline_s(self) -> float:
        """When a request that begins now has to be refused, in trio's time."""
        return trio.current_time() + self.settings.limits.request_timeout_ms / 1000


class Callers:
    """The callers connected now; ``leaving`` is set once the host drains."""

    def __init__(self) -> None:
        self.by_process_id: dict[int, Caller] = {}
        self.connected = 0
        self.leaving = False

    def all(self) -> list[Caller]:
        """Return all logged-in callers."""
        return list(self.by_process_id.values())

    def add(self, caller: Caller, rng: random.Random) -> None:
        """Register a caller under a process id and secret of its own."""
        while not caller.process_id or caller.process_id in self.by_process_id:
            caller.process_id = rng.getrandbits(31)
        caller.secret = rng.getrandbits(32)
        self.by_process_id[caller.process_id] = caller

    def remove(self, caller: Caller) -> None:
        """Forget a caller."""
        self.by_process_id.pop(caller.process_id, None)
