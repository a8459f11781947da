"""Requests that the proxy answers itself: its settings, and forgetting."""

from result import Err, Ok, Result

from rattanhollow.configuration import Scope
from rattanhollow.coordination import parse_position
from rattanhollow.pgwire import (
    command_complete,
    data_row,
    parameter_status,
    ready_for_query,
    row_description,
)
from rattanhollow.pgwire.kinds import BIND, CLOSE, DESCRIBE, EXECUTE, PARSE
from rattanhollow.proxy._batch import Batch
from rattanhollow.proxy._caller import TOKEN_SETTING, Caller
from rattanhollow.verdict import Refusal, not_run, sqlstates

OWN_PREFIX = "rattanhollow."
SCOPE_SETTING = "rattanhollow.scope"
AGE_SETTING = "rattanhollow.max_age_ms"
LARGEST_AGE_MS = 86_400_000

_SIMPLE_ANSWERS = {
    PARSE: b"1\0\0\0\4",
    BIND: b"2\0\0\0\4",
    CLOSE: b"3\0\0\0\4",
    DESCRIBE: b"n\0\0\0\4",
}


def set_own(caller: Caller, name: str, value: str) -> Result[None, Refusal]:
    """Make one setting: a token, the scope, or the age that reads may have."""
    if name not in (TOKEN_SETTING, SCOPE_SETTING, AGE_SETTING):
        return Err(not_run(f"no setting {name}", sqlstates.UNKNOWN_SETTING))
    try:
        _set(caller, name, value)
    except ValueError as error:
        return Err(not_run(f"{name}: {error}", sqlstates.BAD_VALUE))
    return Ok(None)


def _set(caller: Caller, name: str, value: str) -> None:
    if name == TOKEN_SETTING:
        caller.raise_floor(parse_position(value))
        caller.exact = True
    elif name == SCOPE_SETTING:
        caller.chosen_scope = Scope(value)
    else:
        age_ms = int(value)
        if not 0 <= age_ms <= LARGEST_AGE_MS:
            raise ValueError(f"{age_ms} is not between 0 and {LARGEST_AGE_MS}")
        caller.chosen_age_ms = age_ms


def run_set(caller: Caller, batch: Batch) -> Result[bytes, Refusal]:
    """Answer a SET of a setting of the proxy."""
    statement = batch.statement
    made = set_own(caller, statement.name, statement.value)
    if made.is_err():
        return Err(made.unwrap_err())
    report = parameter_status(statement.name, statement.value)
    return Ok(report + _wrapped(caller, batch, b"", command_complete("SET")))


def run_show(caller: Caller, batch: Batch) -> Result[bytes, Refusal]:
    """Answer a SHOW of a setting of the proxy."""
    name = batch.statement.name
    values = {
        TOKEN_SETTING: str(caller.floor),
        SCOPE_SETTING: caller.scope.value,
        AGE_SETTING: str(caller.max_age_ms),
    }
    if name not in values:
        return Err(not_run(f"no setting {name}", sqlstates.UNKNOWN_SETTING))
    rows = data_row([values[name].encode()]) + command_complete("SHOW")
    return Ok(_wrapped(caller, batch, row_description([name]), rows))


def run_deallocate(caller: Caller, batch: Batch) -> Result[bytes, Refusal]:
    """Forget a prepared statement, or all: servers know them by other names."""
    name = batch.statement.name.encode()
    if name:
        caller.statements.pop(name, None)
        return Ok(_wrapped(caller, batch, b"", command_complete("DEALLOCATE")))
    caller.statements.clear()
    return Ok(_wrapped(caller, batch, b"", command_complete("DEALLOCATE ALL")))


def run_discard(caller: Caller, batch: Batch) -> Result[bytes, Refusal]:
    """Forget all that the session left behind."""
    caller.settings.clear()
    caller.statements.clear()
    return Ok(_wrapped(caller, batch, b"", command_complete("DISCARD ALL")))


def _wrapped(caller: Caller, batch: Batch, description: bytes, rows: bytes) -> bytes:
    """Return the answer in the form that the batch asked for."""
    if batch.simple:
        return description + rows + ready_for_query(caller.status)
    parts = []
    for frame in batch.frames:
        if frame.kind == EXECUTE:
            parts.append(rows)
        elif frame.kind == DESCRIBE and description:
            if frame.payload[:1] == b"S":
                parts.append(b"t\0\0\0\6\0\0")
            parts.append(description)
        elif frame.kind == DESCRIBE and frame.payload[:1] == b"S":
            parts.append(b"t\0\0\0\6\0\0" + _SIMPLE_ANSWERS[DESCRIBE])
        else:
            parts.append(_SIMPLE_ANSWERS.get(frame.kind, b""))
    return b"".join(parts) + ready_for_query(caller.status)
