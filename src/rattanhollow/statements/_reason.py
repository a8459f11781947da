"""Why a request was refused, and what the refusal says about its effect."""

import enum


class Reason(enum.Enum):
    """Why a statement got no success; the caller's end spells it its own way."""

    BUSY = "no room for it in time"
    OVER_RATE = "over the organisation's rate"
    ABORTED = "the transaction was lost; nothing of it is kept"
    NOT_LEADER = "the backend server does not lead"
    BEHIND = "the log lacks what the session must see"
    IN_DOUBT = "it may have taken effect"
    TIMED_OUT = "no answer in time; it may have taken effect"
    FAILED = "the backend server failed it"
    MALFORMED = "not understood"
    NO_STATEMENT = "no prepared statement of this name"
    NO_KEY = "no such key, or withdrawn"
    NO_ROUTE = "no such route"


NOTHING_KEPT = frozenset(
    {
        Reason.BUSY,
        Reason.OVER_RATE,
        Reason.ABORTED,
        Reason.NOT_LEADER,
        Reason.BEHIND,
        Reason.NO_KEY,
        Reason.NO_ROUTE,
        Reason.NO_STATEMENT,
        Reason.MALFORMED,
    }
)
