"""Distribution of a large configuration over links of 10 Mbit/s.

Whole copies held up liveness checks and callers' statements, and were requested again
when they were late. Time is simulated, and the store is in memory.
"""

import copy
import random
from typing import Any

import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from config_fleet import ConfigFleet, config_version, configuration, measure, run_with
from memory_fleet import PROPAGATION_DEADLINE_S, MemoryHost
from rattanhollow.host._polls import PollParts, _compare_configurations
from rattanhollow.membership._gossip import digest_copy
from rattanhollow.membership._pieces import BYTES_PER_S, LONGEST_WAIT_S, Pacer
from rattanhollow.peer import (
    Copy,
    CopyNews,
    CopyQuestion,
    CopyState,
    DifferenceNews,
    PieceAnswer,
)
from rattanhollow.store import (
    LARGE_OBJECT_BYTES,
    NO_REVISION,
    EventType,
    Follower,
    Revision,
    Step,
    Stored,
    Unfit,
    apply_steps,
    encode_content,
    make_step,
)
from rattanhollow_standins.platform import LineCluster
from rattanhollow_standins.platform._cluster import configuration as line_configuration
from rattanhollow_standins.platform._cluster import route as line_route

ROUTES, HOSTS = 1_000, 24
# What the page allows a liveness check to wait on a link of 10 Mbit/s.
LONGEST_LINK_WAIT_S = 0.05
LARGEST_MESSAGE_BYTES = 8 * 1024 + 100
JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-3, 3) | st.floats(-1, 1) | st.text("ab"),
    lambda part: st.lists(part, max_size=6) | st.dictionaries(st.text("ab"), part),
    max_leaves=25,
)


@given(st.dictionaries(st.text("ab"), JSON), st.dictionaries(st.text("ab"), JSON))
def test_a_step_gives_exactly_the_newer_content(base: Any, result: Any) -> None:
    """A difference that lost a change, or a type, would differ between hosts."""
    kept = encode_content(base)
    found = apply_steps(
        base, [make_step("x", (Revision(1), base), (Revision(2), result))]
    )
    assert encode_content(found) == encode_content(result)
    assert encode_content(base) == kept


@given(st.binary(max_size=60))
def test_damaged_steps_are_refused(data: bytes) -> None:
    """Bytes from the network must raise nothing that ends a task."""
    with pytest.raises(Unfit):
        apply_steps({"routes": []}, [Step("main", Revision(1), Revision(2), 0, data)])


@pytest.mark.parametrize(("routes", "hosts"), [(100, 24), (1_000, 24), (10_000, 8)])
def test_a_changed_route_costs_the_same_at_any_size(routes: int, hosts: int) -> None:
    """Bytes grow with the change; before, each host was sent all routes twice."""
    cost = measure(routes, hosts)
    assert cost.bytes_a_host < 1_000
    assert cost.crossing_bytes < 5_000
    assert cost.largest_bytes < 1_000
    assert cost.longest_wait_s < LONGEST_LINK_WAIT_S
    assert cost.took_s < 1.0


@pytest.mark.parametrize("seed", range(2))
def test_copies_that_all_hosts_ask_for_leave_the_links_free(seed: int) -> None:
    """At a start and at a large change, whole copies filled the relays' links."""
    fleet = ConfigFleet(ROUTES, seed)

    async def main() -> None:
        assert not fleet.behind(1)
        # The host records travel whole at a first start, as before.
        sizes = [sent.size for sent in fleet.sent if sent.type != "CopyNews"]
        assert max(sizes) <= LARGEST_MESSAGE_BYTES
        fleet.sent.clear()
        version = fleet.change(lambda spec: _rename(spec, 400))
        assert await fleet.wait_for(version, PROPAGATION_DEADLINE_S) < 4.0
        assert any(sent.type == "PieceAnswer" for sent in fleet.sent)
        assert max(sent.size for sent in fleet.sent) <= LARGEST_MESSAGE_BYTES
        assert max(sent.waited_s for sent in fleet.sent) < LONGEST_LINK_WAIT_S

    run_with(fleet, 6 * HOSTS, main)


