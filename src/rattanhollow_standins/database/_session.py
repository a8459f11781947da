"""What one connection to a stand-in member runs: transactions and commands."""

import re
import time

import trio

from rattanhollow.pgwire import parameter_status
from rattanhollow_standins.database._engine import (
    Rows,
    SqlError,
    Statement,
    execute,
    first_word,
    open_database,
    writes,
)
from rattanhollow_standins.database._member import (
    CANT_PROVE,
    READ_ONLY,
    StandInMember,
)

COMMANDS = frozenset(
    """
    COMMIT END ROLLBACK ABORT BEGIN START SET RESET DISCARD SHOW DEALLOCATE
    REPLICATION
    """.split()
)
NO_ROWS = Rows([], [], [], "")
_SLEEP = re.compile(r"^\s*select\s+pg_sleep\(\s*([0-9.]+)\s*\)\s*;?\s*$", re.IGNORECASE)
_SET = re.compile(r"set\s+(?:session\s+)?\"?(\w+)\"?\s*(?:=|to)\s*(.+)", re.IGNORECASE)


class Session:
    """The transaction state of one connection."""

    def __init__(self, member: StandInMember, slots: trio.CapacityLimiter) -> None:
        self._member = member
        self._slots = slots
        self._generation = member.generation
        self._database = open_database(member.file(), member.sequences)
        self._logged: list[Statement] = []
        self._implicit = False
        self._open = False
        self._writing = False
        self.failed = False
        self.cancelled = trio.Event()
        self.settings: dict[str, str] = {}

    @property
    def status(self) -> bytes:
        """The transaction status that ReadyForQuery reports."""
        if self.failed:
            return b"E"
        return b"T" if self._open else b"I"

    async def run(self, statement: Statement) -> tuple[Rows, bytes]:
        """Run one statement; the answer may begin with reports.

        Raises:
            SqlError: it failed; an open transaction is in a failed state then.

        """
        await self._lock_for(statement)
        async with self._slots:
            try:
                return await self._run(statement)
            except SqlError:
                if self._open:
                    self.failed = True
                else:
                    self.roll_back()
                raise

    async def _run(self, statement: Statement) -> tuple[Rows, bytes]:
        word = first_word(statement.sql)
        self._member.statements_run += 1
        if word in ("COMMIT", "END"):
            return self._commit_command()
        if word in ("ROLLBACK", "ABORT"):
            self.roll_back()
            return NO_ROWS._replace(tag="ROLLBACK"), b""
        if self.failed:
            raise SqlError("25P02", "the transaction is aborted")
        if word in ("BEGIN", "START"):
            self._begin()
            self._open, self._implicit = True, False
            return NO_ROWS._replace(tag="BEGIN"), b""
        if word in ("SET", "RESET", "DISCARD", "SHOW", "DEALLOCATE"):
            return self._setting(word, statement.sql), b""
        if word == "REPLICATION":
            return await self._replication(statement.sql.split()[1:])
        sleep = _SLEEP.match(statement.sql)
        if sleep is not None:
            return await self._sleep(float(sleep[1])), b""
        return await self._data(statement), b""

    async def _lock_for(self, statement: Statement) -> None:
        """Wait for the lock that a write needs; outside the slots, or all hang."""
        if self._writing or self.failed or self._member.role != "primary":
            return
        if first_word(statement.sql) in COMMANDS or not writes(statement.sql):
            return
        await self._member.writer.acquire()
        self._writing = True

    async def _data(self, statement: Statement) -> Rows:
        changes = writes(statement.sql)
        if changes and self._member.role != "primary":
            raise SqlError(READ_ONLY, "cannot write: this server does not lead")
        if changes and not self._open and not self._database.in_transaction:
            self._implicit = True
            self._begin()
        rows = execute(self._database, statement)
        if changes:
            self._logged.append(statement)
        return rows

    def _begin(self) -> None:
        if self._generation != self._member.generation:
            raise SqlError("57P01", "the data was rebuilt")
        if not self._database.in_transaction:
            self._database.execute("BEGIN")

    def _commit_command(self) -> tuple[Rows, bytes]:
        if self.failed:
            self.roll_back()
            return NO_ROWS._replace(tag="ROLLBACK"), b""
        return NO_ROWS._replace(tag="COMMIT"), self._commit()

    def end_request(self) -> bytes:
        """Commit what a request outside a transaction did; returns reports.

        Raises:
            SqlError: the member does not lead any more.

        """
        if not self._implicit:
            return b""
        return self._commit()

    def _commit(self) -> bytes:
        if self._logged and self._member.role != "primary":
            self.roll_back()
            raise SqlError(READ_ONLY, "cannot commit: this server does not lead")
        if self._database.in_transaction:
            self._database.execute("COMMIT")
        report = b""
        if self._logged:
            entry = self._member.append(tuple(self._logged))
            report = parameter_status(
                "replication_position", f"{entry.term}/{entry.offset}"
            )
        self._finish()
        return report

    def roll_back(self) -> None:
        """Undo the open transaction, if there is one."""
        if self._database.in_transaction:
            self._database.execute("ROLLBACK")
        self._finish()

    def _finish(self) -> None:
        self._logged.clear()
        self._open = self._implicit = self.failed = False
        if self._writing:
            self._writing = False
            self._member.writer.release()

    def close(self) -> None:
        """End the session; an open transaction is undone."""
        self.roll_back()
        self._database.close()

    def _setting(self, word: str, sql: str) -> Rows:
        if word == "SHOW":
            name = sql.split()[1].strip(";").lower()
            return Rows([name], [25], [(self.settings.get(name, ""),)], "SHOW")
        if word in ("RESET", "DISCARD"):
            self.settings.clear()
            return NO_ROWS._replace(tag=word)
        match = _SET.match(sql.strip().rstrip(";"))
        if match is not None:
            self.settings[match[1].lower()] = match[2].strip().strip("'")
        return NO_ROWS._replace(tag=word)

    async def _sleep(self, seconds: float) -> Rows:
        self.cancelled = trio.Event()
        with trio.move_on_after(seconds):
            await self.cancelled.wait()
            raise SqlError("57014", "cancelled at the caller's request")
        return Rows(["pg_sleep"], [25], [("",)], "SELECT 1")

    async def _replication(self, words: list[str]) -> tuple[Rows, bytes]:
        member = self._member
        command, arguments = words[0].upper(), words[1:]
        if command == "WAIT":
            return await self._wait(*(int(word) for word in arguments))
        if command in ("LEAD", "CONFIRM"):
            return await self._prove(command, *(int(word) for word in arguments)), b""
        if command == "FENCE":
            member.fence(int(arguments[0]))
        elif command == "PROMOTE":
            member.promote(int(arguments[0]))
        elif command == "FOLLOW":
            member.follow(int(arguments[0]), arguments[1])
        elif command != "STATUS":
            raise SqlError("42601", f"unknown command {command}")
        return _status(member), b""

    async def _wait(self, term: int, index: int, timeout_ms: int) -> tuple[Rows, bytes]:
        member = self._member
        with trio.move_on_after(timeout_ms / 1000):
            while member.visible < (term, index):
                await member.changed()
        visible = member.visible
        report = parameter_status("replication_applied", f"{visible[0]}/{visible[1]}")
        if visible < (term, index):
            raise SqlError(CANT_PROVE, "not applied in time")
        if self._generation != member.generation:
            raise SqlError("57P01", "the data was rebuilt")
        return NO_ROWS._replace(tag="WAIT"), report

    async def _prove(self, command: str, copies: int, timeout_ms: int) -> Rows:
        member = self._member
        if member.role != "primary":
            raise SqlError(READ_ONLY, "this server does not lead")
        term, index = member.end
        member.round += 1
        asked = member.round
        needed = index if command == "CONFIRM" else 0
        member.notify()
        deadline_s = time.monotonic() + timeout_ms / 1000
        while member.holders(asked, needed) < copies:
            if member.role != "primary" or member.term != term:
                raise SqlError(READ_ONLY, "this server does not lead any more")
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                raise SqlError(CANT_PROVE, "too few replicas answered")
            with trio.move_on_after(left_s):
                await member.changed()
        return Rows(["position"], [25], [(f"{term}/{index}",)], "SELECT 1")


def _status(member: StandInMember) -> Rows:
    columns = ["name", "role", "term", "fenced_term", "end", "applied"]
    end, visible = member.end, member.visible
    row = (
        member.name,
        member.role,
        member.term,
        member.fenced_term,
        f"{end[0]}/{end[1]}",
        f"{visible[0]}/{visible[1]}",
    )
    return Rows(columns, [25] * len(columns), [row], "SELECT 1")
