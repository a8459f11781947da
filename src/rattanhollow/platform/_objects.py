"""The platform's object store, as the store that the product knows."""

from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

import msgspec
from result import Err, Ok, Result

from rattanhollow.net import HttpAnswer, HttpClient
from rattanhollow.observe import log_event
from rattanhollow.platform._entries import SERVER_KIND
from rattanhollow.store import (
    ERA_HEADER,
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
    Unreadable,
    check_condition,
    check_events,
    decode_json,
    fault_of,
)

CALL_TIMEOUT_S = 1.5
# A list may be made again without harm, and a host that starts waits for it. A store
# that is a hundred times slower than usual answers in 0.4 s.
LIST_TIMEOUT_S = 0.7
# The page allows 30 s, and the store forgets what is older than 20 s: a longer
# wait ends without a version to go on from. What a silent watch misses is heard
# from other hosts.
WATCH_WAIT_MS = 15_000
# A watch that only looks whether there is anything; a server might take 0 for a wait
# of its own choice.
LOOK_WAIT_MS = 1
# Answers come in milliseconds, also at the end of a wait.
WATCH_ALLOWANCE_S = 2.0
# A database describes itself in a few hundred bytes; hosts pass all entries on in one
# message of limited size.
SERVER_ENTRY_BYTES_AT_MOST = 4_096

_TROUBLES = {404: Trouble.NOT_FOUND, 409: Trouble.CONFLICT, 410: Trouble.GONE}


class _Body(NamedTuple):
    """The decoded body of an answer, and the era in which the store gave it."""

    content: Any
    era: int


class _Page(NamedTuple):
    """A part of a list; ``last_name`` is where the next one begins."""

    items: list[Stored]
    more: bool
    last_name: str
    version: Revision


def object_store(
    client: HttpClient,
    called: Callable[[str, str], None] = lambda call, outcome: None,
    on_era_change: Callable[[], None] = lambda: None,
) -> ObjectStore:
    """Return the store that ``client`` calls; ``called`` hears of each call."""
    monitor = EraMonitor(on_era_change)

    async def call(
        method: str, path: str, body: Any = None, timeout_s: float = CALL_TIMEOUT_S
    ) -> Result[_Body, StoreFailure]:
        content = b"" if body is None else msgspec.json.encode(body)
        answered = await client.call(method, f"/objects/{path}", timeout_s, content)
        name = _name_of(method, path)
        called(name, "none" if answered.is_err() else str(answered.unwrap().status))
        if answered.is_err():
            return Err(StoreFailure(Trouble.UNREACHABLE, answered.unwrap_err()))
        answer = answered.unwrap()
        era = monitor.take(answer.headers.get(ERA_HEADER))
        if era.is_err():
            return Err(era.unwrap_err())
        return _decode(answer).map(lambda content: _Body(content, era.unwrap()))

    async def get(kind: str, name: str) -> Result[Stored, StoreFailure]:
        answer = await call("GET", f"{kind}/{quote(name)}")
        return answer.and_then(lambda body: _one(kind, body))

    async def list_kind(kind: str) -> Result[Listing, StoreFailure]:
        return await list_pages(kind, {})

    async def list_lagging(kind: str) -> Result[Listing, StoreFailure]:
        return await list_pages(kind, {"allow_stale": "1"})

    async def list_pages(
        kind: str, query: dict[str, str]
    ) -> Result[Listing, StoreFailure]:
        items: list[Stored] = []
        era: int | None = None
        while True:
            path = f"{kind}?{urlencode(query)}" if query else kind
            answer = await call("GET", path, timeout_s=LIST_TIMEOUT_S)
            page = answer.and_then(lambda body: _page(kind, body))
            if page.is_err():
                return Err(page.unwrap_err())
            found = page.unwrap()
            if era not in (None, found.version.era):
                detail = "a new era began between the pages of a list"
                return Err(StoreFailure(Trouble.UNREACHABLE, detail))
            era = found.version.era
            items += found.items
            if not (found.more and found.last_name):
                return Ok(Listing(found.version, items))
            query = {**query, "after": found.last_name}

    async def put(
        kind: str, name: str, spec: dict[str, Any], version: Revision
    ) -> Result[Stored, StoreFailure]:
        outdated = monitor.check(version)
        if outdated is not None:
            return Err(outdated)
        meta: dict[str, Any] = {"name": name}
        if version == NO_REVISION:
            answer = await call("POST", kind, {"meta": meta, "spec": spec})
        else:
            meta["revision"] = version.number
            body = {"meta": meta, "spec": spec}
            answer = await call("PUT", f"{kind}/{quote(name)}", body)
        done = answer.and_then(lambda body: _on_condition(version, body))
        return done.and_then(lambda body: _one(kind, body))

    async def delete(
        kind: str, name: str, version: Revision
    ) -> Result[None, StoreFailure]:
        outdated = monitor.check(version)
        if outdated is not None:
            return Err(outdated)
        answer = await call("DELETE", f"{kind}/{quote(name)}?revision={version.number}")
        done = answer.and_then(lambda body: _on_condition(version, body))
        return done.map(lambda _: None)

    async def watch(
        kind: str, version: Revision
    ) -> AsyncIterator[Result[Event, StoreFailure]]:
        outdated = monitor.check_watch(version)
        if outdated is not None:
            yield Err(outdated)
            return
        path = f"{kind}?watch={version.number}&wait_ms={WATCH_WAIT_MS}"
        timeout_s = WATCH_WAIT_MS / 1000 + WATCH_ALLOWANCE_S
        with monitor.watch() as scope:
            answer = await call("GET", path, timeout_s=timeout_s)
        if scope.cancelled_caught:
            yield Err(StoreFailure(Trouble.GONE, "a new era began"))
            return
        behind = answer.and_then(lambda body: _behind(version, body))
        events = behind.and_then(lambda body: _events(kind, body))
        if events.is_err():
            yield Err(events.unwrap_err())
            return
        for event in events.unwrap():
            yield Ok(event)

    async def changes_since(
        kind: str, version: Revision
    ) -> Result[list[Event], StoreFailure]:
        outdated = monitor.check_watch(version)
        if outdated is not None:
            return Err(outdated)
        path = f"{kind}?watch={version.number}&wait_ms={LOOK_WAIT_MS}"
        answer = await call("GET", path, timeout_s=LIST_TIMEOUT_S)
        behind = answer.and_then(lambda body: _behind(version, body))
        return behind.and_then(lambda body: _events(kind, body))

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


