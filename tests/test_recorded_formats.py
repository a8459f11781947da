"""Peer messages and stored records keep the format of earlier builds.

``recorded_formats.json`` holds what the build at 11a1c23 wrote, and, for a message
that is newer, the first build that had it. A stored field that is renamed, or a message
whose fields change in number or type, would be misread by hosts of the other build
during a rolling update. Where a stored record has gained a field, ``earlier_records``
holds what was written without it.
"""

import enum
import itertools
import json
import types
from pathlib import Path
from typing import Any, get_args, get_origin, get_type_hints

import pytest

from rattanhollow.configuration import Configuration
from rattanhollow.coordination import GroupState
from rattanhollow.coordination._lease import LeaseRecord
from rattanhollow.membership import HostRecord
from rattanhollow.membership._hosts import HostReport
from rattanhollow.peer._messages import MESSAGE_TYPES, decode, encode
from rattanhollow.records import from_spec, to_spec
from rattanhollow.succession._record import SuccessionRecord

RECORDED = json.loads(
    Path(__file__).with_name("recorded_formats.json").read_text("utf-8")
)
RECORD_TYPES: dict[str, Any] = {
    "configuration": Configuration,
    "group": GroupState,
    "host": HostRecord,
    "lease": LeaseRecord,
    "report": HostReport,
    "succession": SuccessionRecord,
}
# Variants of each sample, so that every member of the largest enum is written.
VARIANTS = 18


def sample(wanted: Any, variant: int) -> Any:
    """Return a value of a type; no two neighbouring scalars of it are equal."""
    numbers = itertools.count(1)

    def value(wanted: Any) -> Any:
        if hasattr(wanted, "_fields"):
            hints = get_type_hints(wanted)
            return wanted(*(value(hints[field]) for field in wanted._fields))
        if isinstance(wanted, types.UnionType):
            return value(get_args(wanted)[0]) if variant % 2 else None
        if get_origin(wanted) in (tuple, list):
            items = [item for item in get_args(wanted) if item is not Ellipsis]
            return get_origin(wanted)(value(item) for item in items)
        if get_origin(wanted) is dict:
            return {"k": value(get_args(wanted)[1])}
        number = next(numbers)
        if isinstance(wanted, enum.EnumMeta):
            members = list(wanted)
            return members[(variant + number) % len(members)]
        if wanted is bool:
            return bool((variant + number) % 2)
        texts = {str: f"s{number}", Any: f"any-{number}", bytes: b"b%d" % number}
        return texts[wanted] if wanted in texts else wanted(number)

    return value(wanted)


@pytest.mark.parametrize("name", sorted(MESSAGE_TYPES))
def test_a_message_is_written_and_read_as_recorded(name: str) -> None:
    """Hosts of two builds exchange every message during a rolling update."""
    for variant, recorded in enumerate(RECORDED["messages"][name]):
        message = sample(MESSAGE_TYPES[name], variant)
        assert encode(variant, message).hex() == recorded
        assert decode(bytes.fromhex(recorded)) == (variant, message)


@pytest.mark.parametrize("name", sorted(RECORD_TYPES))
def test_a_record_is_written_and_read_as_recorded(name: str) -> None:
    """A new build reads what an old one stored, field by field, and the reverse."""
    for variant, recorded in enumerate(RECORDED["records"][name]):
        record = sample(RECORD_TYPES[name], variant)
        assert to_spec(record) == recorded
        assert from_spec(RECORD_TYPES[name], recorded) == record


@pytest.mark.parametrize("name", sorted(RECORDED["earlier_records"]))
def test_a_record_without_a_later_field_is_read(name: str) -> None:
    """What an earlier build stored differs only in fields that have a default.

    The name of the record's type may be followed by the build.
    """
    record_type = RECORD_TYPES[name.partition(" ")[0]]
    defaults = record_type._field_defaults
    earlier_records = RECORDED["earlier_records"][name]
    assert len(earlier_records) == VARIANTS
    for variant, recorded in enumerate(earlier_records):
        record = sample(record_type, variant)
        added = set(record_type._fields) - set(recorded)
        assert added and added <= set(defaults)
        expected = record._replace(**{field: defaults[field] for field in added})
        assert from_spec(record_type, recorded) == expected
        assert {**to_spec(record), **recorded} == to_spec(record)


def test_every_recorded_format_is_checked() -> None:
    """A message or record that is no longer known would not be noticed above."""
    assert set(RECORDED["messages"]) == set(MESSAGE_TYPES)
    assert set(RECORDED["records"]) == set(RECORD_TYPES)
    formats = [*RECORDED["messages"].values(), *RECORDED["records"].values()]
    assert {len(variants) for variants in formats} == {VARIANTS}
