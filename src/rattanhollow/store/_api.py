"""What the rest of the system needs of the platform's object store."""

import enum
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any, NamedTuple

from result import Result


class Trouble(enum.Enum):
    """Why a call to the store failed."""

    NOT_FOUND = "not found"
    CONFLICT = "conflict"
    GONE = "version too old to watch from"
    REFUSED = "refused"
    TURNED_AWAY = "not done; the same call may succeed later"
    UNREACHABLE = "unreachable, or no answer in time"


class StoreFailure(NamedTuple):
    """A failed call. After ``UNREACHABLE`` a change may have taken effect."""

    trouble: Trouble
    detail: str


class Stored(NamedTuple):
    """One object: ``version`` is the store's, and rises with every change.

    ``fault`` says why its content can't be read, empty if it can; ``spec`` is empty
    then.
    """

    kind: str
    name: str
    version: int
    spec: dict[str, Any]
    fault: str = ""


class EventType(enum.Enum):
    """What a watch reports; a bookmark says only that the watch is alive."""

    CHANGED = "changed"
    DELETED = "deleted"
    BOOKMARK = "bookmark"


class Event(NamedTuple):
    """One report of a watch."""

    type: EventType
    item: Stored


class Listing(NamedTuple):
    """All objects of a kind, and the version to watch from."""

    version: int
    items: list[Stored]


class ObjectStore(NamedTuple):
    """The functions of the store; none raises, a failure is an ``Err``.

    ``get(kind, name)``; ``list(kind)``; ``list_lagging(kind)`` may be seconds
    old, and costs less where the store can do that; ``put(kind, name, spec, version)``
    creates at version 0 and otherwise replaces exactly that version;
    ``delete(kind, name, version)``; ``watch(kind, version)`` yields events
    after ``version`` and ends when the watch does. ``changes_since(kind, version)``
    returns at once what a watch would yield, with a bookmark at the end; None where
    the store has no such call.
    """

    get: Callable[[str, str], Awaitable[Result[Stored, StoreFailure]]]
    list: Callable[[str], Awaitable[Result[Listing, StoreFailure]]]
    list_lagging: Callable[[str], Awaitable[Result[Listing, StoreFailure]]]
    put: Callable[
        [str, str, dict[str, Any], int], Awaitable[Result[Stored, StoreFailure]]
    ]
    delete: Callable[[str, str, int], Awaitable[Result[None, StoreFailure]]]
    watch: Callable[[str, int], AsyncIterator[Result[Event, StoreFailure]]]
    changes_since: (
        Callable[[str, int], Awaitable[Result[Sequence[Event], StoreFailure]]] | None
    ) = None
