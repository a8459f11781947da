"""The settings of the commands that operators run."""

from pathlib import Path
from typing import NamedTuple

from rattanhollow.settings._ini import Field, Section, read_file, read_ini, text
from rattanhollow.settings._proxy import LAYOUT as PROXY_LAYOUT
from rattanhollow.settings._proxy import StoreSettings


class OperatorSettings(NamedTuple):
    """Where the store is, and who the audit trail names."""

    store: StoreSettings
    operator: str


LAYOUT: dict[str, Section] = {
    "operator": {"name": Field(text)},
    "store": PROXY_LAYOUT["store"],
}


def read_operator_settings(file: Path) -> OperatorSettings:
    """Return the settings in ``file``.

    Raises:
        SettingsError: an unknown, missing or bad entry.

    """
    values = read_ini(str(file), read_file(file), LAYOUT)
    store = StoreSettings(**values["store"])
    return OperatorSettings(store, values["operator"]["name"])
