"""Statements stay in the home regions of their route and organisation.

No network: scripted serving hosts and simulated time.
"""

from collections.abc import Iterator
from typing import Any

import pytest
import trio

from rattanhollow.configuration import Consistency
from rattanhollow.membership import HostRecord
from rattanhollow.routing import (
    DispatcherDependencies,
    Outcome,
    WorkDispatcher,
    ZoneTopology,
    combine_home_regions,
)
from rattanhollow.serving import Blocker, WorkKind, WorkOutcome, not_run
from rattanhollow.statements import NOTHING_KEPT, Completed, Refused
from test_routing import (
    ZONES,
    RouterHarness,
    make_request,
    run_scenario,
    succeed,
)

REGIONS = {zone: zone.removesuffix("-a") for zone in ZONES}


@pytest.mark.parametrize(
    ("route", "organisation", "combined"),
    [
        ((), (), None),
        (("a",), (), {"a"}),
        ((), ("a", "b"), {"a", "b"}),
        (("a", "b"), ("b", "c"), {"b"}),
        (("a",), ("b",), set()),
    ],
)
def test_both_lists_of_regions_apply(
    route: tuple[str, ...], organisation: tuple[str, ...], combined: set[str] | None
) -> None:
    """No common region must not be read as no restriction."""
    assert combine_home_regions(route, organisation) == combined


def not_run_refusal(outcome: Outcome) -> Refused:
    """Return the refusal of a statement of which nothing ran."""
    assert isinstance(outcome.answer, Refused)
    assert outcome.answer.reason in NOTHING_KEPT
    return outcome.answer


def test_a_read_never_leaves_its_home_regions() -> None:
    """Neither a failed nor a hedged read goes to a server elsewhere."""

    async def script(server: str, work: Any) -> Any:
        return not_run(Blocker.FAILING, "fails")

    async def scenario(harness: RouterHarness) -> None:
        request = make_request()._replace(homes=frozenset({"highland-a"}))
        not_run_refusal(await harness.router.read(request))
        assert set(harness.servers) == {"i-2"}

    run_scenario(script, scenario)


@pytest.mark.parametrize("kind", [WorkKind.READ, WorkKind.WRITE])
def test_a_primary_elsewhere_is_refused_at_once(kind: WorkKind) -> None:
    """The statement would wait for its deadline, or run where it must not."""

    async def scenario(harness: RouterHarness) -> None:
        request = make_request(kind, Consistency.NEWEST)
        request = request._replace(homes=frozenset({"tayside-a"}))
        run = harness.router.write if kind is WorkKind.WRITE else harness.router.read
        answer = not_run_refusal(await run(request))
        assert "home regions" in answer.detail and answer.retry_after_ms > 0
        assert harness.servers == []

    run_scenario(succeed, scenario)


def test_no_common_region_is_refused_at_once() -> None:
    """An empty intersection allows no server, not all."""

    async def scenario(harness: RouterHarness) -> None:
        request = make_request()._replace(homes=frozenset())
        assert (
            "home regions" in not_run_refusal(await harness.router.read(request)).detail
        )
        assert (harness.servers, harness.proofs) == ([], 0)

    run_scenario(succeed, scenario)


def test_a_lost_server_in_the_home_regions_is_replaced_by_another_there() -> None:
    """The loss of a server must not send reads to a third region."""

    async def script(server: str, work: Any) -> Any:
        if server == "i-2":
            return not_run(Blocker.NOT_SERVED, "no host reaches it")
        return await succeed(server, work)

    async def scenario(harness: RouterHarness) -> None:
        homes = frozenset({"highland-a", "lothian-a"})
        outcome = await harness.router.read(make_request()._replace(homes=homes))
        assert isinstance(outcome.answer, Completed)
        assert harness.servers == ["i-2", "i-0"]

    run_scenario(script, scenario)


class _Hosts:
    """The hosts of a fleet, one a zone; hosts in ``dark_zones`` do not respond."""

    changes = 1

    def __init__(self, dark_zones: set[str]) -> None:
        self.dark_zones = dark_zones
        self.asked: list[str] = []

    def active_hosts(self) -> list[HostRecord]:
        return [_record(zone) for zone in ZONES]

    def find(self, name: str) -> HostRecord:
        return _record(name)

    def is_dark(self, peer: Any) -> bool:
        return peer.name in self.dark_zones

    async def ask(self, peer: Any, question: Any, timeout_ms: int) -> Any:
        self.asked.append(peer.name)
        return _Answer()


class _Answer:
    def ok(self) -> Any:
        return not_run(Blocker.NOT_SERVED, "not known")

    def err(self) -> Any:
        return None


def _record(zone: str) -> HostRecord:
    return HostRecord(zone, "10.0.0.1", zone, 1, "", "i")


@pytest.mark.parametrize("dark_zones", [set(), {"highland-a"}])
def test_a_statement_is_sent_to_no_host_outside_its_home_regions(
    dark_zones: set[str],
) -> None:
    """A host elsewhere took over for serving hosts that were lost."""

    async def scenario(harness: RouterHarness) -> None:
        hosts = _Hosts(dark_zones)
        topology = ZoneTopology("tayside-a", REGIONS)
        dependencies: Iterator[Any] = iter([hosts, hosts, None, topology])
        dispatcher = WorkDispatcher(
            DispatcherDependencies(lambda: _record("tayside-a"), *dependencies)
        )
        server = harness.directory.find("i-2")
        assert server is not None
        work = make_request().work
        dispatcher.run_on_host = _run_elsewhere(  # type: ignore[method-assign]
            dispatcher.run_on_host
        )
        dispatched = await dispatcher.run(server, work, frozenset({"highland"}))
        assert dispatched.result.outcome is WorkOutcome.NOT_RUN
        assert hosts.asked == ([] if dark_zones else ["highland-a"])

    run_scenario(lambda server, work: succeed(server, work), scenario)


def _run_elsewhere(run_on_host: Any) -> Any:
    """Return ``run_on_host``, with a host of its own that serves nothing."""

    async def run(host: str, work: Any) -> Any:
        if host == "tayside-a":
            return not_run(Blocker.NOT_SERVED, "not served here")
        return await run_on_host(host, work)

    return run


@pytest.mark.parametrize("homes", [frozenset(), frozenset({"nowhere"})])
def test_a_write_without_a_home_server_is_refused_at_once_without_a_leader(
    homes: frozenset[str],
) -> None:
    """While no primary was known, it was held until its deadline."""

    async def scenario(harness: RouterHarness) -> None:
        harness.directory.record_leader_denial("i-0")
        request = make_request(WorkKind.WRITE)._replace(homes=homes)
        answer = not_run_refusal(await harness.router.write(request))
        assert "home regions" in answer.detail and answer.retry_after_ms > 0
        assert (harness.servers, trio.current_time()) == ([], 0.0)

    run_scenario(succeed, scenario)


def test_a_read_whose_home_zones_are_evacuated_is_refused_at_once() -> None:
    """A server elsewhere, which it may not use, had it held until its deadline."""

    async def scenario(harness: RouterHarness) -> None:
        harness.directory.evacuations.begin("tayside-a", is_news=True)
        request = make_request()._replace(homes=frozenset({"tayside-a"}))
        answer = not_run_refusal(await harness.router.read(request))
        assert "evacuated" in answer.detail and answer.retry_after_ms > 0
        assert (harness.servers, trio.current_time()) == ([], 0.0)

    run_scenario(succeed, scenario)
