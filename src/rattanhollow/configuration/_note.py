"""Release notes: what operators add, change and withdraw."""

import configparser
import ipaddress
import re
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from rattanhollow.configuration._model import (
    Configuration,
    Database,
    Key,
    Member,
    Organisation,
    Scope,
)

NOTES_REMEMBERED = 200
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9_-]{0,62}")
DIGEST_PATTERN = re.compile(r"sha256:[0-9a-f]{64}")
MEMBER_PATTERN = re.compile(
    r"(?P<name>[a-z0-9-]+)=(?P<address>[0-9a-f.:]+):(?P<port>\d+)@(?P<zone>\S+)"
)
VERBS = ("add", "change", "withdraw")
HIGHEST_AGE_MS = 86_400_000
HIGHEST_RATE = 10_000_000


class NoteError(Exception):
    """A note that can't be used: file, section, key and reason."""

    def __init__(self, file: str, section: str, key: str, reason: str) -> None:
        self.reason = reason
        super().__init__(f"{file}: [{section}] {key}: {reason}")


class Change(NamedTuple):
    """One section of a note."""

    section: str
    verb: str
    thing: str
    name: str
    values: dict[str, str]


class ReleaseNote(NamedTuple):
    """A note: its identifier, the version it was written against, its changes."""

    file: str
    id: str
    base: int
    operator: str
    changes: tuple[Change, ...]


def read_note(file: str, content: str) -> ReleaseNote:
    """Read a note from INI text.

    Raises:
        NoteError: it is no INI, or an entry is unknown, missing or bad.

    """
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(content, source=file)
    except configparser.Error as error:
        reason = str(error).replace("\n", " ")
        raise NoteError(file, "-", "-", reason) from None
    if not parser.has_section("note"):
        raise NoteError(file, "note", "-", "missing section")
    head = dict(parser["note"])
    for key in ("id", "base", "operator"):
        if not head.get(key):
            raise NoteError(file, "note", key, "missing")
    for key in head:
        if key not in ("id", "base", "operator"):
            raise NoteError(file, "note", key, "unknown key")
    if not head["base"].isdigit():
        raise NoteError(file, "note", "base", "not a version number")
    names = [name for name in parser.sections() if name != "note"]
    changes = tuple(_change(file, name, dict(parser[name])) for name in names)
    if not changes:
        raise NoteError(file, "note", "-", "it changes nothing")
    return ReleaseNote(file, head["id"], int(head["base"]), head["operator"], changes)


def _change(file: str, section: str, values: dict[str, str]) -> Change:
    words = section.split()
    if len(words) != 3 or words[0] not in VERBS or words[1] not in _HANDLERS:
        reason = (
            "expected: add, change or withdraw; organisation, key or database; name"
        )
        raise NoteError(file, section, "-", reason)
    verb, thing, name = words
    for part in name.split("/"):
        if not NAME_PATTERN.fullmatch(part):
            raise NoteError(file, section, "-", f"{part!r} is not a usable name")
    if verb == "withdraw" and values:
        raise NoteError(file, section, next(iter(values)), "unknown key")
    return Change(section, verb, thing, name, values)


def merge(note: ReleaseNote, base: Configuration) -> Configuration:
    """Return ``base`` with the note's changes made, at the next version.

    Raises:
        NoteError: a change does not fit; nothing of the note applies then.

    """
    if note.base != base.version:
        reason = f"written against version {note.base}, the newest is {base.version}"
        raise NoteError(note.file, "note", "base", reason)
    merged = base
    for change in note.changes:
        merged = _HANDLERS[change.thing](note.file, change, merged)
    notes = (*base.notes, note.id)[-NOTES_REMEMBERED:]
    return merged._replace(version=base.version + 1, notes=notes)


def difference(before: Configuration, after: Configuration) -> list[str]:
    """Return one line for each thing that differs, sorted."""
    lines = []
    for thing in ("organisations", "databases"):
        old, new = getattr(before, thing), getattr(after, thing)
        for name in sorted(old.keys() | new.keys()):
            if old.get(name) != new.get(name):
                lines.append(f"{thing[:-1]} {name}: {old.get(name)} -> {new.get(name)}")
    return lines


def _organisation(file: str, change: Change, base: Configuration) -> Configuration:
    known = _expect(file, change, base.organisations)
    organisations = dict(base.organisations)
    if change.verb == "withdraw":
        del organisations[change.name]
        return base._replace(organisations=organisations)
    values = _values(file, change, ORGANISATION_READERS)
    start = known or Organisation(change.name)
    changed = start._replace(**values)
    if changed.rate_per_s and not changed.burst:
        raise NoteError(file, change.section, "burst", "a rate needs a burst")
    organisations[change.name] = changed
    return base._replace(organisations=organisations)


