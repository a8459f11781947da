"""The objects of the stand-in store, their history, and its faults."""

from collections import Counter, deque
from typing import Any, NamedTuple

import trio

HISTORY_KEPT = 1_000


class Change(NamedTuple):
    """One change: ``type`` is ADDED, MODIFIED or DELETED."""

    version: int
    type: str
    kind: str
    name: str
    spec: dict[str, Any]


class Entry(NamedTuple):
    """One object at its newest version."""

    version: int
    spec: dict[str, Any]


class SavedObjects(NamedTuple):
    """A copy of all objects, from which the store may come back."""

    version: int
    objects: dict[tuple[str, str], Entry]


class StoreFaults:
    """What is wrong with the store now.

    ``down`` answers nothing; ``delay_s`` delays each answer; ``lose_answers``
    counts the next writes, of ``lose_kind`` if it is set, that take effect but
    get no answer; ``silent_watch``
    keeps watches open without a word; ``cut_addresses`` are not answered.
    """

    def __init__(self) -> None:
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.lose_kind = ""
        self.silent_watch = False
        self.cut_addresses: set[str] = set()

    def loses_answer(self, kind: str) -> bool:
        """Whether the answer to this write is lost; counts it if so."""
        if not self.lose_answers or self.lose_kind not in ("", kind):
            return False
        self.lose_answers -= 1
        return True

    def silent_for(self, address: str) -> bool:
        """Whether ``address`` gets no answer."""
        return self.down or address in self.cut_addresses


class ObjectTable:
    """All objects; versions rise with every change of any object.

    ``era`` rises by one each time that it comes back from a copy; a store of era 0
    names none in its answers.
    """

    def __init__(self) -> None:
        self.version = 0
        self.era = 0
        self.faults = StoreFaults()
        self.calls: Counter[str] = Counter()
        self.calls_by_second: Counter[int] = Counter()
        self.history: deque[Change] = deque(maxlen=HISTORY_KEPT)
        self._objects: dict[tuple[str, str], Entry] = {}
        self._changed = trio.Event()

    def count(self, call: str) -> None:
        """Count one call by its name and by the second."""
        self.calls[call] += 1
        self.calls_by_second[int(trio.current_time())] += 1

    def get(self, kind: str, name: str) -> Entry | None:
        """Return an object."""
        return self._objects.get((kind, name))

    def items(self, kind: str) -> dict[str, Entry]:
        """Return all objects of a kind by name."""
        return {
            name: entry
            for (item_kind, name), entry in self._objects.items()
            if item_kind == kind
        }

    def create(self, kind: str, name: str, spec: dict[str, Any]) -> Entry | None:
        """Create an object; None where it exists."""
        if (kind, name) in self._objects:
            return None
        return self._change("ADDED", kind, name, spec)

    def replace(
        self, kind: str, name: str, spec: dict[str, Any], version: int
    ) -> Entry | None:
        """Replace an object at exactly ``version``; None on conflict."""
        current = self._objects.get((kind, name))
        if current is None or current.version != version:
            return None
        return self._change("MODIFIED", kind, name, spec)

    def delete(self, kind: str, name: str, version: int) -> bool:
        """Delete an object at exactly ``version``; whether that was done."""
        current = self._objects.get((kind, name))
        if current is None or current.version != version:
            return False
        self._change("DELETED", kind, name, current.spec)
        del self._objects[(kind, name)]
        return True

    def since(self, kind: str, version: int) -> list[Change] | None:
        """Return the changes after ``version``; None where they are forgotten."""
        if version > self.version:
            return None
        if self.history and self.history[0].version > version + 1:
            return None
        return [c for c in self.history if c.version > version and c.kind == kind]

    def forget_history(self) -> None:
        """Forget all changes, so that running watches have a gap."""
        self.version += 1
        self.history.clear()
        self.history.append(Change(self.version, "ADDED", "", "", {}))

    def save(self) -> SavedObjects:
        """Return a copy of all objects."""
        return SavedObjects(self.version, dict(self._objects))

    def come_back_from(self, saved: SavedObjects) -> None:
        """Lose what was written since a copy; versions are given out again."""
        self.version = saved.version
        self._objects = dict(saved.objects)
        kept = [change for change in self.history if change.version <= saved.version]
        self.history.clear()
        self.history.extend(kept)
        self.era += 1
        self._changed.set()
        self._changed = trio.Event()

    async def wait_for_change(self) -> None:
        """Return once something changed."""
        await self._changed.wait()

    def _change(self, type: str, kind: str, name: str, spec: dict[str, Any]) -> Entry:
        self.version += 1
        entry = Entry(self.version, spec)
        self._objects[(kind, name)] = entry
        self.history.append(Change(self.version, type, kind, name, spec))
        self._changed.set()
        self._changed = trio.Event()
        return entry
