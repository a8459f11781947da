"""Bringing a release note into force, and the audit trail of doing so."""

from datetime import UTC, datetime
from typing import Any, NamedTuple

from result import Err, Ok, Result

from rattanhollow.configuration._model import (
    EMPTY,
    Configuration,
    configuration_from_spec,
    spec_of,
)
from rattanhollow.configuration._note import NoteError, ReleaseNote, difference, merge
from rattanhollow.store import NO_REVISION, ObjectStore, StoreFailure, update

CONFIGURATION_KIND = "configurations"
CONFIGURATION_NAME = "current"
AUDIT_KIND = "audits"


class Outcome(NamedTuple):
    """What became of a note; ``repeated`` where it was in force already."""

    version: int
    repeated: bool
    difference: tuple[str, ...]


async def apply_note(
    store: ObjectStore, note: ReleaseNote, operator: str
) -> Result[Outcome, str]:
    """Apply ``note`` by one conditional update, and write its audit record.

    The identifier makes it idempotent: a note whose answer was lost is found
    in force when it is applied again. A refusal changes nothing.
    """
    lines: list[str] = []
    first_look = True
    found_at_first = False

    def change(spec: dict[str, Any] | None) -> Result[dict[str, Any] | None, str]:
        nonlocal first_look, found_at_first
        current = configuration_from_spec(spec) if spec else EMPTY
        if note.id in current.notes:
            found_at_first = first_look
            return Ok(None)
        first_look = False
        try:
            merged = merge(note, current)
        except NoteError as error:
            return Err(str(error))
        lines[:] = difference(current, merged)
        return Ok(spec_of(merged))

    written = await update(store, CONFIGURATION_KIND, CONFIGURATION_NAME, change)
    if written.is_err():
        await _record(store, note, operator, lines, "refused", written.unwrap_err())
        return Err(_reason(written.unwrap_err()))
    stored = written.unwrap()
    assert stored is not None
    version = configuration_from_spec(stored.spec).version
    if not found_at_first:
        await _record(store, note, operator, lines, "accepted", f"version {version}")
    return Ok(Outcome(version, found_at_first, tuple(lines)))


async def current_configuration(
    store: ObjectStore,
) -> Result[Configuration, StoreFailure]:
    """Return the newest configuration; an empty one where none was written."""
    listed = await store.list(CONFIGURATION_KIND)
    return listed.map(
        lambda listing: next(
            (
                configuration_from_spec(item.spec)
                for item in listing.items
                if item.name == CONFIGURATION_NAME
            ),
            EMPTY,
        )
    )


def _reason(failure: StoreFailure | str) -> str:
    if isinstance(failure, str):
        return failure
    return f"the store failed: {failure.trouble.value} ({failure.detail})"


async def _record(
    store: ObjectStore,
    note: ReleaseNote,
    operator: str,
    lines: list[str],
    outcome: str,
    detail: StoreFailure | str,
) -> None:
    when = datetime.now(UTC).isoformat(timespec="milliseconds")
    spec = {
        "when": when,
        "operator": operator,
        "note": note.id,
        "base": note.base,
        "changes": lines,
        "outcome": outcome,
        "detail": _reason(detail),
    }
    name = f"{when}-{note.id}".lower().replace(":", "-").replace("+", "-")
    await store.put(AUDIT_KIND, name, spec, NO_REVISION)
