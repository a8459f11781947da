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
    client = httpx.AsyncClient(
        base_url=url + API_PATH,
        timeout=timeout_ms / 1000,
        trust_env=False,
        transport=transport,
    )

    async def call(
        method: str, path: str, body: Any = None
    ) -> Result[Any, StoreFailure]:
        content = None if body is None else msgspec.json.encode(body)
        try:
            response = await client.request(method, path, content=content)
        except httpx.HTTPError as error:
            return Err(StoreFailure(Trouble.UNREACHABLE, type(error).__name__))
        if response.status_code not in (STATUS_OK, STATUS_CREATED):
            return Err(_failure(response.status_code, response.text))
        try:
            return Ok(msgspec.json.decode(response.content))
        except msgspec.DecodeError as error:
            return Err(StoreFailure(Trouble.REFUSED, str(error)))

    async def get(kind: str, name: str) -> Result[Stored, StoreFailure]:
        answer = await call("GET", f"/{kind}/{name}")
        return answer.map(lambda body: _stored(kind, body))

    async def list_kind(kind: str) -> Result[Listing, StoreFailure]:
        answer = await call("GET", f"/{kind}")
        return answer.map(lambda body: _listing(kind, body))

    async def put(
        kind: str, name: str, spec: dict[str, Any], version: int
    ) -> Result[Stored, StoreFailure]:
        metadata = {"name": name}
        if version == 0:
            body = {"metadata": metadata, "spec": spec}
            answer = await call("POST", f"/{kind}", body)
        else:
            metadata["resourceVersion"] = str(version)
            body = {"metadata": metadata, "spec": spec}
            answer = await call("PUT", f"/{kind}/{name}", body)
        return answer.map(lambda body: _stored(kind, body))

    async def delete(kind: str, name: str, version: int) -> Result[None, StoreFailure]:
        path = f"/{kind}/{name}?resourceVersion={version}"
        return (await call("DELETE", path)).map(lambda _: None)

    async def watch(
        kind: str, version: int
    ) -> AsyncIterator[Result[Event, StoreFailure]]:
        path = f"/{kind}?watch=1&resourceVersion={version}&timeoutSeconds={WATCH_S}"
        try:
            async with client.stream("GET", path, timeout=WATCH_SILENCE_S) as response:
                if response.status_code != STATUS_OK:
                    yield Err(_failure(response.status_code, ""))
                    return
                async for line in response.aiter_lines():
                    yield Ok(_event(kind, msgspec.json.decode(line)))
        except (httpx.HTTPError, msgspec.DecodeError) as error:
            yield Err(StoreFailure(Trouble.UNREACHABLE, type(error).__name__))

    return ObjectStore(get, list_kind, list_kind, put, delete, watch)


def _failure(status: int, detail: str) -> StoreFailure:
    trouble = _TROUBLE_BY_STATUS.get(status)
    if trouble is None:
        trouble = Trouble.UNREACHABLE if status >= 500 else Trouble.REFUSED
    return StoreFailure(trouble, f"{status} {detail[:200]}")


def _stored(kind: str, body: dict[str, Any]) -> Stored:
    metadata = body["metadata"]
    version = int(metadata["resourceVersion"])
    return Stored(kind, metadata.get("name", ""), version, body.get("spec", {}))


def _listing(kind: str, body: dict[str, Any]) -> Listing:
    items = [_stored(kind, item) for item in body["items"]]
    return Listing(int(body["metadata"]["resourceVersion"]), items)


def _event(kind: str, body: dict[str, Any]) -> Event:
    return Event(_EVENT_TYPES[body["type"]], _stored(kind, body["object"]))