def _name_of(method: str, path: str) -> str:
    """Return what a call is counted as."""
    if "?watch=" in path:
        return "watch"
    return "lagging" if "allow_stale=" in path else method.lower()


def _decode(answer: HttpAnswer) -> Result[Any, StoreFailure]:
    if answer.status not in (200, 201):
        trouble = _TROUBLES.get(answer.status)
        if trouble is None:
            # 429 and 5xx: the call was not made; another one may be.
            retried = answer.status == 429 or answer.status >= 500
            trouble = Trouble.TURNED_AWAY if retried else Trouble.REFUSED
        detail = answer.body[:200].decode(errors="replace")
        return Err(StoreFailure(trouble, f"{answer.status} {detail}"))
    body = decode_json(answer.body) if answer.body else None
    if isinstance(body, Unreadable):
        return Err(StoreFailure(Trouble.UNREACHABLE, f"no JSON: {body.reason}"))
    return Ok(body)


def _stored(kind: str, body: Any, era: int) -> Stored:
    """Return an object; one whose content can't be read has a ``fault``.

    Raises:
        ValueError: it has no name or no version.

    """
    meta = _part(body, "meta")
    name, version = _part(meta, "name"), Revision(_whole(meta, "revision"), era)
    if not isinstance(name, str) or not name:
        raise ValueError("name: expected a text")
    spec = body.get("spec")
    fault = _content_fault(kind, spec)
    return Stored(kind, name, version, {} if fault else spec, fault)


def _content_fault(kind: str, spec: Any) -> str:
    fault = fault_of(spec)
    if fault:
        return fault
    if not isinstance(spec, dict):
        return "the content is no object"
    if kind != SERVER_KIND:
        return ""
    size = len(msgspec.json.encode(spec))
    return f"{size} bytes of content" if size > SERVER_ENTRY_BYTES_AT_MOST else ""


def _on_condition(condition: Revision, body: _Body) -> Result[_Body, StoreFailure]:
    failure = check_condition(condition, body.era)
    return Ok(body) if failure is None else Err(failure)


def _behind(since: Revision, body: _Body) -> Result[_Body, StoreFailure]:
    failure = check_events(since, body.era)
    return Ok(body) if failure is None else Err(failure)


def _one(kind: str, body: _Body) -> Result[Stored, StoreFailure]:
    try:
        return Ok(_stored(kind, body.content, body.era))
    except ValueError as error:
        return Err(_shape(error))


def _page(kind: str, body: _Body) -> Result[_Page, StoreFailure]:
    try:
        listed = _list(body.content, "items")
        return Ok(
            _Page(
                items=_readable(kind, listed, body.era),
                more=bool(body.content.get("more")) and bool(listed),
                last_name=_last_name(listed),
                version=Revision(_whole(body.content, "at"), body.era),
            )
        )
    except ValueError as error:
        return Err(_shape(error))


def _last_name(listed: list[Any]) -> str:
    """Return the last name that can be read, from which a list goes on."""
    for item in reversed(listed):
        try:
            return str(_part(_part(item, "meta"), "name"))
        except ValueError:
            continue
    return ""


def _events(kind: str, body: _Body) -> Result[list[Event], StoreFailure]:
    """Return the events, and a bookmark at the version to go on from."""
    try:
        at = Stored(kind, "", Revision(_whole(body.content, "at"), body.era), {})
        reported = _list(body.content, "events")
    except ValueError as error:
        return Err(_shape(error))
    events = []
    for item in reported:
        objects = [item.get("object")] if isinstance(item, dict) else []
        found = _readable(kind, objects, body.era)
        deleted = isinstance(item, dict) and item.get("deleted") is True
        change = EventType.DELETED if deleted else EventType.CHANGED
        events += [Event(change, stored) for stored in found]
    return Ok([*events, Event(EventType.BOOKMARK, at)])


def _readable(kind: str, bodies: list[Any], era: int) -> list[Stored]:
    """Return the objects that have a name and a version."""
    found = []
    for body in bodies:
        try:
            found.append(_stored(kind, body, era))
        except ValueError as error:
            log_event("store.object_unreadable", kind=kind, reason=error)
    return found


def _part(body: Any, name: str) -> Any:
    if not isinstance(body, dict) or name not in body:
        raise ValueError(f"expected an object with {name}")
    if isinstance(body[name], Unreadable):
        raise ValueError(f"{name}: {body[name].reason}")
    return body[name]


def _list(body: Any, name: str) -> list[Any]:
    value = _part(body, name)
    if not isinstance(value, list):
        raise ValueError(f"{name}: expected a list")
    return value


def _whole(body: Any, name: str) -> int:
    value = _part(body, name)
    if not isinstance(value, int) or isinstance(value, bool) or fault_of(value):
        raise ValueError(f"{name}: expected a whole number")
    return value


def _shape(error: Exception) -> StoreFailure:
    return StoreFailure(Trouble.UNREACHABLE, f"unexpected shape: {error}")
