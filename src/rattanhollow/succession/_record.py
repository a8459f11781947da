"""The stored state of a replacement: one object per service, shared by all hosts."""

import enum
from typing import Any, NamedTuple

from result import Err, Ok, Result

from rattanhollow.coordination import Position
from rattanhollow.records import from_spec, to_spec
from rattanhollow.store import (
    ObjectStore,
    StoreFailure,
    is_token_of,
    next_token,
    update,
)

SUCCESSION_KIND = "successions"


class Phase(enum.Enum):
    """The progress of a replacement.

    ``CLAIMED``: its coordinator may hold replicas. ``CHOSEN``: the platform may
    have been requested to promote ``target``. ``ENDED``: none is in progress.
    """

    CLAIMED = "claimed"
    CHOSEN = "chosen"
    ENDED = "ended"


class SuccessionRecord(NamedTuple):
    """The newest replacement of a service's primary.

    ``token`` is its fencing token, ``claim_id`` distinguishes claims of one host.
    ``old_leader`` is the last server that was known to lead when it was to be replaced.
    ``target_born_ms`` identifies the start of the target. ``target`` is empty under
    ``CHOSEN`` while a pending one has been given up, and none is chosen instead.
    ``leader`` is the primary that the last completed replacement left, empty before the
    first one.
    ``orders_pending`` is true if orders to promote ``leader`` may still be executed.
    ``stopped_at`` is the end of the log of the last primary that confirmed its stop,
    and ``stopped_term`` the term that it led. ``keeps_leader`` is true under a claim
    whose coordinator does not replace a primary that leads: hosts may use that.
    """

    token: int
    claim_id: str
    holder: str
    old_leader: str
    phase: Phase
    target: str = ""
    target_born_ms: int = 0
    leader: str = ""
    orders_pending: bool = False
    stopped_at: Position | None = None
    stopped_term: int = 0
    keeps_leader: bool = False


NO_SUCCESSION = SuccessionRecord(0, "", "", "", Phase.ENDED)


class ClaimedByOther(NamedTuple):
    """Another coordinator's claim is in progress."""

    holder: str
    claim_id: str


class AlreadyReplaced(NamedTuple):
    """The server to be replaced is no longer the primary: ``leader`` is.

    ``may_be_outdated`` if the store may have lost a later replacement.
    """

    leader: str
    may_be_outdated: bool = False


class PromotionPending(NamedTuple):
    """The promotion of ``target`` may still be executed."""

    target: str


async def claim(
    store: ObjectStore,
    service: str,
    holder: str,
    claim_id: str,
    old_leader: str,
    stale_claim_id: str = "",
    only_target: str | None = None,
    gone_leader: str = "",
    keeps_leader: bool = False,
) -> Result[
    SuccessionRecord, StoreFailure | ClaimedByOther | AlreadyReplaced | PromotionPending
]:
    """Claim the next fencing token, with the target of an unfinished claim.

    A coordinator that continues with ``only_target`` alone is rejected while another
    one is pending: its claim would only keep others from it.

    A claim is of the era of the store in which it is written. One from an earlier era
    has no token any longer that only it may have: it is claimed again.

    Another coordinator's claim in progress is only taken over if it is
    ``stale_claim_id``, because that may be holding or releasing servers. Each has one
    replacement of a service at a time. The claim is rejected if another
    replacement was completed since ``old_leader`` was last known to lead, unless that
    left ``gone_leader``, which no longer leads.
    """

    def change(
        spec: dict[str, Any] | None,
    ) -> Result[
        dict[str, Any] | None, ClaimedByOther | AlreadyReplaced | PromotionPending
    ]:
        current = from_spec(SuccessionRecord, spec) if spec else NO_SUCCESSION
        era = store.era()
        if current.claim_id == claim_id and is_token_of(current.token, era):
            return Ok(None)
        if not _may_lead(old_leader, current) and current.leader != gone_leader:
            may_be_outdated = not is_token_of(current.token, era)
            return Err(AlreadyReplaced(current.leader, may_be_outdated))
        in_progress = current.phase is not Phase.ENDED
        is_other = current.holder != holder and current.claim_id != stale_claim_id
        if in_progress and is_other:
            return Err(ClaimedByOther(current.holder, current.claim_id))
        unfinished = current.phase is Phase.CHOSEN
        if unfinished and only_target is not None:
            if not current.target or only_target != current.target:
                return Err(PromotionPending(current.target))
        claimed = SuccessionRecord(
            token=next_token(current.token, era),
            claim_id=claim_id,
            holder=holder,
            old_leader=old_leader or current.old_leader,
            phase=Phase.CHOSEN if unfinished else Phase.CLAIMED,
            target=current.target if unfinished else "",
            target_born_ms=current.target_born_ms if unfinished else 0,
            leader=current.leader,
            orders_pending=current.orders_pending,
            stopped_at=current.stopped_at,
            stopped_term=current.stopped_term,
            keeps_leader=keeps_leader,
        )
        return Ok(to_spec(claimed))

    updated = await update(store, SUCCESSION_KIND, service, change, attempts=4)
    return updated.map(lambda stored: from_spec(SuccessionRecord, stored.spec))


def _may_lead(server_id: str, record: SuccessionRecord) -> bool:
    """Whether a server may be the primary as far as the record shows.

    An unfinished replacement is continued in any case, whoever leads meanwhile: a
    primary may have come back under another identifier.
    """
    if not server_id or not record.leader or server_id == record.leader:
        return True
    return record.phase is Phase.CHOSEN


async def write_claim_phase(
    store: ObjectStore, service: str, record: SuccessionRecord
) -> Result[None, StoreFailure | str]:
    """Write the next phase of a claim, provided that it is still the newest.

    Not where a new era of the store has begun: it may have lost a newer claim.
    """

    def change(spec: dict[str, Any] | None) -> Result[dict[str, Any] | None, str]:
        current = from_spec(SuccessionRecord, spec) if spec else NO_SUCCESSION
        if current.claim_id != record.claim_id:
            return Err(f"{current.holder} claimed token {current.token}")
        if not is_token_of(record.token, store.era()):
            return Err(f"token {record.token} is from before era {store.era()}")
        return Ok(None if current == record else to_spec(record))

    updated = await update(store, SUCCESSION_KIND, service, change, attempts=4)
    return updated.map(lambda _: None)
