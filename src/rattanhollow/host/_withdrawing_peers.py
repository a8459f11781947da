"""Links to other hosts that withdraw the work of callers who have left."""

from result import Ok, Result

from rattanhollow.peer import AskFailure, Message, PeerAddress, Peers
from rattanhollow.serving import (
    CURRENT_CALLER,
    WithdrawalNews,
    Work,
    WorkKind,
    work_of_left_caller,
)


class WithdrawingPeers(Peers):
    """Tells the serving host when the caller of the work that it was asked for leaves.

    The serving host still answers: with the work's true outcome where the work had
    been sent to the server by then.
    """

    async def ask(
        self, peer: PeerAddress, question: Message, timeout_ms: int
    ) -> Result[Message, AskFailure]:
        """Ask another host; see `Peers.ask`."""
        caller = CURRENT_CALLER.get()
        if (
            caller is None
            or not isinstance(question, Work)
            or question.kind is WorkKind.ROLLBACK
        ):
            return await super().ask(peer, question, timeout_ms)
        if caller.gone:
            return Ok(work_of_left_caller(question))
        news = WithdrawalNews(question.server, question.transaction)
        with caller.withdrawing(lambda: self._withdraw(peer, news)):
            return await super().ask(peer, question, timeout_ms)

    def _withdraw(self, peer: PeerAddress, news: WithdrawalNews) -> None:
        if self._nursery is not None:
            self._nursery.start_soon(self.tell, peer, news)
