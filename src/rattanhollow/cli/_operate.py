"""The commands of operators: check, apply, status, audit, keys."""

import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NoReturn

import trio

from rattanhollow.configuration import (
    AUDIT_KIND,
    NoteError,
    ReleaseNote,
    apply_note,
    current_configuration,
    difference,
    digest_of,
    merge,
    new_key,
    read_note,
)
from rattanhollow.coordination import GROUP_KIND
from rattanhollow.settings import OperatorSettings, read_file, read_operator_settings
from rattanhollow.store import Listing, ObjectStore, http_store

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
HOST_KIND = "hosts"
REPORT_KIND = "reports"


def check(settings_file: Path, note_file: Path) -> None:
    """Print what a note would change; exits with 2 where it can't be applied."""
    settings = read_operator_settings(settings_file)
    note = _read(note_file)
    store = _store(settings)
    current = _run(current_configuration, store)
    if current.is_err():
        _stop(f"the store failed: {current.unwrap_err()}", EXIT_FAILED)
    try:
        merged = merge(note, current.unwrap())
    except NoteError as error:
        _stop(str(error), EXIT_BAD_INPUT)
    for line in difference(current.unwrap(), merged):
        print(line)
    print(f"would become version {merged.version}; nothing was changed")


def apply(settings_file: Path, note_file: Path) -> None:
    """Bring a note into force; exits with 2 where it is refused."""
    settings = read_operator_settings(settings_file)
    note = _read(note_file)
    applied = _run(apply_note, _store(settings), note, settings.operator)
    if applied.is_err():
        _stop(applied.unwrap_err(), EXIT_BAD_INPUT)
    outcome = applied.unwrap()
    if outcome.repeated:
        print(f"already accepted; the newest version is {outcome.version}")
        return
    for line in outcome.difference:
        print(line)
    print(f"accepted as version {outcome.version}")


def status(settings_file: Path) -> None:
    """Print the version in force at each host, and each database's primary."""
    store = _store(read_operator_settings(settings_file))
    current = _run(current_configuration, store)
    if current.is_err():
        _stop(f"the store failed: {current.unwrap_err()}", EXIT_FAILED)
    newest = current.unwrap().version
    print(f"configuration version={newest}")
    versions = {
        item.name: item.spec.get("configuration_version", 0)
        for item in _list(store, REPORT_KIND).items
    }
    for item in _list(store, HOST_KIND).items:
        version = versions.get(item.name, 0)
        behind = "" if version == newest else " behind=yes"
        state = "leaving" if item.spec.get("leaving") else "ready"
        zone = item.spec.get("zone")
        print(
            f"host name={item.name} zone={zone} state={state} version={version}{behind}"
        )
    for item in _list(store, GROUP_KIND).items:
        primary, term = item.spec.get("primary"), item.spec.get("term")
        print(f"database name={item.name} primary={primary} term={term}")


def audit(settings_file: Path) -> None:
    """Print the audit trail, one line for each attempt."""
    store = _store(read_operator_settings(settings_file))
    for item in sorted(_list(store, AUDIT_KIND).items, key=lambda item: item.name):
        spec = item.spec
        head = ("when", "operator", "note", "base", "outcome", "detail")
        print(" ".join(f"{key}={spec.get(key)!r}" for key in head))
        for line in spec.get("changes", []):
            print(f"  {line}")


def new_key_section(name: str) -> None:
    """Print a new key, and the section that adds it to a release note."""
    if name.count("/") != 1:
        _stop(f"{name!r} is not organisation/key", EXIT_BAD_INPUT)
    key = new_key()
    print(f"# the key, shown only now: {key}")
    print(f"[add key {name}]")
    print(f"digest = {digest_of(key)}")


def _read(file: Path) -> ReleaseNote:
    try:
        return read_note(str(file), read_file(file))
    except NoteError as error:
        _stop(str(error), EXIT_BAD_INPUT)


def _store(settings: OperatorSettings) -> ObjectStore:
    return http_store(settings.store.url, settings.store.timeout_ms)


def _list(store: ObjectStore, kind: str) -> Listing:
    listed = _run(store.list, kind)
    if listed.is_err():
        _stop(f"the store failed: {listed.unwrap_err()}", EXIT_FAILED)
    return listed.unwrap()


def _run(function: Callable[..., Awaitable[Any]], *arguments: Any) -> Any:
    return trio.run(function, *arguments)


def _stop(reason: str, code: int) -> NoReturn:
    print(reason, file=sys.stderr)
    raise SystemExit(code)