def _rename(spec: dict[str, Any], routes: int) -> None:
    """Change so much that, for many routes, no difference is sent unasked."""
    for number, route in enumerate(spec["routes"][:routes]):
        route["host"] = f"{random.Random(number).getrandbits(128):x}"


def test_a_small_configuration_travels_as_before() -> None:
    """Deployments that have no large object see no new message."""
    fleet = ConfigFleet(30)

    async def main() -> None:
        assert await fleet.wait_for(fleet.change_route(999), 1.0) < 1.0
        assert {sent.type for sent in fleet.sent} == {
            "CopyNews",
            "ChangeNews",
            "CopyQuestion",
            "CopyAnswer",
        }

    run_with(fleet, 12, main)


@pytest.mark.parametrize("edited", [3, 400])
@pytest.mark.parametrize("seed", range(2))
def test_lost_relays_are_compensated(seed: int, edited: int) -> None:
    """The zone of lost relays compares with others, also where pieces are due."""
    fleet = ConfigFleet(ROUTES, seed)

    async def main() -> None:
        relays = [n for n, host in fleet.hosts.items() if host.gossip.is_relay()]
        fleet.cut = {name for name in relays if int(name[1:]) % 6 == 0}
        assert fleet.cut

        version = fleet.change(lambda spec: _rename(spec, edited))
        took_s = await fleet.wait_for(version, PROPAGATION_DEADLINE_S)
        assert took_s < PROPAGATION_DEADLINE_S
        assert max(sent.size for sent in fleet.sent) <= LARGEST_MESSAGE_BYTES

    run_with(fleet, HOSTS, main)


def _lagging_host(fleet: ConfigFleet) -> MemoryHost:
    """Return a host that is no relay and whose base nobody has a step from."""
    host = next(h for h in fleet.hosts.values() if not h.gossip.is_relay())
    follower = host.followers[0]
    known = follower.items["main"]
    spec = {**known.spec, "version": 0}
    earlier = Revision(known.version.number - 1)
    follower.items["main"] = known._replace(version=earlier, spec=spec)
    follower.version = earlier
    return host


@pytest.mark.parametrize("seed", range(3))
def test_a_transfer_resumes_at_another_host(seed: int) -> None:
    """A link that is cut halfway costs no piece that arrived before."""
    fleet = ConfigFleet(ROUTES, seed)

    async def main() -> None:
        host = _lagging_host(fleet)
        fleet.table.faults.down = True
        offsets: list[int] = []

        def hears(receiver: str, message: Any) -> None:
            is_piece = isinstance(message, PieceAnswer) and message.data
            if is_piece and receiver == host.record.name:
                offsets.append(message.offset)
                if len(offsets) == 2:
                    zone = host.record.zone
                    fleet.cut = {
                        name
                        for name, other in fleet.hosts.items()
                        if other.record.zone == zone and other is not host
                    }

        fleet.hears = hears
        await trio.sleep(PROPAGATION_DEADLINE_S)
        assert config_version(host) == max(map(config_version, fleet.hosts.values()))
        # The second piece was lost with its link, and is the only one sent again.
        assert offsets.count(0) == 1
        assert len(offsets) == len(set(offsets)) + 1

    run_with(fleet, HOSTS, main)


def test_hosts_pass_copies_on_while_the_store_is_down() -> None:
    """A host that missed a change needs the store neither for steps nor for pieces."""
    fleet = ConfigFleet(ROUTES)

    async def main() -> None:
        host = next(h for h in fleet.hosts.values() if not h.gossip.is_relay())
        fleet.cut = {host.record.name}
        version = fleet.change_route(1)
        await trio.sleep(1.0)
        fleet.table.faults.down = True
        fleet.cut, fleet.sent = set(), []
        assert await fleet.wait_for(version, PROPAGATION_DEADLINE_S) < 4.0
        assert sum(sent.size for sent in fleet.sent) / HOSTS < 3_000
        _lagging_host(fleet)
        assert await fleet.wait_for(version, PROPAGATION_DEADLINE_S) < 4.0

    run_with(fleet, HOSTS, main)


