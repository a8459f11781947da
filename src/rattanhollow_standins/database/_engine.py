"""Running SQL on sqlite, in the dialect of simple applications."""

import re
import sqlite3
from pathlib import Path
from typing import Any, NamedTuple

OID_BOOL, OID_BYTES, OID_INT8, OID_TEXT, OID_FLOAT8 = 16, 17, 20, 25, 701

_CAST = re.compile(r"::\s*[a-z_][a-z0-9_ ]*(\(\d+\))?(\[\])?", re.IGNORECASE)
_PARAMETER = re.compile(r"\$(\d+)")
_SERIAL = re.compile(r"\b(big)?serial\b", re.IGNORECASE)
_FOR_UPDATE = re.compile(r"\bfor\s+(update|share)\b[^;]*$", re.IGNORECASE)
_WRITING_WITH = re.compile(r"\b(insert|update|delete)\b", re.IGNORECASE)
_READING = ("SELECT", "VALUES", "EXPLAIN", "TABLE")


class SqlError(Exception):
    """An error as the protocol reports it."""

    def __init__(self, sqlstate: str, message: str) -> None:
        self.sqlstate = sqlstate
        super().__init__(message)


class Rows(NamedTuple):
    """A result: ``columns`` is empty for a statement that returns no rows."""

    columns: list[str]
    oids: list[int]
    rows: list[tuple[Any, ...]]
    tag: str


class Statement(NamedTuple):
    """A statement with its parameters, as it is logged and replayed."""

    sql: str
    parameters: tuple[Any, ...] = ()


def first_word(sql: str) -> str:
    """Return the first word of ``sql`` in upper case, comments left out."""
    text = re.sub(r"--[^\n]*|/\*.*?\*/", " ", sql, flags=re.DOTALL).lstrip(" \t\r\n(")
    match = re.match(r"[A-Za-z]+", text)
    return match[0].upper() if match else ""


def writes(sql: str) -> bool:
    """Whether a statement changes data."""
    word = first_word(sql)
    if "nextval(" in sql.lower():
        return True
    if word == "WITH":
        return bool(_WRITING_WITH.search(sql))
    return word not in _READING


def translate(sql: str) -> str:
    """Return ``sql`` as sqlite understands it."""
    text = _CAST.sub("", sql)
    text = _PARAMETER.sub(r"?\1", text)
    text = _SERIAL.sub("integer", text)
    return _FOR_UPDATE.sub("", text).strip().rstrip(";")


def open_database(file: Path, sequences: dict[str, int]) -> sqlite3.Connection:
    """Return a connection to the database in ``file``."""
    connection = sqlite3.connect(file, isolation_level=None, timeout=0)
    connection.execute("PRAGMA journal_mode=WAL")
    connection.execute("PRAGMA synchronous=OFF")

    def nextval(name: str) -> int:
        sequences[name] = sequences.get(name, 0) + 1
        return sequences[name]

    connection.create_function("nextval", 1, nextval)
    connection.create_function("currval", 1, lambda name: sequences.get(name, 0))
    connection.create_function("now", 0, lambda: "2026-01-01 00:00:00+00")
    connection.create_function("version", 0, lambda: "stand-in over sqlite")
    connection.create_function("current_schema", 0, lambda: "public")
    return connection


def execute(connection: sqlite3.Connection, statement: Statement) -> Rows:
    """Run one statement.

    Raises:
        SqlError: sqlite refused it.

    """
    sql = translate(statement.sql)
    try:
        cursor = connection.execute(sql, statement.parameters)
        rows = cursor.fetchall()
    except sqlite3.IntegrityError as error:
        raise SqlError("23505", str(error)) from None
    except sqlite3.OperationalError as error:
        raise SqlError(_sqlstate(str(error)), str(error)) from None
    except sqlite3.Error as error:
        raise SqlError("XX000", str(error)) from None
    columns = [column[0] for column in cursor.description or ()]
    return Rows(columns, _oids(columns, rows), rows, _tag(sql, cursor, rows))


def _sqlstate(message: str) -> str:
    if "no such table" in message:
        return "42P01"
    if "locked" in message:
        return "40001"
    if "already exists" in message:
        return "42P07"
    return "42601"


def _tag(sql: str, cursor: sqlite3.Cursor, rows: list[tuple[Any, ...]]) -> str:
    word = first_word(sql)
    if word == "INSERT":
        return f"INSERT 0 {max(cursor.rowcount, len(rows))}"
    if word in ("UPDATE", "DELETE"):
        return f"{word} {max(cursor.rowcount, 0)}"
    if word in ("CREATE", "DROP", "ALTER"):
        return " ".join(sql.split()[:2]).upper()
    return f"SELECT {len(rows)}"


def _oids(columns: list[str], rows: list[tuple[Any, ...]]) -> list[int]:
    oids = []
    for at in range(len(columns)):
        sample = next((row[at] for row in rows if row[at] is not None), None)
        oids.append(_oid(sample))
    return oids


def _oid(value: Any) -> int:
    if isinstance(value, int):
        return OID_INT8
    if isinstance(value, float):
        return OID_FLOAT8
    if isinstance(value, bytes):
        return OID_BYTES
    return OID_TEXT


def as_text(value: Any) -> bytes | None:
    """Return a value in the protocol's text format."""
    if value is None:
        return None
    if isinstance(value, bytes):
        return b"\\x" + value.hex().encode()
    return str(value).encode()


def split_statements(sql: str) -> list[str]:
    """Split a text at its semicolons, outside quotes."""
    parts: list[str] = []
    current = ""
    for piece in re.split(r"('(?:[^']|'')*'|\"[^\"]*\"|;)", sql):
        if piece == ";":
            parts.append(current)
            current = ""
        else:
            current += piece
    parts.append(current)
    return [part.strip() for part in parts if part.strip()]
