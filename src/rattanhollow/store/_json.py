"""Decoding what other writers left in a store, one unreadable part at a time.

Stored objects go on to other hosts and into logs. A part that can't be decoded, or
that could not be passed on, makes its own object unreadable and no other.
"""

import re
from typing import Any, NamedTuple

import msgspec

# A list holds objects, which hold the parts that are decoded one by one; the events
# of a watch have one level more.
_LEVELS = 4
# Messages between hosts hold integers of 64 bits.
_LOWEST_INTEGER = -(2**63)
_HIGHEST_INTEGER = 2**64 - 1
_DEEPEST_NESTING = 32
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},]', re.DOTALL)
_KEY = re.compile(rb'\s*("[^"\\]*(?:\\.[^"\\]*)*")\s*:', re.DOTALL)


class Unreadable(NamedTuple):
    """Stands for a part that can't be decoded."""

    reason: str


def decode_json(data: bytes) -> Any:
    """Return decoded JSON, with an `Unreadable` for each part that is none."""
    return _decode(data, _LEVELS)


def fault_of(value: Any) -> str:
    """Return why decoded JSON can't be used or passed on, empty if it can."""
    return _fault_of(value, 0)


def _decode(data: bytes, levels: int) -> Any:
    try:
        return msgspec.json.decode(data)
    except (ValueError, RecursionError) as error:
        reason = str(error)
    if levels == 0:
        return Unreadable(reason)
    try:
        if data.lstrip().startswith(b"{"):
            return {
                key: _decode(value, levels - 1)
                for key, value in map(_split_member, _split(data))
            }
        return [_decode(item, levels - 1) for item in _split(data)]
    except ValueError:
        return Unreadable(reason)


def _split(data: bytes) -> list[bytes]:
    """Return the members of an array or object, undecoded.

    Raises:
        ValueError: the data is no array or object with at least one member.

    """
    members: list[bytes] = []
    depth = start = 0
    for token in _TOKEN.finditer(data):
        if token[0] in (b"[", b"{"):
            depth += 1
            start = token.end() if depth == 1 else start
        elif token[0] in (b"]", b"}"):
            depth -= 1
            if depth == 0:
                return [*members, data[start : token.start()]]
        elif token[0] == b"," and depth == 1:
            members.append(data[start : token.start()])
            start = token.end()
    raise ValueError("no whole array or object")


def _split_member(member: bytes) -> tuple[str, bytes]:
    """Return the key and the undecoded value of an object's member.

    Raises:
        ValueError: there is no key, or none that can be decoded.

    """
    key = _KEY.match(member)
    if key is None:
        raise ValueError("a member without a key")
    return msgspec.json.decode(key[1], type=str), member[key.end() :]


def _fault_of(value: Any, depth: int) -> str:
    if isinstance(value, Unreadable):
        return value.reason
    if isinstance(value, int):
        fits = _LOWEST_INTEGER <= value <= _HIGHEST_INTEGER
        return "" if fits else "an integer of more than 64 bits"
    if not isinstance(value, list | dict):
        return ""
    if depth == _DEEPEST_NESTING:
        return f"nested deeper than {_DEEPEST_NESTING} levels"
    parts = value.values() if isinstance(value, dict) else value
    faults = (_fault_of(part, depth + 1) for part in parts)
    return next((fault for fault in faults if fault), "")
