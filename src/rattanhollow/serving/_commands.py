"""The commands that run a unit of work on a connection."""

from typing import NamedTuple

from rattanhollow.serving._backend_protocol import Command, CommandKind
from rattanhollow.serving._connections import ServerConnection
from rattanhollow.serving._work import Scope, Work, WorkKind

_BEGIN_COMMANDS = {
    Scope.PROVEN: CommandKind.BEGIN,
    Scope.BEGIN: CommandKind.BEGIN,
    Scope.BEGIN_READ_ONLY: CommandKind.BEGIN_READ_ONLY,
}
_STATEMENT_COMMANDS = {
    WorkKind.READ: CommandKind.READ,
    WorkKind.WRITE: CommandKind.WRITE,
    WorkKind.EXECUTE: CommandKind.EXECUTE,
    WorkKind.COMMIT: CommandKind.COMMIT,
}


class SessionPlan(NamedTuple):
    """Commands that set a session's state on a connection, and the resulting state."""

    commands: list[Command]
    values: dict[str, str]
    prepared: dict[tuple[bool, str], str]


def plan_session(connection: ServerConnection, work: Work) -> SessionPlan:
    """Return the commands that set the session's state on a connection."""
    values = dict(work.values)
    current, prepared = connection.values, dict(connection.prepared)
    commands = []
    if not current.keys() <= values.keys():
        commands.append(Command(CommandKind.FORGET_SESSION))
        current, prepared = {}, {}
    commands += [
        Command(CommandKind.SET, text=value, name=name)
        for name, value in values.items()
        if current.get(name) != value
    ]
    key = (work.shape_writes, work.shape)
    if work.kind is WorkKind.EXECUTE and key not in prepared:
        kind = CommandKind.PREPARE_READ
        if work.shape_writes:
            kind = CommandKind.PREPARE_WRITE
        name = prepared[key] = connection.new_name()
        commands.append(Command(kind, text=work.shape, name=name))
    return SessionPlan(commands, values, prepared)


def begin_command(work: Work) -> Command | None:
    """Return the command that begins the work's transaction, if it begins one."""
    kind = _BEGIN_COMMANDS.get(work.scope)
    if kind is None:
        return None
    read_only = work.scope is Scope.BEGIN_READ_ONLY
    return Command(kind, floor=work.floor if read_only else None)


def statement_command(connection: ServerConnection, work: Work) -> Command:
    """Return the command for the statement itself."""
    name, floor = "", None
    if work.kind is WorkKind.EXECUTE:
        name = connection.prepared[(work.shape_writes, work.shape)]
    if work.scope is Scope.ALONE and not writes_data(work):
        floor = work.floor
    return Command(
        _STATEMENT_COMMANDS[work.kind], work.text, name, work.request_id, floor
    )


def requires_leader(work: Work) -> bool:
    """Whether work fails if the server stops leading before the work ends."""
    if work.scope is Scope.BEGIN or work.kind is WorkKind.COMMIT:
        return True
    return work.scope is Scope.ALONE and writes_data(work)


def writes_data(work: Work) -> bool:
    """Whether work writes."""
    return work.kind is WorkKind.WRITE or work.shape_writes
