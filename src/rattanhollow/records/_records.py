"""Turning named tuples into the plain content of stored objects, and back."""

import enum
import types
from typing import Any, TypeVar, get_args, get_origin, get_type_hints

T = TypeVar("T")


class RecordError(ValueError):
    """A stored object has not the shape that is expected of it."""


def to_spec(value: Any) -> Any:
    """Return ``value`` with named tuples as dicts, tuples as lists, enums as text."""
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return {key: to_spec(item) for key, item in value._asdict().items()}
    if isinstance(value, list | tuple):
        return [to_spec(item) for item in value]
    if isinstance(value, dict):
        return {key: to_spec(item) for key, item in value.items()}
    if isinstance(value, enum.Enum):
        return value.value
    return value


def from_spec(record: type[T], value: Any) -> T:
    """Return a ``record`` read from a stored object.

    Unknown fields are ignored, so that an older program reads what a newer one
    wrote; missing fields take their default.

    Raises:
        RecordError: a field is missing or has another type.

    """
    return _read(record, value, record.__name__)


def _read(wanted: Any, value: Any, place: str) -> Any:
    if hasattr(wanted, "_fields"):
        return _read_named_tuple(wanted, value, place)
    origin = get_origin(wanted)
    if origin is tuple:
        return tuple(_read_items(get_args(wanted)[0], value, place))
    if origin is list:
        return _read_items(get_args(wanted)[0], value, place)
    if origin is dict:
        _expect(dict, value, place)
        item = get_args(wanted)[1]
        return {key: _read(item, part, f"{place}.{key}") for key, part in value.items()}
    if isinstance(wanted, enum.EnumMeta):
        try:
            return wanted(value)
        except (ValueError, TypeError):
            raise RecordError(f"{place}: unknown value") from None
    if isinstance(wanted, types.UnionType):
        return None if value is None else _read(get_args(wanted)[0], value, place)
    if wanted is float and isinstance(value, int):
        return float(value)
    return _expect(wanted, value, place)


def _read_named_tuple(wanted: Any, value: Any, place: str) -> Any:
    _expect(dict, value, place)
    hints = get_type_hints(wanted)
    found = {}
    for field in wanted._fields:
        if field in value:
            found[field] = _read(hints[field], value[field], f"{place}.{field}")
        elif field not in wanted._field_defaults:
            raise RecordError(f"{place}: {field} is missing")
    return wanted(**found)


def _read_items(item: Any, value: Any, place: str) -> list[Any]:
    _expect(list, value, place)
    return [_read(item, part, f"{place}[{i}]") for i, part in enumerate(value)]


def _expect(wanted: Any, value: Any, place: str) -> Any:
    if not isinstance(value, wanted) or (wanted is int and isinstance(value, bool)):
        found = type(value).__name__
        raise RecordError(f"{place}: expected {wanted.__name__}, got {found}")
    return value