def test_a_base_that_differs_is_replaced_in_pieces() -> None:
    """A copy whose content differs unnoticed must not be kept by a difference."""
    fleet = ConfigFleet(ROUTES)

    async def main() -> None:
        host = next(h for h in fleet.hosts.values() if not h.gossip.is_relay())
        items = host.followers[0].items
        wrong = copy.deepcopy(items["main"].spec)
        wrong["routes"][7]["priority"] = 9
        items["main"] = items["main"]._replace(spec=wrong)
        version = fleet.change_route(1)
        assert await fleet.wait_for(version, PROPAGATION_DEADLINE_S) < 4.0
        entry = fleet.table.get("config", "main")
        assert entry is not None and items["main"].spec == entry.spec
        assert max(sent.size for sent in fleet.sent) <= LARGEST_MESSAGE_BYTES

    run_with(fleet, HOSTS, main)


def test_versions_never_go_back() -> None:
    """Differences arrive late, twice and in any order."""
    fleet = ConfigFleet(ROUTES)

    async def main() -> None:
        host = next(h for h in fleet.hosts.values() if not h.gossip.is_relay())
        late: list[DifferenceNews] = []
        seen: list[int] = []
        host.followers[0]._on_change = lambda stored, name: seen.append(
            stored.version.number
        )

        def hears(receiver: str, message: Any) -> None:
            if isinstance(message, DifferenceNews) and receiver == host.record.name:
                late.append(message)

        fleet.hears = hears
        for number in range(5):
            version = fleet.change_route(number)
            await trio.sleep(0.2)
        rng = random.Random(1)
        for news in [rng.choice(late) for _ in range(50)]:
            host.gossip.receive_differences(news)
            await trio.sleep(0.01)
        host.gossip.receive_copies(CopyNews((Copy("config", Revision(1), ()),)))
        assert seen == sorted(set(seen)) and seen[-1] == version
        assert host.followers[0].version.number >= version

    run_with(fleet, HOSTS, main)


def test_a_host_of_an_earlier_build_gets_the_whole_copy() -> None:
    """During a rolling update it can't ask for pieces; it asks from version 0."""
    fleet = ConfigFleet(ROUTES)

    async def main() -> None:
        follower = fleet.hosts["h0"].followers[0]
        compare = fleet.hosts["h0"].gossip.comparison_response
        state = CopyState("config", Revision(follower.version.number - 1), 5)
        answer = compare(CopyQuestion((state,)))
        # It doesn't apply a change whose digest its copy would not have.
        assert not answer.copies and answer.changes[0].digest == digest_copy(follower)
        answer = compare(CopyQuestion((state._replace(version=NO_REVISION),)))
        assert answer.copies[0].version == follower.version

    run_with(fleet, 6, main)


def test_news_crosses_once_into_each_region() -> None:
    """A host that hears of a change by its poll told every relay of every region."""
    fleet = ConfigFleet(ROUTES)

    async def main() -> None:
        host = fleet.hosts["h0"]
        for other in fleet.hosts.values():
            other.gossip.notify_zone = lambda follower: None  # type: ignore[method-assign]
        fleet.unnotified = set(fleet.hosts) - {"h0"}
        fleet.change_route(1)
        await trio.sleep(0.1)
        fleet.sent = []
        host.gossip.notify_all_zones(host.followers[0])
        await trio.sleep(0.05)
        news = [sent for sent in fleet.sent if sent.type == "DifferenceNews"]
        assert [sent.crosses for sent in news].count(True) == 1
        assert max(sent.size for sent in news) < 1_000

    run_with(fleet, HOSTS, main)


