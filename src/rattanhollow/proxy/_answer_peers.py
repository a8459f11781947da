"""Answering the questions of other hosts."""

from typing import NamedTuple

from rattanhollow.backend import Groups
from rattanhollow.membership import Freshness, HostRecord, NeighbourWatch
from rattanhollow.peer import (
    CancelQuestion,
    ConfigurationQuestion,
    FreshnessQuestion,
    HostAnswer,
    HostQuestion,
    Message,
    ShareQuestion,
    SuspicionAnswer,
    SuspicionQuestion,
)
from rattanhollow.proxy._cancel import answer_cancel
from rattanhollow.proxy._service import Service
from rattanhollow.proxy._watch_all import GroupWatches
from rattanhollow.rates import LeasedRateLimiter


class Answerers(NamedTuple):
    """The parts that know the answers."""

    groups: Groups
    watches: GroupWatches
    neighbours: NeighbourWatch
    freshness: Freshness
    rates: LeasedRateLimiter
    service: Service


async def answer_peer(
    question: Message, own: HostRecord, parts: Answerers
) -> Message | None:
    """Return the answer of host ``own``, None where it has none."""
    if isinstance(question, SuspicionQuestion):
        return _answer_suspicion(question, own, parts)
    if isinstance(question, HostQuestion):
        is_other = question.host != own.name
        return HostAnswer(is_other and parts.neighbours.considers_silent(question))
    if isinstance(question, FreshnessQuestion):
        return parts.freshness.freshness_response()
    if isinstance(question, ConfigurationQuestion):
        return parts.freshness.configuration_response()
    if isinstance(question, ShareQuestion):
        return parts.rates.handle_share_request(question)
    if isinstance(question, CancelQuestion):
        return await answer_cancel(parts.service, question)
    return None


def _answer_suspicion(
    question: SuspicionQuestion, own: HostRecord, parts: Answerers
) -> SuspicionAnswer:
    watch = parts.watches.find(question.database)
    group = parts.groups.get(question.database)
    suspects = watch is not None and watch.suspects(question.term)
    state = group.state if group is not None else None
    return SuspicionAnswer(own.name, own.zone, suspects, state)
