"""What operators and backend servers write into the platform's store."""

import re
import reprlib
from ipaddress import IPv4Address
from typing import Any

from result import Err, Ok, Result

from rattanhollow.configuration import (
    Consistency,
    Key,
    Organisation,
    Route,
    RouteTable,
    Service,
    digest_of,
)
from rattanhollow.platform import _words as words
from rattanhollow.serving import BackendServer
from rattanhollow.store import Stored

SERVER_KIND = "servers"
CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
EVACUATION_KIND = "evacuations"
# The part of the platform's rules that has home regions, cold servers and evacuations.
_PLACES = "places"
# The part that has scarce slots, bursts and callers that leave.
_PRESSURE = "pressure"

_STATES = ("ready", "draining")
_ROLES = (words.PRIMARY, "replica")
_CONSISTENCY = {
    words.PRIMARY: Consistency.NEWEST,
    "bounded_staleness": Consistency.BOUNDED,
    "read_your_writes": Consistency.SESSION,
}
_DEFAULT_TRANSACTION_IDLE_MS = 3_000
# Every reader of JSON holds integers up to here exactly.
HIGHEST_WHOLE = 2**53 - 1
HIGHEST_PORT = 65_535
WORD_CHARACTERS_AT_MOST = 256
_PORT = re.compile(r"[0-9]{1,5}")


class _Unusable(ValueError):
    """An entry that can't be used; the text says why."""


def read_server(stored: Stored) -> Result[BackendServer, str]:
    """Return the backend server that an entry describes, or why it describes none."""
    if stored.fault:
        return Err(stored.fault)
    spec = stored.spec
    try:
        address, port = _address(_text(spec, "address"))
        server = BackendServer(
            id=_word({"id": stored.name}, "id"),
            service=_word(spec, "service"),
            address=address,
            port=port,
            zone=_word(spec, "zone"),
            # How many statements it runs at the same time.
            slots=_whole(spec, "slots"),
            draining=_one_of(spec, "state", _STATES) == "draining",
            # Its own opinion of itself: a deposed primary may still hold it.
            leads=_one_of(spec, "db_role", _ROLES) == words.PRIMARY,
            cold_ms=_whole(spec, "cold_left_ms"),
            # The Unix time of its start, in milliseconds.
            born_ms=_whole(spec, "born"),
            version=stored.version,
        )
    except _Unusable as error:
        return Err(str(error))
    if server.slots < 1:
        return Err("slots: none")
    return Ok(server)


def evacuation_kind(requested: frozenset[str]) -> str:
    """Return the kind of the objects that evacuate a zone, each under its name.

    Empty where the platform has none: following them would cost calls.
    """
    return EVACUATION_KIND if _PLACES in requested else ""


def asks_scarce_slots(requested: frozenset[str]) -> bool:
    """Whether the platform asks hosts to refuse what scarce slots can't run in time."""
    return _PRESSURE in requested


def read_routes(spec: dict[str, Any]) -> Result[RouteTable, str]:
    """Return the configuration, or why it can't be used."""
    try:
        organisations = [_organisation(item) for item in _list(spec, "tenants")]
        routes = [_route(item) for item in _list(spec, "routes")]
        services = [_service(item) for item in _list(spec, "services")]
        table = RouteTable(
            version=_whole(spec, "version"),
            routes={route.name: route for route in routes},
            services={service.name: service for service in services},
            organisations={item.name: item for item in organisations},
            owners={
                key.digest: item.name for item in organisations for key in item.keys
            },
            transaction_idle_ms=_transaction_idle_ms(spec),
            home_regions=_home_regions_by_name(_list(spec, "tenants")),
        )
    except _Unusable as error:
        return Err(str(error))
    unknown = [r.name for r in routes if r.service not in table.services]
    if unknown:
        return Err(f"routes: {unknown[0]} names a service that isn't there")
    return Ok(table)


def _route(item: Any) -> Route:
    consistency = _one_of(item, "kind", tuple(_CONSISTENCY))
    return Route(
        # The name of the database that callers ask for, not of a machine.
        name=_text(item, "host"),
        service=_text(item, "service"),
        consistency=_CONSISTENCY[consistency],
        statement_timeout_ms=_whole(item, "timeout_ms"),
        target_ms=_whole(item, "target_latency_ms"),
        priority=_whole(item, "priority"),
        max_age_ms=_whole(item, "max_stale_ms", default=0),
        open=_flag(item, "anonymous"),
        home_regions=_home_regions(item),
    )


