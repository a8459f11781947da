"""Decoding of what others write into the store of the platform, and its errors."""

from typing import Any

import pytest

from rattanhollow.configuration import Consistency, digest_of
from rattanhollow.platform import read_routes, read_server
from rattanhollow.routing import ServerDirectory
from rattanhollow.store import Revision, Stored
from rattanhollow_standins.platform._cluster import KEY, ORGANISATION, configuration

SERVER = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "lothian-a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_left_ms": 0,
    "db_role": "replica",
    "seq_no": 4,
    "born": 1767702750744,
}


def stored(version: int = 7, **changes: Any) -> Stored:
    """Return the stored entry of a server with some fields changed."""
    return Stored("servers", "i-7f", Revision(version), {**SERVER, **changes})


def test_a_server_is_decoded() -> None:
    """Each field is mapped to the field of `BackendServer`."""
    server = read_server(stored()).unwrap()
    assert (server.id, server.address, server.port) == ("i-7f", "10.128.0.9", 8080)
    assert (server.slots, server.draining, server.leads) == (3, False, False)
    assert (server.born_ms, server.version) == (1767702750744, Revision(7))


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("service", None),
        ("service", 7),
        ("address", "nowhere"),
        ("address", "10.0.0.1:x"),
        ("slots", "3"),
        ("slots", 0),
        ("slots", 2.5),
        ("slots", True),
        ("state", "sleeping"),
        ("db_role", "queen"),
        ("born", -1),
        ("born", "yesterday"),
        ("cold_left_ms", None),
    ],
)
def test_a_malformed_server_is_refused(field: str, value: Any) -> None:
    """The reason names the field."""
    assert field in read_server(stored(**{field: value})).unwrap_err()


def test_a_malformed_entry_adds_no_server() -> None:
    """An unreadable entry is ignored; the other servers remain."""
    directory = ServerDirectory(read_server, lambda: 0.0)
    directory.apply_description(stored(), "i-7f")
    assert [server.id for server in directory.list_servers("huvo11a")] == ["i-7f"]
    directory.apply_description(stored(8, state="?"), "i-8a")
    assert [server.id for server in directory.list_servers("huvo11a")] == ["i-7f"]


def test_a_configuration_is_decoded() -> None:
    """Routes are indexed by the name that callers request, keys by digest."""
    routes = read_routes(configuration(3)).unwrap()
    assert routes.version == 3
    assert routes.routes["bounded"].consistency is Consistency.BOUNDED
    assert routes.routes["bounded"].max_age_ms == 1_500
    assert routes.organisation_of(digest_of(KEY)) == ORGANISATION
    assert routes.organisation_of(digest_of("other")) is None
    assert routes.transaction_idle_ms == 1_000


@pytest.mark.parametrize(
    ("part", "value"),
    [
        ("version", "3"),
        ("routes", None),
        ("routes", [{"host": "a"}]),
        ("services", []),
        ("tenants", [{"name": "a", "api_keys": "k"}]),
        ("tenants", [{"name": "a", "api_keys": [7]}]),
        ("tenants", [{"name": "a", "api_keys": [], "rate_per_s": "many"}]),
    ],
)
def test_a_malformed_configuration_is_refused(part: str, value: Any) -> None:
    """The outcome is an error, never a partial configuration."""
    assert read_routes({**configuration(3), part: value}).is_err()


def test_a_fractional_rate_is_rounded_down() -> None:
    """A rate that is not a whole number is accepted."""
    tenant = {"name": "a", "api_keys": [], "rate_per_s": 12.8, "burst": 3.0}
    routes = read_routes(configuration(3, tenants=[tenant])).unwrap()
    assert routes.organisations["a"].rate_per_s == 12


def test_home_regions_and_cold_limits_are_decoded() -> None:
    """They were ignored, so that statements left the regions that may see them."""
    content = configuration(1)
    content["routes"][0]["allowed_regions"] = ["lothian"]
    content["tenants"][0]["allowed_regions"] = ["lothian", "tayside"]
    content["services"][0] |= {"cold_per_s": 2.5, "cold_s": 4}
    table = read_routes(content).unwrap()
    homes = [route.home_regions for route in table.routes.values()]
    assert homes == [("lothian",), (), ()]
    assert table.home_regions == {ORGANISATION: ("lothian", "tayside")}
    (service,) = table.services.values()
    assert (service.cold_per_s, service.cold_s) == (2.5, 4.0)


@pytest.mark.parametrize("regions", ["lothian", [7], [""]])
def test_malformed_home_regions_are_refused(regions: Any) -> None:
    """A list that is read as empty would let statements go anywhere."""
    content = configuration(1)
    content["tenants"][0]["allowed_regions"] = regions
    assert "allowed_regions" in read_routes(content).unwrap_err()
