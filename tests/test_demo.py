"""The demonstration holds, and finds the fault where a guard is off."""

import re
import subprocess
import sys

import pytest

LONGEST_S = 60


def demo(*arguments: str) -> tuple[int, dict[str, int]]:
    """Run the demonstration; returns its exit code and counts."""
    command = [sys.executable, "-m", "rattanhollow", "demo", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, timeout=LONGEST_S)
    found = re.findall(r"^([a-z' ]+?) +(\d+)$", done.stdout, re.MULTILINE)
    return done.returncode, {name: int(count) for name, count in found}


def test_every_promise_holds() -> None:
    """With all guards on, nothing is lost, doubled or stale."""
    code, counts = demo()
    assert code == 0, counts
    assert counts["acknowledged"] > 0


@pytest.mark.parametrize(
    ("guard", "broken"),
    [("write-confirmation", "lost"), ("fence", "lost"), ("floor", "stale reads")],
)
def test_each_guard_is_needed(guard: str, broken: str) -> None:
    """With a guard off, the same run finds what it prevents."""
    code, counts = demo("--without", guard)
    assert code == 1
    assert counts[broken] > 0


def test_unknown_guards_are_refused() -> None:
    """An unknown guard is named, with exit code 2."""
    assert demo("--without", "luck")[0] == 2
