"""The statements of a session, decoded from the caller's protocol."""

from typing import NamedTuple


class Begin(NamedTuple):
    """Opens a transaction; one that is ``read_only`` may run at a replica."""

    read_only: bool


class Commit(NamedTuple):
    """Commits the open transaction."""


class Rollback(NamedTuple):
    """Rolls the open transaction back."""


class Read(NamedTuple):
    """Reads; ``text`` is handed to the backend server unchanged."""

    text: str


class Write(NamedTuple):
    """Writes; ``text`` is handed to the backend server unchanged."""

    text: str


class SetValue(NamedTuple):
    """Sets a value that belongs to the session."""

    name: str
    value: str


class Prepare(NamedTuple):
    """Gives a statement's shape a name that belongs to the session."""

    name: str
    writes: bool
    shape: str


class Execute(NamedTuple):
    """Runs a prepared statement; ``arguments`` are handed on unchanged."""

    name: str
    arguments: str


class Forget(NamedTuple):
    """Gives a prepared statement's name up."""

    name: str


Statement = (
    Begin | Commit | Rollback | Read | Write | SetValue | Prepare | Execute | Forget
)


class Request(NamedTuple):
    """A statement with the identifier that its caller gave it."""

    id: str
    statement: Statement
