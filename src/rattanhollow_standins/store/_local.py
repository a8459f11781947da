"""The stand-in store called directly, without HTTP, for tests of single parts."""

import copy
from collections.abc import AsyncIterator
from functools import partial
from typing import Any

import trio
from result import Err, Ok, Result

from rattanhollow.store import (
    NO_REVISION,
    EraMonitor,
    Event,
    EventType,
    Listing,
    ObjectStore,
    Revision,
    Stored,
    StoreFailure,
    Trouble,
    check_condition,
    check_events,
)
from rattanhollow_standins.store._objects import Entry, ObjectTable

TIMEOUT_S = 0.2
BOOKMARK_S = 0.5


def local_store(table: ObjectTable, timeout_s: float = TIMEOUT_S) -> ObjectStore:
    """Return ``table`` as a store; a call that a fault swallows ends in time."""
    monitor = EraMonitor()

    def hear(era: int) -> StoreFailure | None:
        return monitor.take(str(era) if era else None).err()

    async def gate(call: str, condition: Revision) -> StoreFailure | None:
        outdated = monitor.check(condition)
        if outdated is not None:
            return outdated
        table.count(call)
        delay_s = table.faults.delay_s
        if table.faults.down or delay_s >= timeout_s:
            await trio.sleep(timeout_s)
            return StoreFailure(Trouble.UNREACHABLE, "stand-in is down")
        await trio.sleep(delay_s)
        return None

    async def get(kind: str, name: str) -> Result[Stored, StoreFailure]:
        failure = await gate("get", NO_REVISION) or hear(table.era)
        if failure is not None:
            return Err(failure)
        entry = table.get(kind, name)
        if entry is None:
            return Err(StoreFailure(Trouble.NOT_FOUND, f"{kind}/{name}"))
        return Ok(_stored(kind, name, entry, table.era))

    async def list_kind(kind: str, call: str = "list") -> Result[Listing, StoreFailure]:
        failure = await gate(call, NO_REVISION) or hear(table.era)
        if failure is not None:
            return Err(failure)
        items = [
            _stored(kind, name, entry, table.era)
            for name, entry in table.items(kind).items()
        ]
        return Ok(Listing(Revision(table.version, table.era), items))

    async def put(
        kind: str, name: str, spec: dict[str, Any], version: Revision
    ) -> Result[Stored, StoreFailure]:
        late = table.faults.delay_s >= timeout_s and not table.faults.down
        failure = await gate("put", version)
        if failure is not None and not (
            late and failure.trouble is Trouble.UNREACHABLE
        ):
            return Err(failure)
        kept = copy.deepcopy(spec)
        era = table.era
        if version == NO_REVISION:
            entry = table.create(kind, name, kept)
        else:
            entry = table.replace(kind, name, kept, version.number)
        failure = failure or hear(era)
        if failure is not None:
            return Err(failure)
        if entry is None:
            return Err(StoreFailure(Trouble.CONFLICT, f"{kind}/{name}"))
        if table.faults.loses_answer(kind):
            await trio.sleep(timeout_s)
            return Err(StoreFailure(Trouble.UNREACHABLE, "answer lost"))
        failure = check_condition(version, era)
        if failure is not None:
            return Err(failure)
        return Ok(_stored(kind, name, entry, era))

    async def delete(
        kind: str, name: str, version: Revision
    ) -> Result[None, StoreFailure]:
        failure = await gate("delete", version) or hear(table.era)
        if failure is not None:
            return Err(failure)
        if table.delete(kind, name, version.number):
            failure = check_condition(version, table.era)
            return Ok(None) if failure is None else Err(failure)
        return Err(StoreFailure(Trouble.CONFLICT, f"{kind}/{name}"))

    async def watch(
        kind: str, version: Revision
    ) -> AsyncIterator[Result[Event, StoreFailure]]:
        outdated = monitor.check_watch(version)
        if outdated is not None:
            yield Err(outdated)
            return
        table.count("watch")
        number = version.number
        while True:
            if table.faults.down:
                yield Err(StoreFailure(Trouble.UNREACHABLE, "stand-in is down"))
                return
            failure = hear(table.era) or check_events(version, table.era)
            if failure is not None:
                yield Err(failure)
                return
            changes = table.since(kind, number)
            if changes is None:
                yield Err(StoreFailure(Trouble.GONE, str(version)))
                return
            for change in changes:
                number = change.version
                deleted = change.type == "DELETED"
                kind_of = EventType.DELETED if deleted else EventType.CHANGED
                entry = Entry(change.version, change.spec)
                yield Ok(Event(kind_of, _stored(kind, change.name, entry, version.era)))
            if changes:
                continue
            number = table.version
            with trio.move_on_after(BOOKMARK_S) as scope:
                await table.wait_for_change()
            if scope.cancelled_caught:
                mark = Stored(kind, "", Revision(number, version.era), {})
                yield Ok(Event(EventType.BOOKMARK, mark))

    async def changes_since(
        kind: str, version: Revision
    ) -> Result[list[Event], StoreFailure]:
        failure = await gate("look", NO_REVISION) or hear(table.era)
        failure = failure or check_events(version, table.era)
        changes = table.since(kind, version.number)
        if failure is not None:
            return Err(failure)
        if changes is None:
            return Err(StoreFailure(Trouble.GONE, str(version)))
        events = []
        for change in changes:
            deleted = change.type == "DELETED"
            event = EventType.DELETED if deleted else EventType.CHANGED
            entry = Entry(change.version, change.spec)
            events.append(Event(event, _stored(kind, change.name, entry, table.era)))
        mark = Stored(kind, "", Revision(table.version, table.era), {})
        return Ok([*events, Event(EventType.BOOKMARK, mark)])

    list_lagging = partial(list_kind, call="list lagging")
    return ObjectStore(
        get,
        list_kind,
        list_lagging,
        put,
        delete,
        watch,
        changes_since,
        lambda: monitor.era,
    )


def _stored(kind: str, name: str, entry: Entry, era: int) -> Stored:
    return Stored(kind, name, Revision(entry.version, era), copy.deepcopy(entry.spec))
