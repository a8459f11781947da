"""Answering the questions of other hosts."""

from typing import NamedTuple

from rattanhollow.host._leader_use import stop_use_here
from rattanhollow.membership import Gossip, HostRecord, NeighbourWatch, StartCopies
from rattanhollow.peer import (
    ChangeNews,
    CopyNews,
    CopyQuestion,
    DepositQuestion,
    DifferenceNews,
    DifferenceQuestion,
    FirstDepositQuestion,
    FloorQuestion,
    HostAnswer,
    HostQuestion,
    LeaderNews,
    Message,
    PieceQuestion,
    PoolQuestion,
    ReachAnswer,
    ReachQuestion,
    ReplacementOverNews,
    StopUseAnswer,
    StopUseQuestion,
    StoreStateQuestion,
    UseAnswer,
    UseQuestion,
)
from rattanhollow.rates import BrokerService
from rattanhollow.routing import FloorCache, ServerDirectory
from rattanhollow.serving import ProofQuestion, Serving, WithdrawalNews, Work
from rattanhollow.succession import LeaderUseChecker


class Answerers(NamedTuple):
    """The parts that know the answers."""

    serving: Serving
    neighbours: NeighbourWatch
    broker: BrokerService
    gossip: Gossip
    directory: ServerDirectory
    floors: FloorCache
    leader_uses: LeaderUseChecker
    start_copies: StartCopies


async def answer_peer(
    question: Message, own: HostRecord, parts: Answerers
) -> Message | None:
    """Return the answer of host ``own``, None where it has none."""
    if isinstance(question, Work):
        return await parts.serving.run_work(question)
    if isinstance(question, WithdrawalNews):
        parts.serving.withdraw(question.server, question.transaction)
        return None
    if isinstance(question, ProofQuestion):
        return await parts.serving.prove(question.server)
    if isinstance(question, FloorQuestion):
        return await parts.floors.respond_to_host(question.service)
    if isinstance(question, PoolQuestion):
        return parts.broker.handle_pool_request(question)
    if isinstance(question, FirstDepositQuestion):
        return parts.broker.handle_first_deposit(question)
    if isinstance(question, DepositQuestion):
        return parts.broker.handle_deposit_request(question)
    if isinstance(question, CopyQuestion):
        return parts.gossip.comparison_response(question)
    if isinstance(question, StoreStateQuestion):
        return await parts.start_copies.lists.answer(question)
    if isinstance(question, CopyNews):
        parts.gossip.receive_copies(question)
        return None
    if isinstance(question, ChangeNews):
        parts.gossip.receive_changes(question)
        return None
    if isinstance(question, DifferenceNews):
        parts.gossip.receive_differences(question)
        return None
    if isinstance(question, DifferenceQuestion):
        return await parts.gossip.difference_response(question)
    if isinstance(question, PieceQuestion):
        return await parts.gossip.piece_response(question)
    if isinstance(question, ReachQuestion):
        served = parts.serving.serve(question.server)
        reaches = served is not None and await served.check_reachable()
        return ReachAnswer(reaches, own.zone)
    if isinstance(question, StopUseQuestion):
        stop_use_here(question, parts.leader_uses, parts.serving)
        return StopUseAnswer()
    if isinstance(question, UseQuestion):
        return UseAnswer(parts.leader_uses.is_stopped(question.service))
    if isinstance(question, LeaderNews):
        parts.directory.record_leader_proof(question.service, question.server)
        return None
    if isinstance(question, ReplacementOverNews):
        parts.leader_uses.note_over(question.service, question.token)
        return None
    if isinstance(question, HostQuestion):
        is_other = question.host != own.name
        return HostAnswer(is_other and parts.neighbours.considers_silent(question))
    return None
