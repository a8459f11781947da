"""Release notes: checked, applied once, never half, never back."""

import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
import trio
from result import Err

from conftest import run_trio
from rattanhollow.configuration import (
    AUDIT_KIND,
    EMPTY,
    NoteError,
    apply_note,
    configuration_from_spec,
    configuration_reader,
    current_configuration,
    difference,
    digest_of,
    merge,
    read_note,
    spec_of,
)
from rattanhollow_standins.client import LoginRefused, connect
from rattanhollow_standins.fleet import Fleet
from rattanhollow_standins.store import ObjectTable, local_store

DIGEST = digest_of("some key")
MEMBERS = "m0=10.0.0.1:5432@a, m1=10.0.0.2:5432@b, m2=10.0.0.3:5432@c"
HEAD = "[note]\nid = n1\nbase = 0\noperator = ann\n"


def head(name: str, base: int) -> str:
    """Return the first section of a note."""
    return f"[note]\nid = {name}\nbase = {base}\noperator = ann\n"


FULL = (
    HEAD
    + "[add organisation kirk]\nscope = connection\nmax_age_ms = 500\n"
    + f"[add key kirk/desk]\ndigest = {DIGEST}\n"
    + f"[add database bookings]\nmembers = {MEMBERS}\ncopies = 2\n"
)

BAD = [
    ("", "note", "missing section"),
    ("[note]\nid = a\nbase = 0", "operator", "missing"),
    (HEAD.replace("= 0", "= x") + "[add organisation a]", "base", "version"),
    (HEAD, "note", "changes nothing"),
    (HEAD + "[add planet a]", "add planet a", "expected"),
    (HEAD + "[add organisation A!]", "A!", "usable name"),
    (HEAD + "[add organisation a]\nscope = all", "scope", "neither"),
    (HEAD + "[add organisation a]\nmax_age_s = 1", "max_age_s", "unknown key"),
    (HEAD + "[change organisation a]", "change organisation a", "does not exist"),
    (HEAD + "[withdraw key a/b]", "withdraw key a/b", "no organisation"),
    (HEAD + "[add organisation a]\n[add key a/b]", "digest", "missing"),
    (HEAD + "[add organisation a]\n[add key a/b]\ndigest = x", "digest", "sha256"),
    (HEAD + "[add database a]", "members", "missing"),
    (HEAD + "[add database a]\nmembers = m0=host:1@z", "members", "not name"),
    (
        HEAD + f"[add database a]\nmembers = {MEMBERS}, m0=10.0.0.9:1@z",
        "members",
        "twi",
    ),
    (HEAD + f"[add database a]\nmembers = {MEMBERS}\ncopies = 3", "copies", "below"),
]


def test_a_note_adds_everything() -> None:
    """What a note adds is in the configuration, and survives the store."""
    merged = merge(read_note("n.ini", FULL), EMPTY)
    assert merged.version == 1
    assert merged.organisations["kirk"].max_age_ms == 500
    assert merged.databases["bookings"].copies == 2
    assert merged.key_of("kirk", "some key") is not None
    assert merged.key_of("kirk", "another") is None
    assert configuration_from_spec(spec_of(merged)) == merged
    assert len(difference(EMPTY, merged)) == 2


@pytest.mark.parametrize(("content", "place", "reason"), BAD)
def test_bad_notes(content: str, place: str, reason: str) -> None:
    """A bad note is refused with file, place and reason."""
    with pytest.raises(NoteError) as caught:
        merge(read_note("n.ini", content), EMPTY)
    assert "n.ini" in str(caught.value)
    assert place in str(caught.value)
    assert reason in str(caught.value)


def test_the_reader_takes_over_what_did_not_change() -> None:
    """Reading again builds only what changed, with the same result."""
    read = configuration_reader()
    first = merge(read_note("n", FULL), EMPTY)
    one = read(spec_of(first))
    note = head("n2", 1) + "[change organisation kirk]\nmax_age_ms = 9\n"
    note += "[add organisation abbey]"
    second = merge(read_note("n", note), first)
    two = read(spec_of(second))
    assert (one, two) == (first, second)
    assert two.databases["bookings"] is one.databases["bookings"]
    third = merge(
        read_note("n", head("n3", 2) + "[withdraw organisation abbey]"), second
    )
    assert read(spec_of(third)) == third


