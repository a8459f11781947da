"""What the rest of the system needs of the platform's object store."""

import enum
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any, NamedTuple

from result import Result

from rattanhollow.store._revision import Revision


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
    """One object: ``version`` is the store's revision of its last change.

    ``fault`` says why its content can't be read, empty if it can; ``spec`` is empty
    then.
    """

    kind: str
    name: str
    version: Revision
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

    version: Revision
    items: list[Stored]


class ObjectStore(NamedTuple):
    """The functions of the store; none raises, a failure is an ``Err``.

    ``get(kind, name)``; ``list(kind)``; ``list_lagging(kind)`` may be seconds
    old, and costs less where the store can do that; ``put(kind, name, spec, version)``
    creates at `NO_REVISION` and otherwise replaces exactly that version;
    ``delete(kind, name, version)``; ``watch(kind, version)`` yields events
    after ``version`` and ends when the watch does. ``changes_since(kind, version)``
    returns at once what a watch would yield, with a bookmark at the end; None where
    the store has no such call. ``era()`` is the newest era in which the store has
    answered, 0 where it has none. A change that the store has made on a condition of
    an earlier era is a conflict: the object was another one.
    """

    get: Callable[[str, str], Awaitable[Result[Stored, StoreFailure]]]
    list: Callable[[str], Awaitable[Result[Listing, StoreFailure]]]
    list_lagging: Callable[[str], Awaitable[Result[Listing, StoreFailure]]]
    put: Callable[
        [str, str, dict[str, Any], Revision], Awaitable[Result[Stored, StoreFailure]]
    ]
    delete: Callable[[str, str, Revision], Awaitable[Result[None, StoreFailure]]]
    watch: Callable[[str, Revision], AsyncIterator[Result[Event, StoreFailure]]]
    changes_since: (
        Callable[[str, Revision], Awaitable[Result[Sequence[Event], StoreFailure]]]
        | None
    ) = None
    era: Callable[[], int] = lambda: 0
