"""Changing an object by conditional update, also when an answer is lost."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio
from result import Err, Ok, Result

from rattanhollow.records import RecordError
from rattanhollow.store._api import ObjectStore, StoreFailure, Trouble
from rattanhollow.store._revision import NO_REVISION

RETRY_PAUSE_S = 0.1

Spec = dict[str, Any]


async def update(
    store: ObjectStore,
    kind: str,
    name: str,
    change: Callable[[Spec | None], Result[Spec | None, Any]],
    attempts: int = 10,
    pause: Callable[[float], Awaitable[None]] = trio.sleep,
) -> Result[Any, Any]:
    """Read an object, let ``change`` compute its new content, write it back.

    ``change`` gets ``None`` where the object doesn't exist. It returns the new
    content, ``Ok(None)`` where nothing is left to do, or an ``Err`` that is
    handed on. The answer is the object as stored, None where there is none.
    ``change`` runs again after a conflict, after an answer that didn't come, and where
    the store began a new era meanwhile, so it must recognise its own earlier change. An
    object that can't be read is left as it is.
    """
    failure = StoreFailure(Trouble.UNREACHABLE, "no attempt made")
    for _ in range(attempts):
        read = await store.get(kind, name)
        if read.is_err() and read.unwrap_err().trouble is not Trouble.NOT_FOUND:
            failure = read.unwrap_err()
            await pause(RETRY_PAUSE_S)
            continue
        current = read.ok()
        if current is not None and current.fault:
            return Err(_unreadable(kind, name, current.fault))
        try:
            wanted = change(current.spec if current else None)
        except RecordError as error:
            return Err(_unreadable(kind, name, error))
        if wanted.is_err():
            return Err(wanted.unwrap_err())
        content = wanted.unwrap()
        if content is None:
            return Ok(current)
        era = store.era()
        version = current.version if current else NO_REVISION
        written = await store.put(kind, name, content, version)
        if written.is_ok():
            # An object is created whatever era has begun since it was found missing.
            if written.unwrap().version.era == era:
                return written
            failure = StoreFailure(Trouble.CONFLICT, f"done in an era after {era}")
            continue
        failure = written.unwrap_err()
        if failure.trouble is Trouble.REFUSED:
            return Err(failure)
        if failure.trouble is not Trouble.CONFLICT:
            await pause(RETRY_PAUSE_S)
    return Err(failure)


def _unreadable(kind: str, name: str, reason: object) -> StoreFailure:
    detail = f"{kind}/{name} can't be read: {reason}"
    return StoreFailure(Trouble.REFUSED, detail)
