"""Which other hosts are asked what a few of them can tell."""

from rattanhollow.membership import HostDirectory, HostRecord
from rattanhollow.peer import Peers

ASKED_IN_A_ZONE = 2


def sample_of_zones(
    hosts: HostDirectory, peers: Peers, own_name: str
) -> list[HostRecord]:
    """Return a few active hosts of each availability zone that are not dark."""
    by_zone: dict[str, list[HostRecord]] = {}
    for record in hosts.active_hosts():
        if record.name != own_name and not peers.is_dark(record.peer):
            by_zone.setdefault(record.zone, []).append(record)
    return [
        record for records in by_zone.values() for record in records[:ASKED_IN_A_ZONE]
    ]
