"""Reads of a service whose servers are out of reach, behind, or have long queues.

Each attempt costs messages between hosts and, at a server, part of a slot. Reads that
go on trying servers that can't serve them keep these and their hosts busy long after
the fault is over. No network, simulated time.
"""

from collections import Counter

import trio

from rattanhollow.serving import Blocker, Work, WorkOutcome, WorkResult, not_run
from rattanhollow.statements import Completed, Reason, Refused
from test_routing import (
    RouterHarness,
    make_request,
    reason_of,
    run_scenario,
    succeed,
)

READS = 200
READ_INTERVAL_S = 0.01


def test_reads_go_to_the_primary_while_its_replicas_are_out_of_reach() -> None:
    """Few reads still try the replicas, each once a second."""

    async def script(server: str, work: Work) -> WorkResult:
        if server != "i-0":
            return not_run(Blocker.NOT_SERVED, "no answer")
        return await succeed(server, work)

    async def scenario(harness: RouterHarness) -> None:
        for _ in range(READS):
            outcome = await harness.router.read(make_request())
            assert isinstance(outcome.answer, Completed)
            await trio.sleep(READ_INTERVAL_S)
        tried = Counter(harness.servers)
        assert tried["i-0"] == READS
        assert tried["i-1"] + tried["i-2"] <= 2 * (READS * READ_INTERVAL_S + 1) * 2

    run_scenario(script, scenario)


def test_a_read_is_refused_at_once_if_all_queues_exceed_its_deadline() -> None:
    """Each server is tried once, and the caller is told when to come back."""

    async def script(server: str, work: Work) -> WorkResult:
        return not_run(Blocker.OVERLOADED, "the queue for slots is too long", 1_500)

    async def scenario(harness: RouterHarness) -> None:
        outcome = await harness.router.read(make_request())
        assert isinstance(outcome.answer, Refused)
        assert reason_of(outcome) is Reason.BUSY
        assert outcome.answer.retry_after_ms == 1_500
        assert trio.current_time() == 0
        assert sorted(harness.servers) == ["i-0", "i-1", "i-2"]

    run_scenario(script, scenario)


def test_a_read_waits_for_a_server_that_may_recover() -> None:
    """One server's log is behind, so its queue says nothing about the wait."""

    async def script(server: str, work: Work) -> WorkResult:
        if server == "i-1" and trio.current_time() < 0.3:
            return WorkResult(WorkOutcome.REFUSED, reason=Reason.BEHIND)
        if server == "i-1":
            return await succeed(server, work)
        return not_run(Blocker.OVERLOADED, "the queue for slots is too long", 1_500)

    async def scenario(harness: RouterHarness) -> None:
        outcome = await harness.router.read(make_request())
        assert isinstance(outcome.answer, Completed)

    run_scenario(script, scenario)


def test_a_quiet_host_hedges_few_of_its_reads() -> None:
    """In a large fleet each host has few reads, and all hosts may be slow at once."""

    async def script(server: str, work: Work) -> WorkResult:
        await trio.sleep(0.4)
        return await succeed(server, work)

    async def scenario(harness: RouterHarness) -> None:
        for _ in range(60):
            await harness.router.read(make_request())
        assert len(harness.attempts) <= 60 * 1.1 + 4

    run_scenario(script, scenario)