def _service(item: Any) -> Service:
    return Service(
        name=_text(item, "name"),
        # Of all callers together, at each server.
        connections=_whole(item, "max_conns"),
        copies=_whole(item, "sync_replicas", default=0),
        cold_per_s=_number(item, "cold_per_s"),
        cold_s=_number(item, "cold_s"),
    )


def _organisation(item: Any) -> Organisation:
    keys = _list(item, "api_keys")
    if not all(isinstance(key, str) and key for key in keys):
        raise _Unusable("api_keys: expected texts")
    return Organisation(
        name=_text(item, "name"),
        keys=tuple(Key(str(n), digest_of(key)) for n, key in enumerate(keys)),
        rate_per_s=_rate(item, "rate_per_s"),
        burst=_rate(item, "burst"),
    )


def _home_regions(item: Any) -> tuple[str, ...]:
    """Return the regions that may see a request's body, empty for all."""
    if _field(item, "allowed_regions") is None:
        return ()
    found = _list(item, "allowed_regions")
    if not all(isinstance(region, str) and region for region in found):
        raise _Unusable("allowed_regions: expected texts")
    return tuple(found)


def _home_regions_by_name(tenants: list[Any]) -> dict[str, tuple[str, ...]]:
    regions = {_text(item, "name"): _home_regions(item) for item in tenants}
    return {name: homes for name, homes in regions.items() if homes}


def _transaction_idle_ms(spec: Any) -> int:
    limits = spec.get("limits")
    if not isinstance(limits, dict):
        return _DEFAULT_TRANSACTION_IDLE_MS
    return _whole(limits, "tx_idle_ms", default=_DEFAULT_TRANSACTION_IDLE_MS)


def _field(item: Any, name: str) -> Any:
    if not isinstance(item, dict):
        raise _Unusable(f"expected a table with {name}")
    return item.get(name)


def _text(item: Any, name: str) -> str:
    value = _field(item, name)
    if not isinstance(value, str) or not value:
        raise _Unusable(f"{name}: expected a text, got {_shown(value)}")
    return value


def _word(item: Any, name: str) -> str:
    """Return a text that is a field of a line: neither blanks nor line ends."""
    value = _text(item, name)
    if not value.isprintable() or " " in value or len(value) > WORD_CHARACTERS_AT_MOST:
        raise _Unusable(f"{name}: expected a word, got {_shown(value)}")
    return value


def _whole(item: Any, name: str, default: int | None = None) -> int:
    value = _field(item, name)
    if value is None and default is not None:
        return default
    if not isinstance(value, int) or isinstance(value, bool):
        raise _Unusable(f"{name}: expected a whole number, got {_shown(value)}")
    if not 0 <= value <= HIGHEST_WHOLE:
        raise _Unusable(f"{name}: out of range")
    return value


def _rate(item: Any, name: str) -> int:
    """Return a rate in whole operations; a fraction is not granted."""
    return int(_number(item, name))


def _number(item: Any, name: str) -> float:
    """Return a number that isn't negative, 0 where it is missing."""
    value = _field(item, name)
    if value is None:
        return 0.0
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise _Unusable(f"{name}: expected a number, got {_shown(value)}")
    if not 0 <= value <= HIGHEST_WHOLE:
        raise _Unusable(f"{name}: out of range")
    return float(value)


def _flag(item: Any, name: str) -> bool:
    value = _field(item, name)
    if value is not None and not isinstance(value, bool):
        raise _Unusable(f"{name}: expected true or false, got {_shown(value)}")
    return bool(value)


def _one_of(item: Any, name: str, known: tuple[str, ...]) -> str:
    value = _text(item, name)
    if value not in known:
        raise _Unusable(f"{name}: unknown value {_shown(value)}")
    return value


def _list(item: Any, name: str) -> list[Any]:
    value = _field(item, name)
    if not isinstance(value, list):
        raise _Unusable(f"{name}: expected a list, got {_shown(value)}")
    return value


def _address(text: str) -> tuple[str, int]:
    address, _, port = text.rpartition(":")
    try:
        IPv4Address(address)
    except ValueError:
        raise _Unusable(f"address: {_shown(text)} has no IPv4 address") from None
    # Few ASCII digits: `int` takes other digits, and raises for thousands of them.
    if not _PORT.fullmatch(port) or not 0 < int(port) <= HIGHEST_PORT:
        raise _Unusable(f"address: {_shown(text)} has no port")
    return address, int(port)


def _shown(value: Any) -> str:
    """Return a value for a log, cut to a bounded length."""
    if isinstance(value, int):
        # Integers of thousands of digits have no text.
        return str(value) if -HIGHEST_WHOLE <= value <= HIGHEST_WHOLE else "an integer"
    return reprlib.repr(value)
