"""Selection of the hosts that watch the store on behalf of their availability zone."""

from collections.abc import Iterable

from rattanhollow.coordination import ranked
from rattanhollow.membership._hosts import HostRecord

RELAYS_PER_ZONE = 2


def select_relays(zone: str, records: Iterable[HostRecord]) -> list[HostRecord]:
    """Return the relays of a zone; every host with the same records selects the same.

    The ranking depends only on the names of the zone's hosts.
    """
    by_name = {record.name: record for record in records if record.zone == zone}
    return [by_name[name] for name in ranked("relay", by_name)[:RELAYS_PER_ZONE]]