FAULTS = ["none", "answer lost", "down for a while", "late"]


@pytest.mark.parametrize("fault", FAULTS)
def test_applied_once_whatever_the_store_does(fault: str) -> None:
    """A note takes effect once, and its operator learns so; a replay too."""

    async def main() -> None:
        table = ObjectTable()
        store = local_store(table)
        if fault == "answer lost":
            table.faults.lose_answers = 1
        table.faults.down = fault == "down for a while"
        table.faults.delay_s = 0.25 if fault == "late" else 0.0
        note = read_note("n.ini", FULL)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(recover, table)
            outcome = (await apply_note(store, note, "ann")).unwrap()
        assert (outcome.version, outcome.repeated) == (1, False)
        again = (await apply_note(store, note, "bob")).unwrap()
        assert (again.version, again.repeated) == (1, True)
        assert (await current_configuration(store)).unwrap().version == 1
        outcomes = [e.spec["outcome"] for e in table.items(AUDIT_KIND).values()]
        assert outcomes == ["accepted"]

    async def recover(table: ObjectTable) -> None:
        await trio.sleep(0.6)
        table.faults.down = False
        table.faults.delay_s = 0.0

    run_trio(main)


def test_racing_operators() -> None:
    """Of two notes on one base, one wins whole; the other changes nothing."""

    async def main() -> None:
        table = ObjectTable()
        store = local_store(table)
        outcomes: list[Any] = []

        async def one(name: str) -> None:
            note = head(name, 0) + f"[add organisation {name}]\n"
            note += f"[add organisation {name}-two]"
            outcomes.append(await apply_note(store, read_note(name, note), name))

        async with trio.open_nursery() as nursery:
            for name in ("ann", "bob", "cat"):
                nursery.start_soon(one, name)
        accepted = [outcome for outcome in outcomes if outcome.is_ok()]
        refused = [outcome.unwrap_err() for outcome in outcomes if outcome.is_err()]
        assert len(accepted) == 1
        assert all("the newest is 1" in reason for reason in refused)
        current = (await current_configuration(store)).unwrap()
        assert len(current.organisations) == 2
        trail = [e.spec["outcome"] for e in table.items(AUDIT_KIND).values()]
        assert sorted(trail) == ["accepted", "refused", "refused"]

    run_trio(main)


def test_a_bad_note_exits_with_2(tmp_path: Path) -> None:
    """The command names file, section, key and reason, and exits with 2."""
    note = tmp_path / "bad.ini"
    note.write_text(HEAD + "[add organisation a]\nscope = all")
    settings = tmp_path / "s.ini"
    settings.write_text("[operator]\nname = ann\n[store]\nurl = http://127.0.0.1:9\n")
    command = [sys.executable, "-m", "rattanhollow", "check", str(note)]
    command += ["--settings", str(settings)]
    settings.write_text("[operator]\nname = ann\n[store]\nurl = x\ntimeout = 3\n")
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert (done.returncode, "[store] timeout" in done.stderr) == (2, True)
    settings.write_text("[operator]\nname = ann\n[store]\nurl = http://127.0.0.1:9\n")
    note.write_text(HEAD)
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert done.returncode == 2
    assert f"{note}: [note] -: it changes nothing" in done.stderr


async def apply(fleet: Fleet, name: str, base: int, content: str) -> None:
    """Apply a note to a fleet."""
    note = read_note(name, head(name, base) + content)
    (await apply_note(fleet.store(), note, "ann")).unwrap()


async def until_version(fleet: Fleet, version: int, limit_s: float = 10) -> None:
    """Wait until a version is in force at every proxy."""
    with trio.fail_after(limit_s):
        while {p.configuration.version for p in fleet.proxies.values()} != {version}:
            await trio.sleep(0.02)


