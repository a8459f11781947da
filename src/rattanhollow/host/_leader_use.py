"""Stopping the use of a service's primary at all hosts, and asking them of it."""

from typing import NamedTuple

import trio

from rattanhollow.host._hosts_asked import sample_of_zones
from rattanhollow.membership import HostDirectory, HostRecord
from rattanhollow.observe import log_event
from rattanhollow.peer import (
    Peers,
    StopUseAnswer,
    StopUseQuestion,
    UseAnswer,
    UseQuestion,
)
from rattanhollow.serving import Serving
from rattanhollow.succession import LeaderUseChecker

# A host in another region answers within 100 ms; one that has just died never does.
STOP_USE_TIMEOUT_S = 0.25
# Links that take longer to come up aren't given up for that.
ANSWER_TIMEOUT_MS = 1_000
USE_TIMEOUT_MS = 250


class HostLinks(NamedTuple):
    """The name of this host, the others that it knows, and its links to them."""

    own_name: str
    hosts: HostDirectory
    peers: Peers


def stop_use_here(
    question: StopUseQuestion, checker: LeaderUseChecker, serving: Serving
) -> None:
    """Use no primary of the service before the record of successions is read again."""
    checker.stop(question.service, question.token)
    for served in serving.served():
        if served.server.service != question.service:
            continue
        served.stop_leader_use()
        if question.gives_up_writes:
            served.give_up_writes()


async def stop_use_elsewhere(question: StopUseQuestion, links: HostLinks) -> bool:
    """Tell all other hosts; return whether all of them answered.

    A host that leaves is told, too: it ends its callers' transactions still.
    """
    silent: list[str] = []

    async def ask(record: HostRecord) -> None:
        answered = await links.peers.ask(record.peer, question, ANSWER_TIMEOUT_MS)
        if isinstance(answered.ok(), StopUseAnswer):
            silent.remove(record.name)

    others = [r for r in links.hosts.all() if r.name != links.own_name]
    silent += [record.name for record in others]
    with trio.move_on_after(STOP_USE_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            for record in others:
                is_dark = links.peers.is_dark(record.peer)
                if is_dark:
                    nursery.start_soon(links.peers.tell, record.peer, question)
                else:
                    nursery.start_soon(ask, record)
    log_event(
        "leader.use_stopped",
        service=question.service,
        token=question.token,
        gives_up_writes=question.gives_up_writes,
        silent=",".join(sorted(silent)),
    )
    return not silent


async def is_stopped_elsewhere(service: str, links: HostLinks) -> bool | None:
    """Return whether another host was told to stop, None if none answers."""
    answers: list[bool] = []
    asked = sample_of_zones(links.hosts, links.peers, links.own_name)
    if not asked:
        # Alone in the fleet, or cut off from all of it.
        return None if len(links.hosts.all()) > 1 else False

    async def ask(record: HostRecord) -> None:
        question = UseQuestion(service)
        answer = (await links.peers.ask(record.peer, question, USE_TIMEOUT_MS)).ok()
        if isinstance(answer, UseAnswer):
            answers.append(answer.is_stopped)

    async with trio.open_nursery() as nursery:
        for record in asked:
            nursery.start_soon(ask, record)
    if any(answers):
        return True
    return False if 2 * len(answers) >= len(asked) else None
