"""The platform's call that makes a backend server the primary."""

from collections.abc import Awaitable, Callable

import msgspec
from result import Err, Ok, Result

from rattanhollow.net import HttpClient

CALL_TIMEOUT_S = 1.0
PATH = "/promotion"

Promote = Callable[[str, str, str, int], Awaitable[Result[int, str]]]


def promotion_call(client: HttpClient) -> Promote:
    """Return the call ``promote(service, server, holder, fencing_token)``.

    Its answer is the HTTP status; an ``Err`` where none came, and the call may
    be carried out later.
    """

    async def promote(
        service: str, server: str, holder: str, fencing_token: int
    ) -> Result[int, str]:
        body = msgspec.json.encode({"service": service, "id": server})
        headers = (
            ("X-Lease-Holder", holder),
            ("X-Fencing-Token", str(fencing_token)),
        )
        answered = await client.call("POST", PATH, CALL_TIMEOUT_S, body, headers)
        if answered.is_err():
            return Err(answered.unwrap_err())
        return Ok(answered.unwrap().status)

    return promote
