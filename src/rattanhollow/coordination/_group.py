"""The agreed state of a database group, stored as a single object."""

import enum
from typing import Any, NamedTuple

from rattanhollow.coordination._position import Position
from rattanhollow.records import from_spec, to_spec

GROUP_KIND = "groups"
SUCCESSIONS_KEPT = 16


class Succession(NamedTuple):
    """The start of a term; ``end`` is the log end that its primary started from."""

    term: int
    end: Position


class GroupState(NamedTuple):
    """The leadership of a group.

    ``term`` and ``primary`` are those of the last published election.
    ``claimed_term`` is at least as high, and belongs to the election ``claim_id``,
    which may still be running. ``members`` and ``copies`` determine how the term's
    commits are confirmed; a change of them takes effect only with an election.
    """

    term: int
    primary: str
    claimed_term: int
    claim_id: str
    claimed_by: str
    successions: tuple[Succession, ...] = ()
    members: tuple[str, ...] = ()
    copies: int = 0


NO_GROUP = GroupState(0, "", 0, "", "")


class Survival(enum.Enum):
    """Whether a write is in the log of a later term."""

    SURVIVED = "the later primary has it"
    LOST = "the later primary does not have it"
    UNKNOWN = "the terms between are not known"


def group_state_spec(state: GroupState) -> dict[str, Any]:
    """Return the state in the form in which it is stored."""
    return to_spec(state)


def group_state_from_spec(spec: dict[str, Any]) -> GroupState:
    """Return the state for an object read from the store.

    Raises:
        RecordError: the object is not a group state.

    """
    return from_spec(GroupState, spec)


def survival_of(
    position: Position, proven_term: int, successions: tuple[Succession, ...]
) -> Survival:
    """Whether the log of ``proven_term`` holds the write at ``position``.

    Goes back term by term from ``proven_term``, each time to the log that the term
    started from. The result is final only once a majority holds an entry of
    ``proven_term``; until then, a later election may still start from an older log.
    """
    start_ends = {item.term: item.end for item in successions}
    term = proven_term
    while term > position.term:
        end = start_ends.get(term)
        if end is None:
            return Survival.UNKNOWN
        if end.term == position.term and position.offset > end.offset:
            return Survival.LOST
        term = end.term
    return Survival.SURVIVED if term == position.term else Survival.LOST
