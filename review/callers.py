"""Callers that write again and again, and note what they were told."""

from typing import NamedTuple

import trio
from review_support.fleet import Fleet, HostProcess

from rattanhollow_standins.platform._client import Closed

ANSWER_WITHIN_S = 4.0


class Told(NamedTuple):
    """One write: when it was sent, and ``done`` or what was told instead."""

    request: str
    sent_at_s: float
    outcome: str


async def keep_writing(
    fleet: Fleet, host: HostProcess, name: str, pause_s: float, told: list[Told]
) -> None:
    """Write through one host until cancelled; an attempt without answer counts too."""
    number = 0
    while True:
        try:
            with trio.fail_after(ANSWER_WITHIN_S):
                client = await fleet.client(host, "newest")
        except (OSError, Closed, trio.BrokenResourceError, trio.TooSlowError) as error:
            _note(
                fleet, told, f"{name}-none", trio.current_time(), f"no session {error}"
            )
            await trio.sleep(pause_s)
            continue
        while True:
            number += 1
            request, sent_at_s = f"{name}-{number}", trio.current_time()
            try:
                with trio.fail_after(ANSWER_WITHIN_S):
                    answer = await client.query(f"WRITE {name} {number}", request)
            except (OSError, Closed, trio.BrokenResourceError, trio.TooSlowError):
                _note(fleet, told, request, sent_at_s, "no answer")
                break
            outcome = f"{answer.error} {answer.detail}" if answer.error else "done"
            _note(fleet, told, request, sent_at_s, outcome)
            await trio.sleep(pause_s)
        await trio.aclose_forcefully(client.stream)
        await trio.sleep(pause_s)


def _note(
    fleet: Fleet, told: list[Told], request: str, sent_at_s: float, outcome: str
) -> None:
    told.append(Told(request, sent_at_s, outcome))
    fleet.record.note(f"caller: {request} {outcome[:90]}")
