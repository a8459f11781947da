"""Links between hosts: bad records, links with and without keys, silent ones."""

from collections.abc import Awaitable, Callable
from typing import Any

import pytest
import trio

from conftest import run_trio
from rattanhollow.peer import (
    HostAnswer,
    HostQuestion,
    Message,
    PeerAddress,
    PeerKeys,
    Peers,
    new_peer_keys,
)

ONE, OTHER, PORT = "127.28.0.1", "127.28.0.2", 7_300
QUESTION = HostQuestion("other", "i")


async def _answer(question: Message) -> Message:
    return HostAnswer(silent=False)


def with_links(
    keys: tuple[PeerKeys | None, PeerKeys | None],
    scenario: Callable[[Peers], Awaitable[Any]],
) -> None:
    """Run a scenario with the links of one host, while the other one answers."""

    async def main() -> None:
        one = Peers(ONE, keys[0], lambda key: True, _answer)
        other = Peers(OTHER, keys[1], lambda key: True, _answer)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(one.run, PORT)
            nursery.start_soon(other.run, PORT)
            await trio.sleep(0.05)
            await scenario(one)
            nursery.cancel_scope.cancel()

    run_trio(main)


def test_links_without_keys_need_none() -> None:
    """Where hosts have no keys, an address is enough, also behind a restart."""

    async def scenario(links: Peers) -> None:
        peer = PeerAddress("other", OTHER, PORT, "")
        asked = await links.ask(peer, QUESTION, 1_000)
        assert asked.ok() == HostAnswer(silent=False)

    with_links((None, None), scenario)


def test_encrypted_links_ask_the_owner_of_the_key() -> None:
    """A host that has the key of the record answers."""
    keys = new_peer_keys()

    async def scenario(links: Peers) -> None:
        peer = PeerAddress("other", OTHER, PORT, keys.public.decode())
        asked = await links.ask(peer, QUESTION, 1_000)
        assert asked.ok() == HostAnswer(silent=False)

    with_links((new_peer_keys(), keys), scenario)


@pytest.mark.parametrize("key", ["", "short", "x" * 41])
def test_a_record_without_a_usable_key_ends_nothing(key: str) -> None:
    """Another writer's record costs an answer, not the process (soak, seed 115)."""

    async def scenario(links: Peers) -> None:
        peer = PeerAddress("other", OTHER, PORT, key)
        asked = await links.ask(peer, QUESTION, 200)
        failure = asked.err()
        assert failure is not None and not failure.sent
        await links.tell(peer, QUESTION)

    with_links((new_peer_keys(), new_peer_keys()), scenario)


def test_a_late_report_of_an_old_connection_delays_nothing() -> None:
    """An answer shows that a link is up, whatever was reported of it before."""

    async def scenario(links: Peers) -> None:
        peer = PeerAddress("other", OTHER, PORT, "")
        assert (await links.ask(peer, QUESTION, 1_000)).is_ok()
        link = links._links["other"]
        # The end of the connection that was left, reported behind the new one.
        link._connected = trio.Event()
        assert (await links.ask(peer, QUESTION, 1_000)).is_ok()
        assert link._connected.is_set()

    with_links((None, None), scenario)
