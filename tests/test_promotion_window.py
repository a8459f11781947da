"""Between the choice of the next primary and the moment at which it leads.

An order to promote takes effect some hundred milliseconds after it was accepted, and
one without an answer up to seconds later. Servers may join, restart or receive again
meanwhile. Every run checks that no acknowledged commit is missing from a promoted log.
"""

from functools import partial

import pytest
import trio

from rattanhollow.records import to_spec
from rattanhollow.serving import (
    BackendServer,
    Blocker,
    ServerStatus,
    WorkOutcome,
    WorkResult,
)
from rattanhollow.store import NO_REVISION
from rattanhollow.succession import (
    Phase,
    SuccessionRecord,
    release_held_replica,
    replace_primary,
)
from replacement_cluster import SERVICE, ReplacementCluster, run_scenario, server


async def record_chosen(cluster: ReplacementCluster, target: str) -> None:
    """Store the record of a coordinator that died behind its choice."""
    born_ms = cluster.group.servers[target].born_ms
    spec = SuccessionRecord(1, "x", "a", "i-0", Phase.CHOSEN, target, born_ms)
    await cluster.store.put("successions", SERVICE, to_spec(spec), NO_REVISION)


def test_a_primary_back_under_another_identifier_gets_no_commits() -> None:
    """A replica that joined confirmed them; the target lacked them (issue 31)."""

    async def scenario(cluster: ReplacementCluster) -> None:
        old, _, replica = cluster.databases
        host = cluster.caller_host()
        old.dark = True
        cluster.promotions.late_s = 1.5
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(cluster.replace, reachable=False))
            await cluster.until_chosen()
            cluster.group.crash(replica)
            cluster.return_as(old, "i-3")
            nursery.start_soon(host.write_for, 1.5)
            await trio.sleep(0.5)
            cluster.return_as(replica, "i-4")
        assert cluster.group.promotions

    run_scenario(scenario)


@pytest.mark.parametrize("cause", ["restart", "late-order"])
def test_a_primary_that_responds_again_gets_no_commits(cause: str) -> None:
    """A replica was no longer held, and confirmed commits that the target lacked."""

    async def scenario(cluster: ReplacementCluster) -> None:
        old, _, replica = cluster.databases
        host = cluster.caller_host()
        await host.write(old)
        old.dark = True
        await host.write_for(1.0)
        cluster.promotions.late_s = 2.0
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(cluster.replace, reachable=False))
            await cluster.until_chosen()
            old.dark = False
            nursery.start_soon(host.write_for, 1.5)
            await trio.sleep(0.5)
            if cause == "restart":
                cluster.group.restart(replica)
            else:
                cluster.group.let_go(replica)
        assert cluster.group.promotions

    run_scenario(scenario)


def test_a_primary_that_does_not_confirm_its_stop_acknowledges_nothing() -> None:
    """A write was pending there; an order to receive came late to a held replica."""

    async def scenario(cluster: ReplacementCluster) -> None:
        old, target, replica = cluster.databases
        host = cluster.coordinator_host()
        old.late_orders_s = 9.0
        cluster.promotions.late_s = 2.0
        target.deaf = replica.deaf = True
        results: list[WorkResult] = []

        async def write() -> None:
            results.append(await host.write(old))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(write)
            await trio.sleep(0.1)
            cluster.parts().set_switching(server(old), True)
            nursery.start_soon(cluster.replace)
            await cluster.until_chosen()
            await trio.sleep(0.2)
            target.deaf = replica.deaf = False
            cluster.group.let_go(replica)
        assert cluster.group.promotions
        assert [result.outcome for result in results] == [WorkOutcome.UNKNOWN]

    run_scenario(scenario)


def test_a_host_that_still_uses_the_primary_stops_before_the_order() -> None:
    """It alone reached the primary, and had seen nothing that made it look again."""

    async def scenario(cluster: ReplacementCluster) -> None:
        old, _, replica = cluster.databases
        host = cluster.caller_host()
        await host.write(old)
        cluster.promotions.late_s = 1.5
        async with trio.open_nursery() as nursery:
            nursery.start_soon(host.write_for, 2.5)
            await trio.sleep(0.1)
            nursery.start_soon(partial(cluster.replace, reachable=False))
            await cluster.until_chosen()
            await trio.sleep(0.5)
            cluster.group.restart(replica)
        assert cluster.group.promotions

    run_scenario(scenario)


