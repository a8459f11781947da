"""What keeps a host from using a server as the primary while a promotion is pending."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import trio

from rattanhollow.records import RecordError, from_spec
from rattanhollow.serving import BackendServer, LeaderUse
from rattanhollow.store import ObjectStore, Stored, Trouble
from rattanhollow.succession._record import (
    NO_SUCCESSION,
    SUCCESSION_KIND,
    Phase,
    SuccessionRecord,
)

# A store that is a hundred times slower than usual answers in 0.4 s.
READ_TIMEOUT_S = 0.4
ASK_HOSTS_AFTER_S = 0.15
# An order to promote is executed within this time, or the use is stopped again.
STOP_VALID_S = 30.0


class LeaderUseChecker:
    """Tells which servers this host may use as primaries, as far as the fleet agrees.

    Between the choice of a successor and the moment at which it leads, a primary may
    come back or go on, also under another identifier. Commits that it acknowledges
    then would be lost. ``query_hosts(service)`` returns whether a coordinator has
    stopped the use of the service's primary at another host, or that has read of a
    claim, None if too few hosts answer.
    ``note_claim(service, claim_id)`` is notified of a claim that stands in the way.
    """

    def __init__(
        self,
        store: ObjectStore,
        query_hosts: Callable[[str], Awaitable[bool | None]],
        note_claim: Callable[[str, str], None],
        clock: Callable[[], float],
    ) -> None:
        self._clock = clock
        self._store = store
        self._query_hosts = query_hosts
        self._note_claim = note_claim
        # By service, the newest replacement that this host was told, or has read of.
        self._stops: dict[str, _Stop] = {}

    def stop(self, service: str, token: int) -> None:
        """Use no primary of a service as long as the replacement may go on.

        That is until a record shows otherwise, until the news that it is over, or for
        30 s where neither comes.
        """
        stop = self._stops.get(service)
        newest = max(token, stop.token) if stop is not None else token
        self._stops[service] = _Stop(newest, self._clock())

    def note_over(self, service: str, token: int) -> None:
        """Note that the replacement with a token is over, and all those before it."""
        stop = self._stops.get(service)
        if stop is not None and stop.token <= token:
            del self._stops[service]

    def is_stopped(self, service: str) -> bool:
        """Whether this host was told to use no primary, or has read of a claim."""
        stop = self._stops.get(service)
        return stop is not None and self._clock() - stop.at_s < STOP_VALID_S

    async def check(self, server: BackendServer) -> LeaderUse:
        """Return whether this host may use ``server`` as the primary."""
        service = server.service
        stop = self._stops.get(service)
        answers = _Answers()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._ask_hosts, service, answers)
            with trio.move_on_after(READ_TIMEOUT_S):
                answers.record = await self._read(service)
            if answers.record is None:
                with trio.move_on_after(READ_TIMEOUT_S):
                    await answers.hosts_answered.wait()
            nursery.cancel_scope.cancel()
        if answers.record is None:
            return self._judge_without_store(service, answers.is_stopped)
        if _is_allowed(answers.record, server):
            is_over = answers.record.phase is not Phase.CHOSEN
            if is_over and self._stops.get(service) == stop:
                self._stops.pop(service, None)
            return LeaderUse.ALLOWED
        if not self.is_stopped(service):
            # The store may fail next, and other hosts may ask this one.
            self.stop(service, answers.record.token)
        self._note_claim(service, answers.record.claim_id)
        return LeaderUse.PENDING

    async def _read(self, service: str) -> SuccessionRecord | None:
        """Return the record, None without an answer of the store."""
        stored = await self._store.get(SUCCESSION_KIND, service)
        if stored.is_ok():
            return _decode(stored.unwrap())
        missing = stored.unwrap_err().trouble is Trouble.NOT_FOUND
        return NO_SUCCESSION if missing else None

    async def _ask_hosts(self, service: str, answers: "_Answers") -> None:
        """Ask other hosts if the store takes longer than usual."""
        await trio.sleep(ASK_HOSTS_AFTER_S)
        answers.is_stopped = await self._query_hosts(service)
        answers.hosts_answered.set()

    def _judge_without_store(
        self, service: str, is_stopped_elsewhere: bool | None
    ) -> LeaderUse:
        """Judge by what this host was told, or others were.

        A coordinator tells all hosts before it orders a promotion.
        """
        if self.is_stopped(service) or is_stopped_elsewhere:
            return LeaderUse.PENDING
        unknown = is_stopped_elsewhere is None
        return LeaderUse.UNKNOWN if unknown else LeaderUse.ASSUMED


class _Stop(NamedTuple):
    """The token of a replacement, and when this host last heard of it."""

    token: int
    at_s: float


class _Answers:
    """What the store and other hosts answered to one question."""

    def __init__(self) -> None:
        self.record: SuccessionRecord | None = None
        self.is_stopped: bool | None = None
        self.hosts_answered = trio.Event()


def _decode(stored: Stored) -> SuccessionRecord:
    """Return a record; on one that can't be read no coordinator can claim either."""
    try:
        return from_spec(SuccessionRecord, stored.spec)
    except RecordError:
        return NO_SUCCESSION


def _is_allowed(record: SuccessionRecord, server: BackendServer) -> bool:
    if record.phase is Phase.CHOSEN:
        return record.target == server.id
    return record.phase is Phase.ENDED or record.keeps_leader
