"""The brokers of all regions, as far as this host knows the fleet."""

from collections import defaultdict
from collections.abc import Callable

from rattanhollow.membership import HostDirectory, HostRecord
from rattanhollow.peer import Peers
from rattanhollow.rates._brokers import (
    Brokers,
    broker_candidates,
    brokers_by_region,
)


class RegionBrokers:
    """Selects brokers among the hosts that are listed, respond and stay.

    ``region_of(zone)`` returns the region of an availability zone.
    """

    def __init__(
        self,
        own: Callable[[], HostRecord],
        hosts: HostDirectory,
        peers: Peers,
        region_of: Callable[[str], str],
    ) -> None:
        self._own = own
        self._hosts = hosts
        self._peers = peers
        self._region_of = region_of
        self._names: dict[str, list[str]] = {}
        self._names_version = -1

    @property
    def region_count(self) -> int:
        """The number of regions with hosts."""
        return len(self._names_by_region())

    def by_region(self) -> list[Brokers]:
        """Return the brokers of all regions, this host's own region first."""
        own_region = self._region_of(self._own().zone)
        return brokers_by_region(
            own_region, self._names_by_region(), self._is_available
        )

    def own_candidates(self) -> list[HostRecord]:
        """Return the other hosts of this region that are broker candidates."""
        own = self._own()
        regions = self._names_by_region()
        names = regions.get(self._region_of(own.zone), [])
        found = map(self._hosts.find, broker_candidates(names, len(regions)))
        return [r for r in found if r is not None and r.name != own.name]

    def _names_by_region(self) -> dict[str, list[str]]:
        changes = self._hosts.changes
        if changes != self._names_version:
            self._names_version = changes
            self._names = defaultdict(list)
            for record in self._hosts.all():
                self._names[self._region_of(record.zone)].append(record.name)
        return self._names

    def _is_available(self, name: str) -> bool:
        record = self._hosts.find(name)
        if record is None or record.leaving:
            return False
        return not self._peers.is_dark(record.peer)