def _number(value: str) -> int:
    if not value.isdigit() or int(value) > HIGHEST_RATE:
        raise ValueError(f"{value!r} is not between 0 and {HIGHEST_RATE}")
    return int(value)


def _key(file: str, change: Change, base: Configuration) -> Configuration:
    owner_name, separator, key_name = change.name.partition("/")
    if not separator:
        raise NoteError(file, change.section, "-", "expected organisation/key")
    owner = base.organisations.get(owner_name)
    if owner is None:
        raise NoteError(file, change.section, "-", f"no organisation {owner_name}")
    keys = {key.name: key for key in owner.keys}
    _expect(file, change._replace(name=key_name), keys)
    if change.verb == "withdraw":
        del keys[key_name]
    else:
        values = _values(file, change, {"digest": _digest}, required=("digest",))
        keys[key_name] = Key(key_name, values["digest"])
    organisations = dict(base.organisations)
    organisations[owner_name] = owner._replace(keys=tuple(keys.values()))
    return base._replace(organisations=organisations)


def _database(file: str, change: Change, base: Configuration) -> Configuration:
    known = _expect(file, change, base.databases)
    databases = dict(base.databases)
    if change.verb == "withdraw":
        del databases[change.name]
        return base._replace(databases=databases)
    readers = {"members": parse_members, "copies": _copies}
    required = () if known else ("members",)
    values = _values(file, change, readers, required)
    start = known or Database(change.name, ())
    changed = start._replace(**values)
    if changed.copies >= len(changed.members):
        raise NoteError(
            file, change.section, "copies", "must be below the number of members"
        )
    if known is not None:
        _check_overlap(file, change, known, changed)
    databases[change.name] = changed
    return base._replace(databases=databases)


def _check_overlap(
    file: str, change: Change, known: Database, changed: Database
) -> None:
    """Refuse to change so many members that acknowledged commits could be lost."""
    stay = {m.name for m in known.members} & {m.name for m in changed.members}
    needed = len(known.members) - known.copies
    if len(stay) < needed:
        reason = f"at least {needed} members must stay; change the others later"
        raise NoteError(file, change.section, "members", reason)


_HANDLERS: dict[str, Callable[[str, Change, Configuration], Configuration]] = {
    "organisation": _organisation,
    "key": _key,
    "database": _database,
}


def _expect(file: str, change: Change, known: dict[str, Any]) -> Any:
    if change.verb == "add" and change.name in known:
        raise NoteError(file, change.section, "-", "exists already")
    if change.verb != "add" and change.name not in known:
        raise NoteError(file, change.section, "-", "does not exist")
    return known.get(change.name)


def _values(
    file: str,
    change: Change,
    readers: Mapping[str, Callable[[str], Any]],
    required: tuple[str, ...] = (),
) -> dict[str, Any]:
    values = {}
    for key, value in change.values.items():
        if key not in readers:
            raise NoteError(file, change.section, key, "unknown key")
        try:
            values[key] = readers[key](value)
        except ValueError as error:
            raise NoteError(file, change.section, key, str(error)) from None
    for key in required:
        if key not in values:
            raise NoteError(file, change.section, key, "missing")
    return values


def _scope(value: str) -> Scope:
    try:
        return Scope(value)
    except ValueError:
        raise ValueError(f"{value!r} is neither organisation nor connection") from None


def _age_ms(value: str) -> int:
    if not value.isdigit() or int(value) > HIGHEST_AGE_MS:
        raise ValueError(f"{value!r} is not between 0 and {HIGHEST_AGE_MS}")
    return int(value)


def _digest(value: str) -> str:
    if not DIGEST_PATTERN.fullmatch(value):
        raise ValueError("expected sha256: and 64 hexadecimal digits")
    return value


def _copies(value: str) -> int:
    if not value.isdigit() or int(value) < 1:
        raise ValueError(f"{value!r} is not a number above 0")
    return int(value)


def parse_members(value: str) -> tuple[Member, ...]:
    """Read members: name=address:port@zone, separated by commas.

    Raises:
        ValueError: a part has another form, or stands twice.

    """
    members = tuple(_member(part.strip()) for part in value.split(","))
    names = {member.name for member in members}
    places = {(member.address, member.port) for member in members}
    if len(names) < len(members) or len(places) < len(members):
        raise ValueError("a name or an address stands twice")
    return members


def _member(part: str) -> Member:
    match = MEMBER_PATTERN.fullmatch(part)
    if match is None:
        raise ValueError(f"{part!r} is not name=address:port@zone")
    address = str(ipaddress.ip_address(match["address"]))
    port = int(match["port"])
    if not 1 <= port <= 65_535:
        raise ValueError(f"port {port} is out of range")
    return Member(match["name"], address, port, match["zone"])


ORGANISATION_READERS: dict[str, Callable[[str], Any]] = {
    "scope": _scope,
    "max_age_ms": _age_ms,
    "rate_per_s": _number,
    "burst": _number,
}