@pytest.mark.parametrize("reachable", [True, False])
def test_a_pending_target_that_lacks_commits_is_not_promoted(reachable: bool) -> None:
    """Logs had grown since it was chosen; it was promoted whatever they held."""

    async def scenario(cluster: ReplacementCluster) -> None:
        await record_chosen(cluster, "i-1")
        cluster.databases[1].deaf = True
        await cluster.commit(2)
        if not reachable:
            cluster.databases[0].dark = True
        task = cluster.task(reachable)._replace(stale_claim_id="x")
        replaced = await replace_primary(task, cluster.parts())
        assert replaced.is_ok()

    run_scenario(scenario)


def test_a_pending_target_with_all_commits_stays_the_target() -> None:
    """Another order for it may be executed late; a longer tail was not acknowledged."""

    async def scenario(cluster: ReplacementCluster) -> None:
        await record_chosen(cluster, "i-1")
        for replica in cluster.databases[1:]:
            cluster.group.hold(replica, cluster.group.term + 1)
        await cluster.commit(2)
        task = cluster.task()._replace(stale_claim_id="x")
        replaced = await replace_primary(task, cluster.parts())
        assert replaced.ok().id == "i-1"

    run_scenario(scenario)


def test_orders_for_a_target_are_void_before_another_primary_is_used() -> None:
    """One was executed late, beside a primary that had come back."""

    async def scenario(cluster: ReplacementCluster) -> None:
        old = cluster.databases[0]
        await record_chosen(cluster, "i-1")
        cluster.promotions.late_s = 3.0
        with trio.move_on_after(0.1):
            await cluster.promotions.order(SERVICE, "i-1", "a", 1)
        cluster.promotions.late_s = 0.0
        old.dark = True
        task = cluster.task(reachable=False)._replace(stale_claim_id="x")
        cluster.return_as(old, "i-3")
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cluster.caller_host().write_for, 6.0)
            ended = await replace_primary(task, cluster.parts())
        assert ended.ok().id == "i-3"
        assert cluster.group.leader is cluster.group.servers["i-3"]

    run_scenario(scenario)


def test_a_primary_is_used_again_once_a_silent_target_is_given_up() -> None:
    """Callers' writes were refused while its promotion seemed to be pending."""

    async def scenario(cluster: ReplacementCluster) -> None:
        leader, target, replica = cluster.databases
        host = cluster.caller_host()
        await record_chosen(cluster, "i-1")
        target.dark = True
        cluster.group.hold(replica, cluster.group.term + 1)
        refused = await host.write(leader)
        assert refused.outcome is WorkOutcome.NOT_RUN
        assert refused.blocker is Blocker.SWITCHING
        task = cluster.task()._replace(stale_claim_id="x")
        ended = await replace_primary(task, cluster.parts())
        assert ended.ok().id == "i-0" and not cluster.group.promotions
        assert (await host.write(leader)).outcome is WorkOutcome.DONE

    run_scenario(scenario)


@pytest.mark.parametrize("told", [True, False])
def test_without_the_store_a_host_asks_others_whether_to_use_a_primary(
    told: bool,
) -> None:
    """Its coordinator tells all hosts before it orders, but may not reach this one."""

    async def scenario(cluster: ReplacementCluster) -> None:
        host, other = cluster.caller_host(), cluster.caller_host()
        if told:
            other.stop_use(1, gives_up_writes=True)
        cluster.table.faults.down = True
        written = await host.write(cluster.databases[0])
        expected = Blocker.SWITCHING if told else Blocker.NONE
        assert written.blocker is expected
        alone = cluster.caller_host()
        alone.alone = True
        written = await alone.write(cluster.databases[0])
        assert written.blocker is Blocker.NOT_SERVED

    run_scenario(scenario)


def test_an_assumption_about_a_primary_is_corrected() -> None:
    """The record could not be read, and names another target once it can be."""

    async def scenario(cluster: ReplacementCluster) -> None:
        leader = cluster.databases[0]
        host = cluster.caller_host()
        await record_chosen(cluster, "i-1")
        cluster.table.faults.down = True
        assert (await host.write(leader)).outcome is WorkOutcome.DONE
        cluster.table.faults.down = False
        await trio.sleep(2.5)
        assert (await host.write(leader)).blocker is Blocker.SWITCHING

    run_scenario(scenario)


