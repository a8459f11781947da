"""The stand-in store called directly, without HTTP, for tests of single parts."""

import copy
from collections.abc import AsyncIterator
from functools import partial
from typing import Any

import trio
from result import Err, Ok, Result

from rattanhollow.store import (
    Event,
    EventType,
    Listing,
    ObjectStore,
    Stored,
    StoreFailure,
    Trouble,
)
from rattanhollow_standins.store._objects import Entry, ObjectTable

TIMEOUT_S = 0.2
BOOKMARK_S = 0.5


def local_store(table: ObjectTable, timeout_s: float = TIMEOUT_S) -> ObjectStore:
    """Return ``table`` as a store; a call that a fault swallows ends in time."""

    async def gate(call: str) -> StoreFailure | None:
        table.count(call)
        delay_s = table.faults.delay_s
        if table.faults.down or delay_s >= timeout_s:
            await trio.sleep(timeout_s)
            return StoreFailure(Trouble.UNREACHABLE, "stand-in is down")
        await trio.sleep(delay_s)
        return None

    async def get(kind: str, name: str) -> Result[Stored, StoreFailure]:
        failure = await gate("get")
        if failure is not None:
            return Err(failure)
        entry = table.get(kind, name)
        if entry is None:
            return Err(StoreFailure(Trouble.NOT_FOUND, f"{kind}/{name}"))
        return Ok(_stored(kind, name, entry))

    async def list_kind(kind: str, call: str = "list") -> Result[Listing, StoreFailure]:
        failure = await gate(call)
        if failure is not None:
            return Err(failure)
        items = [_stored(kind, name, e) for name, e in table.items(kind).items()]
        return Ok(Listing(table.version, items))

    async def put(
        kind: str, name: str, spec: dict[str, Any], version: int
    ) -> Result[Stored, StoreFailure]:
        late = table.faults.delay_s >= timeout_s and not table.faults.down
        failure = await gate("put")
        if failure is not None and not late:
            return Err(failure)
        kept = copy.deepcopy(spec)
        if version == 0:
            entry = table.create(kind, name, kept)
        else:
            entry = table.replace(kind, name, kept, version)
        if failure is not None:
            return Err(failure)
        if entry is None:
            return Err(StoreFailure(Trouble.CONFLICT, f"{kind}/{name}"))
        if table.faults.loses_answer(kind):
            await trio.sleep(timeout_s)
            return Err(StoreFailure(Trouble.UNREACHABLE, "answer lost"))
        return Ok(_stored(kind, name, entry))

    async def delete(kind: str, name: str, version: int) -> Result[None, StoreFailure]:
        failure = await gate("delete")
        if failure is not None:
            return Err(failure)
        if table.delete(kind, name, version):
            return Ok(None)
        return Err(StoreFailure(Trouble.CONFLICT, f"{kind}/{name}"))

    async def watch(
        kind: str, version: int
    ) -> AsyncIterator[Result[Event, StoreFailure]]:
        table.count("watch")
        while True:
            if table.faults.down:
                yield Err(StoreFailure(Trouble.UNREACHABLE, "stand-in is down"))
                return
            changes = table.since(kind, version)
            if changes is None:
                yield Err(StoreFailure(Trouble.GONE, str(version)))
                return
            for change in changes:
                version = change.version
                deleted = change.type == "DELETED"
                kind_of = EventType.DELETED if deleted else EventType.CHANGED
                entry = Entry(change.version, change.spec)
                yield Ok(Event(kind_of, _stored(kind, change.name, entry)))
            if changes:
                continue
            version = table.version
            with trio.move_on_after(BOOKMARK_S) as scope:
                await table.wait_for_change()
            if scope.cancelled_caught:
                mark = Stored(kind, "", version, {})
                yield Ok(Event(EventType.BOOKMARK, mark))

    async def changes_since(
        kind: str, version: int
    ) -> Result[list[Event], StoreFailure]:
        failure = await gate("look")
        changes = table.since(kind, version)
        if failure is not None:
            return Err(failure)
        if changes is None:
            return Err(StoreFailure(Trouble.GONE, str(version)))
        events = []
        for change in changes:
            deleted = change.type == "DELETED"
            event = EventType.DELETED if deleted else EventType.CHANGED
            entry = Entry(change.version, change.spec)
            events.append(Event(event, _stored(kind, change.name, entry)))
        mark = Stored(kind, "", table.version, {})
        return Ok([*events, Event(EventType.BOOKMARK, mark)])

    list_lagging = partial(list_kind, call="list lagging")
    return ObjectStore(get, list_kind, list_lagging, put, delete, watch, changes_since)


def _stored(kind: str, name: str, entry: Entry) -> Stored:
    return Stored(kind, name, entry.version, copy.deepcopy(entry.spec))
