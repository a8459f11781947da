"""Organisations, keys and databases: the configuration and its release notes."""

from rattanhollow.configuration._apply import (
    AUDIT_KIND,
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    Outcome,
    apply_note,
    current_configuration,
)
from rattanhollow.configuration._keys import digest_of, new_key
from rattanhollow.configuration._model import (
    EMPTY,
    Configuration,
    Database,
    Key,
    Member,
    Organisation,
    Scope,
    configuration_from_spec,
    configuration_reader,
    spec_of,
)
from rattanhollow.configuration._note import (
    Change,
    NoteError,
    ReleaseNote,
    difference,
    merge,
    parse_members,
    read_note,
)
from rattanhollow.configuration._routes import (
    NO_ROUTES,
    Consistency,
    Route,
    RouteTable,
    Service,
)

__all__ = [
    "AUDIT_KIND",
    "CONFIGURATION_KIND",
    "CONFIGURATION_NAME",
    "EMPTY",
    "NO_ROUTES",
    "Change",
    "Configuration",
    "Consistency",
    "Database",
    "Key",
    "Member",
    "NoteError",
    "Organisation",
    "Outcome",
    "ReleaseNote",
    "Route",
    "RouteTable",
    "Service",
    "Scope",
    "apply_note",
    "current_configuration",
    "configuration_from_spec",
    "configuration_reader",
    "difference",
    "digest_of",
    "merge",
    "new_key",
    "parse_members",
    "read_note",
    "spec_of",
]
