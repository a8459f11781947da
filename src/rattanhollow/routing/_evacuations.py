"""The availability zones whose backend servers operators have evacuated.

A server in such a zone is treated as one that leaves: it gets no new work that another
can do, and its primary is replaced. Once the time allowed for that is nearly over it
gets nothing at all. Does no I/O; the clock is passed in.
"""

from collections.abc import Callable
from typing import NamedTuple

from rattanhollow.observe import log_event

# Hosts may hear of an evacuation a second after it was acknowledged, and what they have
# sent takes its time to arrive.
STOP_MARGIN_S = 2.0
# Over this time the servers of a zone get their share of reads back: their caches are
# cold, and all hosts would return at once.
RETURN_S = 5.0


# Hosts compare their copies that often; where one has not for longer, it was cut off or
# suspended, and an evacuation that it hears of then may be older by as much.
USUAL_CONTACT_S = 1.5


class _Evacuation(NamedTuple):
    heard_at_s: float
    # How much earlier than usual it has to end, as it was heard late.
    late_s: float


class Evacuations:
    """The evacuated zones, and those that return to use; ``within_s`` to empty one.

    ``last_contact_s()`` is when this host last compared its copies with another one.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        within_s: float,
        last_contact_s: Callable[[], float] | None = None,
    ) -> None:
        self.within_s = within_s
        self._last_contact_s = last_contact_s or clock
        self._clock = clock
        self._evacuated: dict[str, _Evacuation] = {}
        self._returned_at_s: dict[str, float] = {}

    def begin(self, zone: str, is_news: bool) -> None:
        """Record that a zone is to be evacuated, unless that is known.

        One that is no news when it is heard may be of any age.
        """
        if zone in self._evacuated:
            return
        now_s = self._clock()
        late_s = max(0.0, now_s - self._last_contact_s() - USUAL_CONTACT_S)
        if not is_news:
            late_s = float("inf")
        self._evacuated[zone] = _Evacuation(now_s, late_s)
        self._returned_at_s.pop(zone, None)
        log_event("evacuation.begin", zone=zone, news=is_news, late_s=round(late_s, 1))

    def end(self, zone: str) -> None:
        """Record that a zone's servers may be used again."""
        if self._evacuated.pop(zone, None) is None:
            return
        self._returned_at_s[zone] = self._clock()
        log_event("evacuation.end", zone=zone)

    @property
    def zones(self) -> list[str]:
        """The zones that are evacuated."""
        return list(self._evacuated)

    def is_evacuated(self, zone: str) -> bool:
        """Whether a zone's servers are to get no new work that others can do."""
        return zone in self._evacuated

    def must_stop(self, zone: str) -> bool:
        """Whether a zone's servers must get nothing more."""
        evacuation = self._evacuated.get(zone)
        if evacuation is None:
            return False
        allowed_s = max(0.0, self.within_s - STOP_MARGIN_S - evacuation.late_s)
        return self._clock() - evacuation.heard_at_s >= allowed_s

    def returning_share(self, zone: str) -> float:
        """Return the share of its usual reads that a zone's servers may get, 0 to 1."""
        if zone in self._evacuated:
            return 0.0
        returned_at_s = self._returned_at_s.get(zone)
        if returned_at_s is None:
            return 1.0
        share = (self._clock() - returned_at_s) / RETURN_S
        if share >= 1.0:
            del self._returned_at_s[zone]
        return min(1.0, share)
