"""Reading INI text against a description of its sections and keys."""

import configparser
import ipaddress
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

MISSING = object()


class SettingsError(Exception):
    """A settings file that can't be used: file, section, key and reason."""

    def __init__(self, file: str, section: str, key: str, reason: str) -> None:
        self.file = file
        self.section = section
        self.key = key
        self.reason = reason
        super().__init__(f"{file}: [{section}] {key}: {reason}")


class Field(NamedTuple):
    """One key: how its text is read, and what stands in when it is missing.

    ``read`` raises `ValueError` with the reason.
    """

    read: Callable[[str], Any]
    default: Any = MISSING


Section = dict[str, Field]


def integer(low: int, high: int) -> Callable[[str], int]:
    """Return a reader for whole numbers from ``low`` to ``high``."""

    def read(value: str) -> int:
        try:
            number = int(value)
        except ValueError:
            raise ValueError(f"{value!r} is not a whole number") from None
        if not low <= number <= high:
            raise ValueError(f"{number} is not between {low} and {high}")
        return number

    return read


def number(low: float, high: float) -> Callable[[str], float]:
    """Return a reader for numbers from ``low`` to ``high``, fractions included."""

    def read(value: str) -> float:
        try:
            found = float(value)
        except ValueError:
            raise ValueError(f"{value!r} is not a number") from None
        if not low <= found <= high:
            raise ValueError(f"{found:g} is not between {low:g} and {high:g}")
        return found

    return read


def text(value: str) -> str:
    """Read a text that is not empty."""
    if not value:
        raise ValueError("must not be empty")
    return value


def optional_text(value: str) -> str:
    """Read a text that may be empty."""
    return value


def ip_address(value: str) -> str:
    """Read an IP number; names are refused."""
    return str(ipaddress.ip_address(value))


def boolean(value: str) -> bool:
    """Read ``yes`` or ``no``."""
    if value not in ("yes", "no"):
        raise ValueError(f"{value!r} is neither yes nor no")
    return value == "yes"


def read_file(file: Path) -> str:
    """Return the text in ``file``.

    Raises:
        SettingsError: it can't be read, or is not UTF-8.

    """
    try:
        return file.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(str(file), "-", "-", str(error)) from None


def read_ini(
    file: str, content: str, layout: dict[str, Section]
) -> dict[str, dict[str, Any]]:
    """Return the values of ``content`` by section and key.

    Raises:
        SettingsError: no INI, an unknown section or key, a missing or bad value.

    """
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(content, source=file)
    except configparser.Error as error:
        reason = str(error).replace("\n", " ")
        raise SettingsError(file, "-", "-", reason) from None
    for section in parser.sections():
        _check_names(file, section, parser, layout)
    return {
        name: _section_values(file, name, parser, section)
        for name, section in layout.items()
    }


def _check_names(
    file: str,
    section: str,
    parser: configparser.ConfigParser,
    layout: dict[str, Section],
) -> None:
    if section not in layout:
        raise SettingsError(file, section, "-", "unknown section")
    for key in parser[section]:
        if key not in layout[section]:
            raise SettingsError(file, section, key, _unknown_key(key, layout[section]))


def _unknown_key(key: str, section: Section) -> str:
    stem = key.rsplit("_", 1)[0]
    near = [known for known in section if known.rsplit("_", 1)[0] == stem]
    if near:
        return f"unknown key; the unit is wrong, it is {near[0]}"
    return "unknown key"


def _section_values(
    file: str, name: str, parser: configparser.ConfigParser, section: Section
) -> dict[str, Any]:
    given = parser[name] if parser.has_section(name) else {}
    values = {}
    for key, field in section.items():
        if key not in given:
            if field.default is MISSING:
                raise SettingsError(file, name, key, "missing")
            values[key] = field.default
            continue
        try:
            values[key] = field.read(given[key].strip())
        except ValueError as error:
            raise SettingsError(file, name, key, str(error)) from None
    return values