def test_servers_that_join_behind_the_choice_are_held() -> None:
    """They could confirm commits for hosts that don't know of the choice."""

    async def scenario(cluster: ReplacementCluster) -> None:
        old, _, replica = cluster.databases
        host = cluster.caller_host()
        old.dark = True
        cluster.promotions.late_s = 1.5
        async with trio.open_nursery() as nursery:
            nursery.start_soon(partial(cluster.replace, reachable=False))
            await cluster.until_chosen()
            await trio.sleep(0.1)
            cluster.group.crash(replica)
            primary = cluster.return_as(old, "i-3")
            joined = cluster.return_as(replica, "i-4")
            await trio.sleep(0.5)
            assert joined.held_term
            assert (await host.write(primary)).outcome is WorkOutcome.NOT_RUN
        assert len(cluster.group.promotions) == 1

    run_scenario(scenario)


def test_a_target_that_restarted_is_not_ordered_again() -> None:
    """It holds nothing of before under its identifier, or less than it held."""

    async def scenario(cluster: ReplacementCluster) -> None:
        old, first, second = cluster.databases
        old.dark = True
        cluster.promotions.late_s = 9.0
        async with trio.open_nursery() as nursery:
            results: list[bool] = []

            async def replace() -> None:
                task = cluster.task(reachable=False)
                results.append((await replace_primary(task, cluster.parts())).is_ok())

            nursery.start_soon(replace)
            await cluster.until_chosen()
            await trio.sleep(0.2)
            for replica in (first, second):
                cluster.group.restart(replica)
            await trio.sleep(1.2)
            assert results == [False]
        assert len(cluster.promotions.orders) == 1

    run_scenario(scenario)


def test_the_release_of_a_replica_takes_over_no_unfinished_succession() -> None:
    """Its claim kept others from the pending promotion for 2.5 s, time after time."""

    async def scenario(cluster: ReplacementCluster) -> None:
        await record_chosen(cluster, "i-1")
        before = (await cluster.store.get("successions", SERVICE)).unwrap()
        task = cluster.task()._replace(stale_claim_id="x")
        held = server(cluster.databases[2])
        released = await release_held_replica(task, held, cluster.parts())
        after = (await cluster.store.get("successions", SERVICE)).unwrap()
        assert released.is_err() and after == before

    run_scenario(scenario)


async def replace_first(cluster: ReplacementCluster) -> None:
    """Replace the first database by the second one, and record it."""
    assert (await cluster.replace()).is_ok()
    if cluster.group.leader is not cluster.databases[1]:
        cluster.databases[1:] = reversed(cluster.databases[1:])


def test_a_primary_back_under_another_identifier_is_replaced() -> None:
    """Its claim was rejected for good, as the record named its earlier identifier."""

    async def scenario(cluster: ReplacementCluster) -> None:
        await replace_first(cluster)
        leader = cluster.databases[1]
        cluster.group.crash(leader)
        returned = cluster.return_as(leader, "i-3")
        returned.draining = True
        await cluster.commit(1)
        task = cluster.task()._replace(old_leader=server(returned))
        replaced = await replace_primary(task, cluster.parts())
        assert replaced.ok().id != "i-3"
        assert not cluster.noted_leaders

    run_scenario(scenario)


def test_an_outdated_claim_ends_with_the_primary_that_came_back() -> None:
    """The coordinator knew neither the last replacement nor the new identifier."""

    async def scenario(cluster: ReplacementCluster) -> None:
        outdated = cluster.task()
        await replace_first(cluster)
        leader = cluster.databases[1]
        cluster.group.crash(leader)
        cluster.return_as(leader, "i-3")
        ended = await replace_primary(outdated, cluster.parts())
        assert ended.ok().id == "i-3" and len(cluster.group.promotions) == 1

    run_scenario(scenario)


@pytest.mark.parametrize("reachable", [True, False])
def test_a_replica_taken_for_the_primary_is_held_as_one(reachable: bool) -> None:
    """It alone had confirmed the last commits of a primary that is gone."""

    async def scenario(cluster: ReplacementCluster) -> None:
        outdated = cluster.task(reachable)
        await replace_first(cluster)
        first, leader, other = cluster.databases
        other.deaf = True
        await cluster.commit(2)
        leader.dark = True
        cluster.listed.remove(leader)
        outdated = outdated._replace(old_leader=server(first))
        replaced = await replace_primary(outdated, cluster.parts())
        assert replaced.ok().id == first.id

    run_scenario(scenario)