@pytest.mark.parametrize("fault", ["none", "silent watch", "gap", "outage", "restart"])
def test_in_force_everywhere_and_never_back(fault: str, with_fleet: Any) -> None:
    """A change is in force at all hosts, through any fault, and versions only rise."""

    async def scenario(fleet: Fleet) -> None:
        seen: dict[int, list[int]] = {number: [] for number in fleet.proxies}

        async def observe() -> None:
            while True:
                for number, proxy in fleet.proxies.items():
                    if proxy.configuration.version:
                        seen[number].append(proxy.configuration.version)
                await trio.sleep(0.01)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(observe)
            await apply(fleet, "n2", 1, "[add organisation abbey]")
            fleet.table.faults.silent_watch = fault == "silent watch"
            if fault == "gap":
                fleet.table.forget_history()
            if fault == "outage":
                fleet.table.faults.down = True
                await trio.sleep(1.5)
                fleet.table.faults.down = False
            if fault == "restart":
                fleet.kill_proxy(1)
                await trio.sleep(0.1)
                await fleet.start_proxy(1)
            await apply(fleet, "n3", 2, "[withdraw organisation abbey]")
            if fault == "silent watch":
                await trio.sleep(1.0)
                fleet.table.faults.silent_watch = False
            await until_version(fleet, 3)
            await trio.sleep(0.1)
            nursery.cancel_scope.cancel()
        assert all(versions == sorted(versions) for versions in seen.values())

    with_fleet(scenario)


async def withdrawn_key(fleet: Fleet) -> dict[str, bool]:
    """Withdraw a key that idle and busy connections use; which ones still work."""
    await apply(fleet, "n2", 1, f"[add key kirk/new]\ndigest = {digest_of('new')}")
    await until_version(fleet, 2)
    idle = await connect(fleet.place(0))
    busy = await connect(fleet.place(1))
    other = await connect(fleet.place(2, key="new"))
    await busy.run("CREATE TABLE slots (number int)")
    await busy.run("BEGIN")
    await busy.run("INSERT INTO slots VALUES (1)")
    await apply(fleet, "n3", 2, "[withdraw key kirk/desk]")
    await until_version(fleet, 3)
    await trio.sleep(0.3)
    works = {}
    for name, client, sql in (
        ("idle", idle, "SELECT 1"),
        ("in a transaction", busy, "COMMIT"),
        ("other key", other, "SELECT 1"),
    ):
        try:
            works[name] = (await client.run(sql)).error is None
        except Exception:
            works[name] = False
    count = await other.run("SELECT count(*) FROM slots")
    works["committed"] = count.rows == [["1"]]
    try:
        await connect(fleet.place(0))
        works["login"] = True
    except LoginRefused:
        works["login"] = False
    return works


def test_a_withdrawn_key_stops_working(with_fleet: Any) -> None:
    """A withdrawn key stops on open connections, in transactions and for logins."""
    assert with_fleet(withdrawn_key) == {
        "idle": False,
        "in a transaction": False,
        "other key": True,
        "committed": False,
        "login": False,
    }


def test_a_withdrawn_key_works_on_without_the_check(with_fleet: Any) -> None:
    """With the check off, open connections go on with the withdrawn key."""
    from rattanhollow.proxy import ALL_GUARDS

    works = with_fleet(withdrawn_key, guards=ALL_GUARDS._replace(key_check=False))
    assert works["idle"]
    assert works["in a transaction"]


def test_changes_are_in_force_on_open_connections(with_fleet: Any) -> None:
    """A changed allowance and a lowered rate reach connections that stand open."""

    async def scenario(fleet: Fleet) -> None:
        content = "[change organisation kirk]\nrate_per_s = 1000\nburst = 1000"
        await apply(fleet, "n2", 1, content)
        await until_version(fleet, 2)
        clients = [await connect(fleet.place(number)) for number in range(3)]
        for _ in range(20):
            for client in clients:
                await client.run("SELECT 1")
            await trio.sleep(0.1)
        for proxy in fleet.proxies.values():
            proxy.peers.ask = no_answer  # type: ignore[method-assign]
        content = "[change organisation kirk]\nrate_per_s = 10\nburst = 10\n"
        await apply(fleet, "n3", 2, content + "max_age_ms = 700")
        await until_version(fleet, 3)
        await trio.sleep(1.2)
        answered = 0
        began_s = trio.current_time()
        while trio.current_time() - began_s < 2:
            for client in clients:
                answered += (await client.run("SELECT 1")).error is None
        assert answered <= 10 * (trio.current_time() - began_s) + 10
        for proxy in fleet.proxies.values():
            assert {c.max_age_ms for c in proxy.service.callers.all()} == {700}

    async def no_answer(*arguments: Any) -> Any:
        return Err("cut off")

    with_fleet(scenario, overrides={"rates": {"wait_ms": "0"}})
