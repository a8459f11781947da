"""The configuration that every host holds in memory."""

import enum
import hmac
from collections.abc import Callable
from typing import Any, NamedTuple

from rattanhollow.configuration._keys import digest_of
from rattanhollow.records import from_spec, to_spec


class Scope(enum.Enum):
    """What a session is, and so whose writes its reads must see.

    ``ORGANISATION``: all connections of the organisation together.
    ``CONNECTION``: one connection, and what a token brought by the caller names.
    """

    ORGANISATION = "organisation"
    CONNECTION = "connection"


class Key(NamedTuple):
    """A key of an organisation; ``digest`` is all that is known of it."""

    name: str
    digest: str


class Organisation(NamedTuple):
    """A group of callers.

    ``max_age_ms`` is how old its reads may be, 0 for none. ``rate_per_s`` and
    ``burst`` bound its requests over the whole fleet; a rate of 0 is no bound.
    """

    name: str
    keys: tuple[Key, ...] = ()
    scope: Scope = Scope.ORGANISATION
    max_age_ms: int = 0
    rate_per_s: int = 0
    burst: int = 0


class Member(NamedTuple):
    """One backend server of a database."""

    name: str
    address: str
    port: int
    zone: str


class Database(NamedTuple):
    """A database: its backend servers, and how many must hold a write.

    ``copies`` counts the replicas that hold a write before it is acknowledged.
    """

    name: str
    members: tuple[Member, ...]
    copies: int = 1

    def member(self, name: str) -> Member | None:
        """Return a backend server by name."""
        return next((item for item in self.members if item.name == name), None)


class Configuration(NamedTuple):
    """All that operators decide; ``version`` rises by one with each note."""

    version: int
    organisations: dict[str, Organisation]
    databases: dict[str, Database]
    notes: tuple[str, ...] = ()

    def key_of(self, organisation: str, key: str) -> Key | None:
        """Return the key of ``organisation`` that ``key`` is, if it is one."""
        found = self.organisations.get(organisation)
        if found is None:
            return None
        digest = digest_of(key).encode()
        matching = None
        for candidate in found.keys:
            if hmac.compare_digest(candidate.digest.encode(), digest):
                matching = candidate
        return matching

    def has_key(self, organisation: str, key: Key) -> bool:
        """Whether ``key`` is still one of ``organisation``."""
        found = self.organisations.get(organisation)
        return found is not None and key in found.keys


EMPTY = Configuration(0, {}, {})


def spec_of(configuration: Configuration) -> dict[str, Any]:
    """Return the configuration as the store keeps it."""
    return to_spec(configuration)


def configuration_from_spec(spec: dict[str, Any]) -> Configuration:
    """Return a configuration read from the store.

    Raises:
        RecordError: the object is no configuration.

    """
    return from_spec(Configuration, spec)


def configuration_reader() -> Callable[[dict[str, Any]], Configuration]:
    """Return `configuration_from_spec` that builds only what changed since.

    Everything else is taken over from the configuration that was read last.
    """
    last_spec: dict[str, Any] = {"organisations": {}, "databases": {}}
    last = EMPTY

    def read(spec: dict[str, Any]) -> Configuration:
        nonlocal last_spec, last
        kept: dict[str, dict[str, Any]] = {"organisations": {}, "databases": {}}
        changed = dict(spec)
        for part, found in kept.items():
            known = last_spec[part]
            for name, item in spec.get(part, {}).items():
                if known.get(name) == item:
                    found[name] = getattr(last, part)[name]
            changed[part] = {
                name: item
                for name, item in spec.get(part, {}).items()
                if name not in found
            }
        built = from_spec(Configuration, changed)
        last = built._replace(
            organisations=kept["organisations"] | built.organisations,
            databases=kept["databases"] | built.databases,
        )
        last_spec = spec
        return last

    return read