def test_servers_that_restarted_behind_a_stopped_primary_may_be_promoted() -> None:
    """No primary could prove their logs, so the service stayed without one for good."""

    async def scenario(cluster: ReplacementCluster) -> None:
        names = iter(["i-3", "i-4"])

        def covers(found: BackendServer, status: ServerStatus, last: str) -> bool:
            return found.id.startswith("i-0")

        cluster.promotions.late_s = 20.0
        failed = await replace_primary(cluster.task(), cluster.parts())
        assert failed.is_err()
        for replica in cluster.databases[1:]:
            cluster.group.crash(replica)
            cluster.return_as(replica, next(names))
        cluster.databases[0].dark = False
        cluster.promotions.late_s = 0.0
        stored = (await cluster.store.get("successions", SERVICE)).unwrap()
        task = cluster.task()._replace(
            old_leader=None, reachable=False, stale_claim_id=stored.spec["claim_id"]
        )
        parts = cluster.parts(is_log_complete=covers)
        replaced = await replace_primary(task, parts)
        assert replaced.is_ok() and len(cluster.group.promotions) == 1

    run_scenario(scenario)


@pytest.mark.parametrize("answers", [True, False])
def test_a_stopped_primary_proves_nothing_once_another_may_have_led(
    answers: bool,
) -> None:
    """A late order had been executed; its commits are on a server that restarted."""

    async def scenario(cluster: ReplacementCluster) -> None:
        cluster.promotions.late_s = 5.0
        assert (await replace_primary(cluster.task(), cluster.parts())).is_err()
        await trio.sleep(6)
        cluster.promotions.late_s = 0.0
        leader = cluster.group.leader
        assert leader is not None
        first, *replicas = cluster.databases
        other = next(replica for replica in replicas if replica is not leader)
        first.deaf = True
        await cluster.commit(2)
        leader.dark = True
        cluster.listed.remove(leader)
        other.dark = not answers
        stored = (await cluster.store.get("successions", SERVICE)).unwrap()
        task = cluster.task()._replace(
            old_leader=None, reachable=False, stale_claim_id=stored.spec["claim_id"]
        )
        parts = cluster.parts(is_log_complete=lambda found, status, last: False)
        await replace_primary(task, parts)
        assert len(cluster.group.promotions) == 1

    run_scenario(scenario)


def test_a_host_learns_of_a_choice_that_nobody_told_it() -> None:
    """The coordinator had stopped behind it; other hosts were refused for good."""

    async def scenario(cluster: ReplacementCluster) -> None:
        leader = cluster.databases[0]
        host = cluster.caller_host()
        assert (await host.write(leader)).outcome is WorkOutcome.DONE
        await record_chosen(cluster, "i-1")
        results = await host.write_for(8.0)
        assert results[-1].blocker is Blocker.SWITCHING

    run_scenario(scenario)


def test_a_service_whose_target_and_primary_both_return_has_a_primary_again() -> None:
    """No log could be proved any more, and nobody led again (soak, seed 5012)."""

    async def scenario(cluster: ReplacementCluster) -> None:
        old = cluster.databases[0]
        await cluster.commit(2)
        old.dark = True
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cluster.replace, False)
            await cluster.until_chosen()
            stored = (await cluster.store.get("successions", SERVICE)).unwrap()
            target = cluster.group.servers[stored.spec["target"]]
            cluster.group.crash(target)
            cluster.return_as(old, "i-3")
            await trio.sleep(1.0)
            cluster.return_as(target, "i-4")
        for _ in range(3):
            await trio.sleep(3)
            stored = (await cluster.store.get("successions", SERVICE)).unwrap()
            claim_id = stored.spec["claim_id"]
            task = cluster.task(False)._replace(
                old_leader=None, stale_claim_id=claim_id
            )
            parts = cluster.parts(is_log_complete=lambda *found: False)
            ended = await replace_primary(task, parts)
        assert ended.is_ok(), ended
        assert cluster.group.leader is not None

    run_scenario(scenario)
