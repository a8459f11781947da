"""One member of a stand-in database group: its log, its role, its faults."""

import sqlite3
import time
from pathlib import Path
from typing import NamedTuple

import trio

from rattanhollow_standins.database._engine import (
    SqlError,
    Statement,
    execute,
    open_database,
)

READ_ONLY = "25006"
CANT_PROVE = "57014"
REFUSED_TERM = "55000"


class LogEntry(NamedTuple):
    """One commit; an entry without statements begins a term."""

    term: int
    offset: int
    statements: tuple[Statement, ...]
    written_at_s: float


class Ack(NamedTuple):
    """What a replica told the primary: the round it heard, the log it holds."""

    round: int
    received: int


class MemberFaults:
    """What is wrong with a member now.

    ``cut_callers`` lets nothing through from and to proxies, ``cut_addresses``
    the same for some addresses, ``cut_members`` between members (by name);
    ``frozen`` stops it altogether.
    ``ship_lag_s`` and ``apply_lag_s`` delay replication. ``answer_delay_s``
    delays answers, ``cancel_delay_s`` cancel requests; ``lose_commit_answers``
    counts the next commits whose connection is closed instead of answered.
    """

    def __init__(self) -> None:
        self.cut_callers = False
        self.cut_addresses: set[str] = set()
        self.cut_members: set[str] = set()
        self.frozen = False
        self.ship_lag_s = 0.0
        self.apply_lag_s = 0.0
        self.answer_delay_s = 0.0
        self.lose_commit_answers = 0
        self.cancel_delay_s = 0.0


class StandInMember:
    """A member; ``epoch`` rises whenever all its connections must end."""

    def __init__(
        self, name: str, address: str, port: int, zone: str, folder: Path
    ) -> None:
        self.name = name
        self.address = address
        self.port = port
        self.zone = zone
        self.faults = MemberFaults()
        self.role = "replica"
        self.term = 0
        self.fenced_term = 0
        self.following = ""
        self.log: list[LogEntry] = []
        self.applied = 0
        self.round = 0
        self.acks: dict[str, Ack] = {}
        self.epoch = 0
        self.alive = True
        self.silenced_before = 0
        self.sequences: dict[str, int] = {}
        self.writer = trio.Lock()
        self.received_bytes: list[bytes] = []
        self.statements_run = 0
        self._folder = folder
        self._generation = 0
        self._changed = trio.Event()
        self._applier = self._open_applier()

    @property
    def end(self) -> tuple[int, int]:
        """Term and index of the last log entry."""
        return (self.log[-1].term, self.log[-1].offset) if self.log else (0, 0)

    @property
    def visible(self) -> tuple[int, int]:
        """Term and index up to which reads see the log."""
        if self.role == "primary":
            return self.end
        if not self.applied:
            return (0, 0)
        return (self.log[self.applied - 1].term, self.applied)

    @property
    def generation(self) -> int:
        """Which rebuild of the data this is; open connections to it end with it."""
        return self._generation

    def file(self) -> Path:
        """Return the file with the data of this generation."""
        return self._folder / f"{self.name}-{self._generation}.db"

    def notify(self) -> None:
        """Wake everyone who waits for a change of this member."""
        self._changed.set()
        self._changed = trio.Event()

    async def changed(self) -> None:
        """Return once something changed."""
        await self._changed.wait()

    def append(self, statements: tuple[Statement, ...]) -> LogEntry:
        """Write a commit to the log of a primary."""
        index = len(self.log) + 1
        entry = LogEntry(self.term, index, statements, time.monotonic())
        self.log.append(entry)
        self.applied = index
        self.notify()
        return entry

    def fence(self, term: int) -> None:
        """Refuse all terms before ``term`` from now on.

        Raises:
            SqlError: a later term was promised already.

        """
        if term < self.fenced_term:
            raise SqlError(REFUSED_TERM, f"fenced at {self.fenced_term}")
        self.fenced_term = term
        if self.role == "primary" and self.term < term:
            self.step_down()
        self.notify()

    def promote(self, term: int) -> None:
        """Lead ``term``; nothing happens where it leads it already.

        Raises:
            SqlError: a later term was promised, or led.

        """
        if term < self.fenced_term or term < self.term:
            raise SqlError(REFUSED_TERM, f"fenced at {self.fenced_term}")
        if self.role == "primary" and self.term == term:
            return
        self.apply_to(len(self.log))
        self.fenced_term = term
        self.term = term
        self.role = "primary"
        self.following = ""
        self.acks = {}
        self.append(())

    def follow(self, term: int, primary: str) -> None:
        """Follow the primary of ``term``.

        Raises:
            SqlError: a later term was promised, or this is its primary.

        """
        if term < self.fenced_term or term < self.term:
            raise SqlError(REFUSED_TERM, f"fenced at {self.fenced_term}")
        if self.role == "primary" and self.term == term:
            raise SqlError(REFUSED_TERM, "leads that term itself")
        if self.role == "primary":
            self.step_down()
        self.fenced_term = self.term = term
        self.following = primary
        self.notify()

    def step_down(self) -> None:
        """Stop leading; all connections end."""
        self.role = "replica"
        self.following = ""
        self.end_connections()

    def end_connections(self) -> None:
        """End all open connections."""
        self.epoch += 1
        self.notify()

    def kill(self) -> None:
        """Die; the log stays, as on a disk."""
        self.alive = False
        self.end_connections()

    def truncate(self, length: int) -> None:
        """Drop the log behind ``length`` entries, rebuilding the data if needed."""
        del self.log[length:]
        if self.applied <= length:
            return
        self.applied = 0
        self.sequences.clear()
        self._applier.close()
        self._generation += 1
        self._applier = self._open_applier()
        self.apply_to(length)
        self.end_connections()

    def apply_to(self, index: int) -> None:
        """Apply the log up to ``index``."""
        while self.applied < index:
            entry = self.log[self.applied]
            if entry.statements:
                self._applier.execute("BEGIN IMMEDIATE")
                for statement in entry.statements:
                    execute(self._applier, statement)
                self._applier.execute("COMMIT")
            self.applied += 1
        self.notify()

    def holders(self, round_number: int, index: int) -> int:
        """Count the replicas that heard a round and hold the log up to ``index``."""
        return sum(
            ack.round >= round_number and ack.received >= index
            for ack in self.acks.values()
        )

    def _open_applier(self) -> sqlite3.Connection:
        return open_database(self.file(), self.sequences)
