"""The settings of a host that serves callers and backend servers in lines."""

from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from rattanhollow.limits import CallerLimits
from rattanhollow.settings._ini import (
    Field,
    Section,
    boolean,
    integer,
    ip_address,
    number,
    read_file,
    read_ini,
    text,
)
from rattanhollow.settings._proxy import (
    HELD_KB,
    HIGHEST_PORT,
    HOUR_MS,
    LOWEST_HELD_KB,
    LOWEST_MEMORY_MB,
    MANY,
    MembershipSettings,
)

_PORT = integer(1, HIGHEST_PORT)
_DURATION_MS = integer(1, HOUR_MS)
_DURATION_S = integer(1, HOUR_MS // 1000)
# 112 are reserved at least.
LOWEST_DESCRIPTORS = 160


class Endpoint(NamedTuple):
    """An IP number and a port."""

    address: str
    port: int


class PlaceSettings(NamedTuple):
    """Which host this is; ``regions`` gives the region of each zone."""

    name: str
    address: str
    zone: str
    regions: dict[str, str]


class ListenAddresses(NamedTuple):
    """Where this host answers callers, the balancer, operators and other hosts."""

    callers: Endpoint
    readiness: Endpoint
    metrics_port: int
    peer_port: int


class Upstreams(NamedTuple):
    """The platform's store, and where promotions are ordered."""

    store: Endpoint
    promotion: Endpoint | None


class ColdSettings(NamedTuple):
    """How far a cold server's limit may be exceeded in any second.

    It gets at most its limit times ``excess_ratio`` plus ``slack`` requests.
    """

    excess_ratio: float
    slack: int


class AdmissionSettings(NamedTuple):
    """Whether work is refused as soon as scarce slots can't run it in time."""

    scarce_slots: bool


class CrossingSettings(NamedTuple):
    """The wait that a read must save to leave its zone or region, 0 for no such rule.

    The rule is off where both are 0.
    """

    zone_ms: int
    region_ms: int


class LineHostSettings(NamedTuple):
    """All settings of a host.

    ``stop_s`` is how long a stop may take, ``configuration_ms`` how soon an
    accepted configuration has to be in force, ``drain_ms`` how soon behind its
    announcement a leaving backend server must get no new work, ``heartbeat_ms`` how
    often backend servers describe themselves, ``evacuate_ms`` how soon behind an
    evacuation's acknowledgement its zone's servers must get nothing more.
    ``rate_settle_ms`` is how long a new host takes no part of the organisations' rates,
    so that all others count it, ``rate_slack`` how many operations operators allow
    above rate and burst.
    ``first_start`` where the whole fleet starts for the first time, ``shared_start``
    where hosts that start together list the store on behalf of one another.
    ``requested`` are the capabilities that the platform asks for, in its own words.
    """

    place: PlaceSettings
    first_start: bool
    shared_start: bool
    listen: ListenAddresses
    upstreams: Upstreams
    stop_s: int
    configuration_ms: int
    drain_ms: int
    heartbeat_ms: int
    evacuate_ms: int
    cold: ColdSettings
    crossing: CrossingSettings
    admission: AdmissionSettings
    requested: frozenset[str]
    rate_settle_ms: int
    rate_slack: int
    limits: CallerLimits
    membership: MembershipSettings


def endpoint(value: str) -> Endpoint:
    """Read ``address:port``."""
    address, separator, port = value.rpartition(":")
    if not separator:
        raise ValueError(f"{value!r} is not address:port")
    return Endpoint(ip_address(address), _PORT(port))


def optional_endpoint(value: str) -> Endpoint | None:
    """Read ``address:port``, or nothing."""
    return endpoint(value) if value else None


def words(value: str) -> frozenset[str]:
    """Read words, separated by commas."""
    return frozenset(word.strip() for word in value.split(",") if word.strip())


def regions(value: str) -> dict[str, str]:
    """Read ``zone:region`` pairs, separated by commas."""
    found = {}
    for pair in value.split(","):
        zone, separator, region = pair.strip().partition(":")
        if not (zone and separator and region):
            raise ValueError(f"{pair!r} is not zone:region")
        found[zone] = region
    return found


def _or_default(read: Callable[[str], Any], default: Any) -> Callable[[str], Any]:
    """Return a reader that takes an empty value for ``default``.

    The platform renders nothing for a field that a deployment lacks.
    """

    def read_optional(value: str) -> Any:
        return read(value) if value else default

    return read_optional


LAYOUT: dict[str, Section] = {
    "host": {
        "name": Field(text),
        "address": Field(ip_address),
        "zone": Field(text),
        "regions": Field(regions),
        "first_start": Field(boolean, False),
        "shared_start": Field(boolean, False),
    },
    "listen": {
        "callers": Field(endpoint),
        "readiness": Field(endpoint),
        "metrics_port": Field(_PORT),
        "peer_port": Field(_PORT),
    },
    "platform": {
        "store": Field(endpoint),
        "promotion": Field(optional_endpoint, None),
        "requested": Field(words, frozenset()),
    },
    "bounds": {
        "stop_s": Field(_DURATION_S, 6),
        "configuration_ms": Field(_DURATION_MS, 4_000),
        "drain_ms": Field(_DURATION_MS, 7_000),
        "heartbeat_ms": Field(_DURATION_MS, 1_200),
        "evacuate_ms": Field(_or_default(_DURATION_MS, 5_000), 5_000),
        "cold_over": Field(_or_default(number(1, 100), 1.0), 1.0),
        "cold_slack": Field(_or_default(integer(0, 1_000_000), 0), 0),
    },
    "crossing": {
        "zone_ms": Field(integer(0, HOUR_MS), 0),
        "region_ms": Field(integer(0, HOUR_MS), 0),
    },
    "admission": {
        "scarce_slots": Field(boolean, False),
    },
    "rates": {
        "settle_ms": Field(_DURATION_MS, 1_500),
        "slack": Field(integer(0, 1_000_000), 0),
    },
    "limits": {
        "memory_mb": Field(_or_default(integer(LOWEST_MEMORY_MB, MANY), 0), 0),
        "descriptors": Field(_or_default(integer(LOWEST_DESCRIPTORS, MANY), 0), 0),
        "held_kb": Field(_or_default(integer(LOWEST_HELD_KB, HELD_KB), 0), 0),
        "organisation_kb": Field(_or_default(integer(LOWEST_HELD_KB, HELD_KB), 0), 0),
        "connection_kb": Field(_or_default(integer(LOWEST_HELD_KB, HELD_KB), 0), 0),
        "callers": Field(_or_default(integer(1, MANY), 0), 0),
        "http_connections": Field(_or_default(integer(1, 10_000), 16), 16),
        "pause_ms": Field(_or_default(_DURATION_MS, 2_000), 2_000),
    },
    "membership": {
        "ask_interval_ms": Field(_DURATION_MS, 1_000),
        "ask_timeout_ms": Field(_DURATION_MS, 800),
        "silent_after_ms": Field(_DURATION_MS, 8_000),
    },
}


def line_host_settings_from(file: str, content: str) -> LineHostSettings:
    """Return the settings in the INI text ``content``.

    Raises:
        SettingsError: an unknown, missing or bad entry; it names ``file``.

    """
    values = read_ini(file, content, LAYOUT)
    bounds = values["bounds"]
    first_start = values["host"].pop("first_start")
    shared_start = values["host"].pop("shared_start")
    requested = values["platform"].pop("requested")
    return LineHostSettings(
        place=PlaceSettings(**values["host"]),
        first_start=first_start,
        shared_start=shared_start,
        listen=ListenAddresses(**values["listen"]),
        upstreams=Upstreams(**values["platform"]),
        stop_s=bounds["stop_s"],
        configuration_ms=bounds["configuration_ms"],
        drain_ms=bounds["drain_ms"],
        heartbeat_ms=bounds["heartbeat_ms"],
        evacuate_ms=bounds["evacuate_ms"],
        cold=ColdSettings(bounds["cold_over"], bounds["cold_slack"]),
        crossing=CrossingSettings(**values["crossing"]),
        admission=AdmissionSettings(**values["admission"]),
        requested=requested,
        rate_settle_ms=values["rates"]["settle_ms"],
        rate_slack=values["rates"]["slack"],
        limits=CallerLimits(**values["limits"]),
        membership=MembershipSettings(**values["membership"]),
    )


def read_line_host_settings(file: Path) -> LineHostSettings:
    """Return the settings in ``file``; errors as `line_host_settings_from`."""
    return line_host_settings_from(str(file), read_file(file))
