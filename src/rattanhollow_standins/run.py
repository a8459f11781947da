"""Running a stand-in as a process of its own."""

from pathlib import Path
from typing import Any

import trio

from rattanhollow.settings import (
    Field,
    Section,
    SettingsError,
    integer,
    ip_address,
    read_file,
    read_ini,
    text,
)
from rattanhollow_standins.database import DatabaseGroup, GroupTiming, MemberPlace
from rattanhollow_standins.store import ObjectTable, serve_store

STORE_LAYOUT: dict[str, Section] = {
    "store": {"address": Field(ip_address), "port": Field(integer(1, 65_535))}
}
DATABASE_LAYOUT: dict[str, Section] = {
    "database": {
        "name": Field(text),
        "password": Field(text),
        "members": Field(text),
        "slots": Field(integer(1, 1_000), 3),
        "connections": Field(integer(1, 10_000), 20),
        "connect_ms": Field(integer(0, 10_000), 10),
    }
}


def run_stand_in(file: Path) -> None:
    """Run the stand-in that ``file`` describes: a store, or a database group.

    Raises:
        SettingsError: the settings can't be used.

    """
    content = read_file(file)
    if "[store]" in content:
        values = read_ini(str(file), content, STORE_LAYOUT)["store"]
        trio.run(_store, values["address"], values["port"])
        return
    values = read_ini(str(file), content, DATABASE_LAYOUT)["database"]
    trio.run(_database, _group(str(file), values))


async def _store(address: str, port: int) -> None:
    async with trio.open_nursery() as nursery:
        await nursery.start(serve_store, ObjectTable(), address, port)
        print("ready", flush=True)


async def _database(group: DatabaseGroup) -> None:
    async with trio.open_nursery() as nursery:
        await nursery.start(group.run)
        print("ready", flush=True)


def _group(file: str, values: dict[str, Any]) -> DatabaseGroup:
    from rattanhollow.configuration import parse_members

    try:
        members = parse_members(values["members"])
    except ValueError as error:
        raise SettingsError(file, "database", "members", str(error)) from None
    places = [MemberPlace(m.name, m.address, m.port, m.zone) for m in members]
    timing = GroupTiming(
        connect_s=values["connect_ms"] / 1000,
        slots=values["slots"],
        connections=values["connections"],
    )
    return DatabaseGroup(values["name"], places, values["password"], timing)
