"""What hosts agree on about replacing a primary, one object a service."""

import enum
from typing import Any, NamedTuple

from result import Err, Ok, Result

from rattanhollow.records import from_spec, to_spec
from rattanhollow.store import ObjectStore, StoreFailure, update

SUCCESSION_KIND = "successions"


class Phase(enum.Enum):
    """How far a replacement has come.

    ``CLAIMED``: its coordinator may hold replicas. ``CHOSEN``: the platform may
    have been told to promote ``target``. ``ENDED``: nothing is under way.
    """

    CLAIMED = "claimed"
    CHOSEN = "chosen"
    ENDED = "ended"


class SuccessionRecord(NamedTuple):
    """The newest replacement of a service's primary.

    ``token`` is its fencing token, ``claim_id`` tells claims of one host apart.
    ``target_born_ms`` identifies the start of the target.
    """

    token: int
    claim_id: str
    holder: str
    old_leader: str
    phase: Phase
    target: str = ""
    target_born_ms: int = 0


NOTHING_YET = SuccessionRecord(0, "", "", "", Phase.ENDED)


class ClaimedByOther(NamedTuple):
    """Another coordinator's claim is under way."""

    holder: str
    claim_id: str


async def claim(
    store: ObjectStore,
    service: str,
    holder: str,
    claim_id: str,
    old_leader: str,
    may_override: str = "",
) -> Result[SuccessionRecord, StoreFailure | ClaimedByOther]:
    """Claim the next fencing token, with the target of an unfinished claim.

    A claim that is under way is only taken over where it is ``may_override``:
    its coordinator may be holding servers or letting them go.
    """

    def change(
        spec: dict[str, Any] | None,
    ) -> Result[dict[str, Any] | None, ClaimedByOther]:
        current = from_spec(SuccessionRecord, spec) if spec else NOTHING_YET
        if current.claim_id == claim_id:
            return Ok(None)
        busy = current.phase is not Phase.ENDED
        if busy and current.claim_id != may_override:
            return Err(ClaimedByOther(current.holder, current.claim_id))
        unfinished = current.phase is Phase.CHOSEN
        claimed = SuccessionRecord(
            token=current.token + 1,
            claim_id=claim_id,
            holder=holder,
            old_leader=old_leader,
            phase=Phase.CHOSEN if unfinished else Phase.CLAIMED,
            target=current.target if unfinished else "",
            target_born_ms=current.target_born_ms if unfinished else 0,
        )
        return Ok(to_spec(claimed))

    written = await update(store, SUCCESSION_KIND, service, change, attempts=4)
    return written.map(lambda stored: from_spec(SuccessionRecord, stored.spec))


async def advance(
    store: ObjectStore, service: str, record: SuccessionRecord
) -> Result[None, StoreFailure | str]:
    """Write the next phase of a claim that is still the newest."""

    def change(spec: dict[str, Any] | None) -> Result[dict[str, Any] | None, str]:
        current = from_spec(SuccessionRecord, spec) if spec else NOTHING_YET
        if current.claim_id != record.claim_id:
            return Err(f"{current.holder} claimed token {current.token}")
        return Ok(None if current == record else to_spec(record))

    written = await update(store, SUCCESSION_KIND, service, change, attempts=4)
    return written.map(lambda _: None)
