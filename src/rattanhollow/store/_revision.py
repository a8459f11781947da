"""Revisions of the store, which are unique only within one of its eras."""

from typing import Any


class Revision:
    """When the store changed: ``number`` counts its changes within an ``era``.

    A store that comes back from an older copy of itself begins a new era and gives out
    the numbers since that copy again. Revisions are ordered by era first. The era is 0
    where the store has none.

    Not a named tuple: messages hold a revision of era 0 as a plain number, as builds
    without eras do.
    """

    __slots__ = ("era", "number")

    def __init__(self, number: int = 0, era: int = 0) -> None:
        self.number = number
        self.era = era

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, Revision):
            return NotImplemented
        return self.number == other.number and self.era == other.era

    def __lt__(self, other: "Revision") -> bool:
        return (self.era, self.number) < (other.era, other.number)

    def __le__(self, other: "Revision") -> bool:
        return (self.era, self.number) <= (other.era, other.number)

    def __gt__(self, other: "Revision") -> bool:
        return (self.era, self.number) > (other.era, other.number)

    def __ge__(self, other: "Revision") -> bool:
        return (self.era, self.number) >= (other.era, other.number)

    def __hash__(self) -> int:
        return hash((self.era, self.number))

    def __str__(self) -> str:
        return f"{self.era}.{self.number}" if self.era else str(self.number)

    def __repr__(self) -> str:
        return f"Revision({self.number}, era={self.era})"


# The revision of an object that does not exist, and of a copy that holds nothing yet.
NO_REVISION = Revision()


def revision_to_wire(revision: Revision) -> int | tuple[int, int]:
    """Return the form in which hosts send each other a revision."""
    if not revision.era:
        return revision.number
    return revision.era, revision.number


def revision_from_wire(value: Any) -> Revision:
    """Return the revision that another host sent.

    Raises:
        ValueError: the value is no revision.

    """
    if _is_whole(value):
        return Revision(value)
    match value:
        case [era, number] if _is_whole(era) and _is_whole(number):
            return Revision(number, era)
    raise ValueError("expected a revision")


def _is_whole(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0
