"""Checking what other writers left in a store.

Stored objects go on to other hosts and into logs. A part that could not be passed on
makes its own object unreadable and no other.
"""

from typing import Any

# Messages between hosts hold integers of 64 bits.
_LOWEST_INTEGER = -(2**63)
_HIGHEST_INTEGER = 2**64 - 1
_DEEPEST_NESTING = 32


def fault_of(value: Any) -> str:
    """Return why decoded JSON can't be used or passed on, empty if it can."""
    return _fault_of(value, 0)


def _fault_of(value: Any, depth: int) -> str:
    if isinstance(value, int):
        fits = _LOWEST_INTEGER <= value <= _HIGHEST_INTEGER
        return "" if fits else "an integer of more than 64 bits"
    if not isinstance(value, list | dict):
        return ""
    if depth == _DEEPEST_NESTING:
        return f"nested deeper than {_DEEPEST_NESTING} levels"
    parts = value.values() if isinstance(value, dict) else value
    faults = (_fault_of(part, depth + 1) for part in parts)
    return next((fault for fault in faults if fault), "")
