"""Orders to the platform to promote a server, given again until one is answered."""

from collections import Counter
from collections.abc import Callable

import trio

from rattanhollow.observe import log_event
from rattanhollow.store import StoreFailure
from rattanhollow.succession._parts import ReplaceParts, Task
from rattanhollow.succession._record import SuccessionRecord, write_claim_phase

# The platform answers in milliseconds, or not at all.
PROMOTION_REPEAT_S = 0.25
# Of one replacement at a time: all hosts share the rate of such calls.
MAX_ORDERS_AWAITED = 4
# A rejected order is given again with a token raised by ever larger steps.
MAX_REJECTIONS = 4
REJECTED_TOKEN_FACTOR = 5
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_SERVER_ERROR = 500
HTTP_BUSY = 503


class PromotionOrders:
    """Orders to promote one server under one claim.

    An order without an answer may be carried out late, or never. It is given again
    under the claim's next token, so that an accepted one makes the platform reject
    those before it. ``status`` is the HTTP status of the answer that counts, None
    before: 200 for any token, or the last of several 409 for the newest. ``record`` is
    the claim's record with the newest token, ``is_claim_lost`` true once another
    coordinator has taken the claim over.
    """

    def __init__(
        self, task: Task, record: SuccessionRecord, server_id: str, parts: ReplaceParts
    ) -> None:
        self.record = record
        self.status: int | None = None
        self._woken = trio.Event()
        self.is_claim_lost = False
        self._rejections = 0
        self._accepted_token = 0
        self._unanswered: Counter[int] = Counter()
        self._awaited = 0
        self._task = task
        self._server_id = server_id
        self._parts = parts

    @property
    def is_accepted(self) -> bool:
        """Whether the platform has accepted an order."""
        return self._accepted_token > 0

    @property
    def may_be_pending(self) -> bool:
        """Whether an order without an answer may be carried out later."""
        return any(
            count and token >= self._accepted_token
            for token, count in self._unanswered.items()
        )

    async def run(self, may_order: Callable[[], bool] = lambda: True) -> None:
        """Order until answered, the claim is lost, or ``may_order()`` is false."""
        async with trio.open_nursery() as nursery:
            step = 0
            while may_order() and not self._is_over:
                if self._awaited < MAX_ORDERS_AWAITED:
                    await self._raise_token(step)
                    if self._is_over:
                        break
                    nursery.start_soon(self._order, self.record.token)
                    step = 1
                self._woken = trio.Event()
                with trio.move_on_after(PROMOTION_REPEAT_S):
                    await self._woken.wait()
                if self._rejections:
                    step = REJECTED_TOKEN_FACTOR**self._rejections
            if self.is_accepted and self.may_be_pending:
                # A newer one has been sent since; it is answered, or times out.
                return
            nursery.cancel_scope.cancel()

    @property
    def _is_over(self) -> bool:
        return self.status is not None or self.is_claim_lost

    async def _order(self, token: int) -> None:
        self._unanswered[token] += 1
        self._awaited += 1
        response = await self._parts.promote(
            self._task.service, self._server_id, self._parts.holder, token
        )
        self._awaited -= 1
        log_event(
            "succession.ordered",
            service=self._task.service,
            token=token,
            target=self._server_id,
            status=response.ok(),
            reason=response.err(),
        )
        status = response.ok()
        if status is None or (status >= HTTP_SERVER_ERROR and status != HTTP_BUSY):
            # It may be carried out nevertheless.
            return
        self._unanswered[token] -= 1
        self._note_answer(token, status)

    def _note_answer(self, token: int, status: int) -> None:
        """Take an answer; any but these two says that nothing was done."""
        if status == HTTP_OK:
            self._accepted_token = max(self._accepted_token, token)
            self.status = status
            self._woken.set()
        elif status == HTTP_CONFLICT and token == self.record.token:
            # The server does not run, or the platform has seen a newer token than the
            # store has: the record may be from an older copy of it.
            self._rejections += 1
            if self._rejections > MAX_REJECTIONS:
                self.status = status
            self._woken.set()

    async def _raise_token(self, step: int) -> None:
        """Take a later token; while the store fails orders have the last one."""
        if not step:
            return
        raised = self.record._replace(token=self.record.token + step)
        written = await write_claim_phase(self._parts.store, self._task.service, raised)
        if written.is_ok():
            self.record = raised
        elif not isinstance(written.unwrap_err(), StoreFailure):
            self.is_claim_lost = True
