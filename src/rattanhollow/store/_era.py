"""The era in which the store answers, as its client hears of it."""

import re
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import trio
from result import Err, Ok, Result

from rattanhollow.observe import log_event
from rattanhollow.store._api import StoreFailure, Trouble
from rattanhollow.store._revision import NO_REVISION, Revision

ERA_HEADER = "store-era"
# As many digits as fit into the messages between hosts.
_ERA = re.compile(r"[0-9]{1,15}")


class EraMonitor:
    """Tells answers of the store's present era from those of earlier ones.

    ``era`` is the newest one heard of, 0 before and for a store that has none. A new
    one calls ``on_change`` and ends all watches.
    """

    def __init__(self, on_change: Callable[[], None] = lambda: None) -> None:
        self.era = 0
        self._on_change = on_change
        self._has_heard = False
        self._reported: set[str] = set()
        self._watches: set[trio.CancelScope] = set()

    def take(self, header: str | None) -> Result[int, StoreFailure]:
        """Take the era of an answer; an ``Err`` if the answer can't be used.

        A call that got such an answer may have been executed.
        """
        if header is None:
            self._has_heard = True
            return Ok(self.era)
        if not _ERA.fullmatch(header):
            return self._refuse("unreadable", f"the era {header[:20]!r} can't be read")
        era = int(header)
        if era < self.era:
            return self._refuse("earlier", f"the era {era} is before {self.era}")
        if era > self.era:
            self._begin(era)
        self._has_heard = True
        return Ok(era)

    def check(self, condition: Revision) -> StoreFailure | None:
        """Return why a call on a condition must not be made, None if it may be.

        Its number may belong to another change of the object by now.
        """
        if condition == NO_REVISION or condition.era >= self.era:
            return None
        detail = f"revision {condition} is of an earlier era than {self.era}"
        return StoreFailure(Trouble.CONFLICT, detail)

    def check_watch(self, since: Revision) -> StoreFailure | None:
        """Return why a watch from a revision must not be made, None if it may be."""
        if since.era >= self.era:
            return None
        return _gone(since, self.era)

    @contextmanager
    def watch(self) -> Iterator[trio.CancelScope]:
        """Cancel what is awaited inside when a new era begins."""
        with trio.CancelScope() as scope:
            self._watches.add(scope)
            try:
                yield scope
            finally:
                self._watches.discard(scope)

    def _begin(self, era: int) -> None:
        previous, self.era = self.era, era
        if not self._has_heard:
            return
        log_event("store.era_changed", era=era, previous_era=previous)
        self._on_change()
        for scope in self._watches:
            scope.cancel()

    def _refuse(self, cause: str, detail: str) -> Result[int, StoreFailure]:
        if cause not in self._reported:
            self._reported.add(cause)
            log_event("store.era_refused", reason=detail)
        return Err(StoreFailure(Trouble.UNREACHABLE, detail))


def check_events(since: Revision, era: int) -> StoreFailure | None:
    """Return why what an answer reports doesn't follow a revision, None if it does."""
    return None if since.era == era else _gone(since, era)


def check_condition(condition: Revision, era: int) -> StoreFailure | None:
    """Return why an executed call doesn't count, None if it does.

    A condition that the store met in another era was about another change.
    """
    if condition == NO_REVISION or condition.era == era:
        return None
    detail = f"done in era {era} on a condition of era {condition.era}"
    return StoreFailure(Trouble.CONFLICT, detail)


def _gone(since: Revision, era: int) -> StoreFailure:
    return StoreFailure(Trouble.GONE, f"revision {since} is not of era {era}")