def test_polls_list_a_large_configuration_only_if_they_must() -> None:
    """Four polls per zone and deadline fetched it whole when nothing had changed."""

    async def main() -> None:
        fleet = ConfigFleet(ROUTES)
        host = MemoryHost("h0", fleet, 0)
        follower = host.followers[0]
        listing = await host.store.list("config")
        follower.take_copy(listing.unwrap())
        parts: Any = PollParts(
            store=host.store,
            configurations=follower,
            servers=host.followers[1],
            own=lambda: host.record,
            hosts=host.directory,
            rng=random.Random(0),
            in_force_s=lambda: 8.0,
            spread=lambda follower: None,
        )

        async def poll() -> list[bool]:
            fleet.table.calls.clear()
            return [await _compare_configurations(parts, True) for _ in range(20)]

        assert not any(await poll()) and set(fleet.table.calls) == {"look"}
        assert fleet.table.calls["look"] <= 14
        fleet.change_route(1)
        assert sum(await poll()) == 1 and set(fleet.table.calls) == {"look"}
        fleet.change_route(2)
        fleet.table.forget_history()
        await poll()
        assert fleet.table.calls["list"] == 1
        assert config_version(host) == fleet.table.version - 1

    trio.run(main)


def test_pieces_are_paced() -> None:
    """What many hosts ask for at once must not fill the sender's link."""
    pacer = Pacer()
    waits = [pacer.wait_s(8_192, 10.0) for _ in range(20)]
    assert waits[0] == 0.0 and waits[-1] == pytest.approx(19 * 8_192 / BYTES_PER_S)
    assert pacer.backlog_s(10.0) > LONGEST_WAIT_S
    assert pacer.backlog_s(11.0) == 0.0 and pacer.wait_s(1, 11.0) == 0.0


def test_the_steps_of_a_large_object_are_bounded() -> None:
    """A host that runs for months must not keep each change of the configuration."""
    follower = Follower("config", lambda stored, name: None)
    follower.keeps_steps = True
    for version in range(1, 60):
        spec = configuration(100, version)
        follower.offer(Stored("config", "main", Revision(version), spec))
    steps = follower.steps_since("main", Revision(40))
    assert steps is not None and len(steps) == 19
    assert follower.steps_since("main", Revision(1)) is None
    _rename(renamed := configuration(100, 60), 100)
    renamed["tenants"] = [{"name": str(random.Random(n).random())} for n in range(900)]
    follower.offer(Stored("config", "main", Revision(60), renamed))
    assert (
        follower.steps_since("main", Revision(59)) is None
        and follower.last_base() == NO_REVISION
    )


def test_hosts_on_real_links_pass_on_a_large_configuration(with_cluster: Any) -> None:
    """A host that the store turns away needs the pieces and steps of the others."""

    async def until_in_force(cluster: LineCluster, version: int) -> None:
        with trio.fail_after(8.0):
            while any(h.routes.version < version for h in cluster.hosts.values()):
                await trio.sleep(0.02)

    async def scenario(cluster: LineCluster) -> None:
        cluster.turned_away[cluster.host_address(2)] = 429
        # The answer of the watch that is waiting.
        cluster.configure(line_configuration(2))
        await until_in_force(cluster, 2)
        routes = line_configuration(1)["routes"]
        routes += [line_route(f"r-{n}", "primary") for n in range(300)]
        content = line_configuration(3, routes=routes)
        assert len(encode_content(content)) > LARGE_OBJECT_BYTES
        cluster.configure(content)
        await until_in_force(cluster, 3)
        routes = [{**routes[0], "priority": 0}, *routes[1:]]
        cluster.configure(line_configuration(4, routes=routes))
        await until_in_force(cluster, 4)
        turned_away = cluster.hosts[2]
        assert turned_away.routes == cluster.hosts[0].routes
        store, kind = cluster.hosts[0]._ends.store, "config"
        assert store.changes_since is not None
        known = (await store.list(kind)).unwrap().version
        events = (await store.changes_since(kind, known)).unwrap()
        assert [event.type for event in events] == [EventType.BOOKMARK]

    with_cluster(scenario)
