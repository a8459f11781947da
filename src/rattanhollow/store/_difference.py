"""Differences between two versions of one large object.

A configuration of 1,500 routes has 300 KB, and a change of one route has 300 bytes.
Contents are JSON values.
"""

import hashlib
import zlib
from collections.abc import Sequence
from typing import Any, NamedTuple

import msgspec

from rattanhollow.store._revision import Revision

# An object from this size on travels as differences, and its copies in pieces. A
# smaller one takes less than 14 ms of a link of 10 Mbit/s, and travels whole.
LARGE_OBJECT_BYTES = 16 * 1024
# Below this size the header that zlib adds outweighs what it saves.
COMPRESSED_FROM_BYTES = 128
# Higher levels take up to ten times as long and save a tenth of the bytes.
COMPRESSION_LEVEL = 3
# Bounds what a damaged or hostile message can make a host decompress: 20,000 routes
# take 4 MB.
LARGEST_CONTENT_BYTES = 32 << 20

# The first element of a difference, and of each part of a list's difference.
_REPLACED, _EDITED, _LIST = 0, 1, 2
_KEPT, _NEW = 0, 1

_ENCODER = msgspec.msgpack.Encoder(order="deterministic")


class Step(NamedTuple):
    """What turns version ``base_version`` of an object into ``version``.

    ``digest`` is that of the resulting content.
    """

    name: str
    base_version: Revision
    version: Revision
    digest: int
    content: bytes


class Unfit(ValueError):
    """A difference that can't be applied to this base, or no difference at all."""


def encode_content(content: Any) -> bytes:
    """Return an encoding that is equal for equal contents."""
    return _ENCODER.encode(content)


def digest_bytes(data: bytes) -> int:
    """Return a digest of 64 bits."""
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


def compress(data: bytes) -> bytes:
    """Return data compressed where that makes it smaller, behind a byte that says so.

    The result is the same at every host with the same build of zlib.
    """
    if len(data) >= COMPRESSED_FROM_BYTES:
        packed = zlib.compress(data, COMPRESSION_LEVEL)
        if len(packed) < len(data):
            return b"z" + packed
    return b"-" + data


def decompress(data: bytes) -> bytes:
    """Return what `compress` was given.

    Raises:
        Unfit: the data are damaged, or too large decompressed.

    """
    if data[:1] == b"-":
        return data[1:]
    unpacker = zlib.decompressobj()
    try:
        found = unpacker.decompress(data[1:], LARGEST_CONTENT_BYTES)
    except zlib.error as error:
        raise Unfit(str(error)) from None
    if data[:1] != b"z" or not unpacker.eof:
        raise Unfit("damaged, or too large")
    return found


def make_step(
    name: str,
    base: tuple[Revision, dict[str, Any]],
    result: tuple[Revision, dict[str, Any]],
) -> Step:
    """Return the step between two versions, each with its content."""
    digest = digest_bytes(encode_content(result[1]))

    def step(difference: list[Any]) -> Step:
        content = compress(encode_content(difference))
        return Step(name, base[0], result[0], digest, content)

    found = step(_difference(base[1], result[1]))
    try:
        apply_steps(base[1], [found])
    except Unfit:
        # Python holds 1, 1.0 and True to be equal, and they are encoded differently.
        return step([_REPLACED, result[1]])
    return found


def apply_steps(content: dict[str, Any], steps: Sequence[Step]) -> dict[str, Any]:
    """Return the content behind successive steps; the given one stays as it is.

    Raises:
        Unfit: the result is another one than the last step names.

    """
    result: Any = content
    try:
        for step in steps:
            result = _apply(result, msgspec.msgpack.decode(decompress(step.content)))
    except (
        ValueError,
        TypeError,
        LookupError,
        AttributeError,
        RecursionError,
    ) as error:
        raise Unfit(str(error)) from None
    if not isinstance(result, dict):
        raise Unfit("the result is no object")
    if steps and digest_bytes(encode_content(result)) != steps[-1].digest:
        raise Unfit("the result has another digest")
    return result


def _difference(base: Any, result: Any) -> list[Any]:
    if isinstance(base, dict) and isinstance(result, dict):
        edits = {}
        for key, value in result.items():
            if key not in base:
                edits[key] = [_REPLACED, value]
            elif base[key] != value:
                edits[key] = _difference(base[key], value)
        return [_EDITED, edits, [key for key in base if key not in result]]
    if isinstance(base, list) and isinstance(result, list):
        return [_LIST, _list_parts(base, result)]
    return [_REPLACED, result]


def _list_parts(base: list[Any], result: list[Any]) -> list[list[Any]]:
    """Return ranges of the base and new items that together give the result."""
    shorter = min(len(base), len(result))
    start = 0
    while start < shorter and base[start] == result[start]:
        start += 1
    end = 0
    while end < shorter - start and base[-1 - end] == result[-1 - end]:
        end += 1
    middle = base[start : len(base) - end], result[start : len(result) - end]
    parts = [[_KEPT, 0, start]] if start else []
    for part in _middle_parts(*middle):
        parts.append([_KEPT, part[1] + start, part[2]] if part[0] == _KEPT else part)
    return [*parts, [_KEPT, len(base) - end, end]] if end else parts


def _middle_parts(base: list[Any], result: list[Any]) -> list[list[Any]]:
    positions: dict[bytes, int] = {}
    encoded_base = [encode_content(item) for item in base]
    for position, encoded in enumerate(encoded_base):
        positions.setdefault(encoded, position)
    parts: list[list[Any]] = []
    following = 0
    for item in result:
        encoded = encode_content(item)
        # Items may repeat: the one behind the last range extends it.
        if following < len(base) and encoded_base[following] == encoded:
            found: int | None = following
        else:
            found = positions.get(encoded)
        if found is None:
            if not parts or parts[-1][0] != _NEW:
                parts.append([_NEW, []])
            parts[-1][1].append(item)
            # A changed item mostly replaces the one at its position.
            following += 1
        elif parts and parts[-1][0] == _KEPT and found == sum(parts[-1][1:]):
            parts[-1][2] += 1
            following = found + 1
        else:
            parts.append([_KEPT, found, 1])
            following = found + 1
    return parts


def _apply(base: Any, difference: list[Any]) -> Any:
    if difference[0] == _REPLACED:
        return difference[1]
    if difference[0] == _EDITED and isinstance(base, dict):
        result = {key: base[key] for key in base if key not in difference[2]}
        for key, edit in difference[1].items():
            result[key] = _apply(result.get(key), edit)
        return result
    if difference[0] == _LIST and isinstance(base, list):
        return _apply_parts(base, difference[1])
    raise Unfit("the base has another shape")


def _apply_parts(base: list[Any], parts: list[list[Any]]) -> list[Any]:
    result: list[Any] = []
    for part in parts:
        if part[0] == _NEW:
            result += part[1]
            continue
        _, first, count = part
        if not 0 <= first <= first + count <= len(base):
            raise Unfit("a range beyond the base")
        # Ranges may repeat, and so describe far more than a message holds.
        if len(result) + count > LARGEST_CONTENT_BYTES:
            raise Unfit("too many items")
        result += base[first : first + count]
    return result
