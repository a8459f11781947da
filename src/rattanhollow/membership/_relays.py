"""Which hosts watch the store for all others of their availability zone."""

from collections.abc import Iterable

from rattanhollow.coordination import ranked
from rattanhollow.membership._hosts import HostRecord

RELAYS_IN_A_ZONE = 2


def relays_of(zone: str, records: Iterable[HostRecord]) -> list[HostRecord]:
    """Return the hosts of a zone that watch, the same ones everywhere."""
    by_name = {record.name: record for record in records if record.zone == zone}
    return [by_name[name] for name in ranked("relay", by_name)[:RELAYS_IN_A_ZONE]]
