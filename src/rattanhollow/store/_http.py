"""The object store over HTTP and JSON, by the conventions of resource objects."""

from collections.abc import AsyncIterator
from typing import Any

import httpx
import msgspec
from result import Err, Ok, Result

from rattanhollow.store._api import (
    Event,
    EventType,
    Listing,
    ObjectStore,
    Stored,
    StoreFailure,
    Trouble,
)
from rattanhollow.store._era import (
    ERA_HEADER,
    EraMonitor,
    check_condition,
    check_events,
)
from rattanhollow.store._revision import NO_REVISION, Revision

API_PATH = "/apis/rattanhollow/v1"
WATCH_S = 30
WATCH_SILENCE_S = 5.0
STATUS_OK = 200
STATUS_CREATED = 201

_TROUBLE_BY_STATUS = {
    404: Trouble.NOT_FOUND,
    409: Trouble.CONFLICT,
    410: Trouble.GONE,
}
_EVENT_TYPES = {
    "ADDED": EventType.CHANGED,
    "MODIFIED": EventType.CHANGED,
    "DELETED": EventType.DELETED,
    "BOOKMARK": EventType.BOOKMARK,
}


def http_store(
    url: str, timeout_ms: int, local_address: str | None = None
) -> ObjectStore:
    """Return the store at ``url``; each call but a watch ends in ``timeout_ms``."""
    transport = httpx.AsyncHTTPTransport(local_address=local_address)
    monitor = EraMonitor()
    client = httpx.AsyncClient(
        base_url=url + API_PATH,
        timeout=timeout_ms / 1000,
        trust_env=False,
        transport=transport,
    )

    async def call(
        method: str, path: str, body: Any = None
    ) -> Result[tuple[Any, int], StoreFailure]:
        content = None if body is None else msgspec.json.encode(body)
        try:
            response = await client.request(method, path, content=content)
        except httpx.HTTPError as error:
            return Err(StoreFailure(Trouble.UNREACHABLE, type(error).__name__))
        era = monitor.take(response.headers.get(ERA_HEADER))
        if era.is_err():
            return Err(era.unwrap_err())
        if response.status_code not in (STATUS_OK, STATUS_CREATED):
            return Err(_failure(response.status_code, response.text))
        try:
            return Ok((msgspec.json.decode(response.content), era.unwrap()))
        except msgspec.DecodeError as error:
            return Err(StoreFailure(Trouble.REFUSED, str(error)))

    async def get(kind: str, name: str) -> Result[Stored, StoreFailure]:
        answer = await call("GET", f"/{kind}/{name}")
        return answer.map(lambda body: _stored(kind, *body))

    async def list_kind(kind: str) -> Result[Listing, StoreFailure]:
        answer = await call("GET", f"/{kind}")
        return answer.map(lambda body: _listing(kind, *body))

    async def put(
        kind: str, name: str, spec: dict[str, Any], version: Revision
    ) -> Result[Stored, StoreFailure]:
        outdated = monitor.check(version)
        if outdated is not None:
            return Err(outdated)
        metadata = {"name": name}
        if version == NO_REVISION:
            body = {"metadata": metadata, "spec": spec}
            answer = await call("POST", f"/{kind}", body)
        else:
            metadata["resourceVersion"] = str(version.number)
            body = {"metadata": metadata, "spec": spec}
            answer = await call("PUT", f"/{kind}/{name}", body)
        stored = answer.map(lambda body: _stored(kind, *body))
        return stored.and_then(lambda item: _on_condition(version, item))

    async def delete(
        kind: str, name: str, version: Revision
    ) -> Result[None, StoreFailure]:
        outdated = monitor.check(version)
        if outdated is not None:
            return Err(outdated)
        path = f"/{kind}/{name}?resourceVersion={version.number}"
        answer = await call("DELETE", path)
        if answer.is_err():
            return Err(answer.unwrap_err())
        failure = check_condition(version, answer.unwrap()[1])
        return Ok(None) if failure is None else Err(failure)

    async def watch(
        kind: str, version: Revision
    ) -> AsyncIterator[Result[Event, StoreFailure]]:
        outdated = monitor.check_watch(version)
        if outdated is not None:
            yield Err(outdated)
            return
        number = version.number
        path = f"/{kind}?watch=1&resourceVersion={number}&timeoutSeconds={WATCH_S}"
        try:
            async with client.stream("GET", path, timeout=WATCH_SILENCE_S) as response:
                era = monitor.take(response.headers.get(ERA_HEADER))
                failure = era.err() or check_events(version, era.unwrap_or(0))
                if failure is not None:
                    yield Err(failure)
                    return
                if response.status_code != STATUS_OK:
                    yield Err(_failure(response.status_code, ""))
                    return
                async for line in response.aiter_lines():
                    # Other calls may have heard of a new era meanwhile.
                    outdated = monitor.check_watch(version)
                    if outdated is not None:
                        yield Err(outdated)
                        return
                    yield Ok(_event(kind, msgspec.json.decode(line), version.era))
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            yield Err(StoreFailure(Trouble.UNREACHABLE, type(error).__name__))

    return ObjectStore(
        get, list_kind, list_kind, put, delete, watch, era=lambda: monitor.era
    )


def _failure(status: int, detail: str) -> StoreFailure:
    trouble = _TROUBLE_BY_STATUS.get(status)
    if trouble is None:
        trouble = Trouble.UNREACHABLE if status >= 500 else Trouble.REFUSED
    return StoreFailure(trouble, f"{status} {detail[:200]}")


def _on_condition(condition: Revision, item: Stored) -> Result[Stored, StoreFailure]:
    failure = check_condition(condition, item.version.era)
    return Ok(item) if failure is None else Err(failure)


def _stored(kind: str, body: dict[str, Any], era: int) -> Stored:
    metadata = body["metadata"]
    version = Revision(int(metadata["resourceVersion"]), era)
    return Stored(kind, metadata.get("name", ""), version, body.get("spec", {}))


def _listing(kind: str, body: dict[str, Any], era: int) -> Listing:
    items = [_stored(kind, item, era) for item in body["items"]]
    return Listing(Revision(int(body["metadata"]["resourceVersion"]), era), items)


def _event(kind: str, body: dict[str, Any], era: int) -> Event:
    return Event(_EVENT_TYPES[body["type"]], _stored(kind, body["object"], era))
