"""The operations page names every event and metric that a host has, and no other."""

import ast
import re
from pathlib import Path

from rattanhollow.observe import MetricKind, kinds

ROOT = Path(__file__).resolve().parent.parent
PAGE = (ROOT / "docs" / "OPERATIONS.md").read_text()
# The packages that a host on the platform is made of.
PACKAGES = (
    "host routing serving session rates membership succession store peer platform"
).split()
WRITTEN_BY_THE_LOG_ITSELF = {"log.omitted"}


def logged_events() -> set[str]:
    """Return the names of all events that the host's packages log."""
    found = set()
    for package in PACKAGES:
        for file in (ROOT / "src" / "rattanhollow" / package).glob("*.py"):
            for node in ast.walk(ast.parse(file.read_text())):
                name = getattr(getattr(node, "func", None), "id", "")
                if name in ("log_event", "log_failure"):
                    found |= {
                        constant.value
                        for constant in ast.walk(node.args[0])  # type: ignore[attr-defined]
                        if isinstance(constant, ast.Constant)
                    }
    return found


def test_the_page_lists_every_event() -> None:
    """An engineer finds each event of a log line on the page."""
    listed = set(re.findall(r"^\| `([a-z]+\.[a-z_]+)` \|", PAGE, re.MULTILINE))
    assert listed == logged_events() | WRITTEN_BY_THE_LOG_ITSELF


def test_the_page_lists_every_metric() -> None:
    """So it is with the metrics."""
    listed = set(re.findall(r"^\| `(rattanhollow_\w+)` \|", PAGE, re.MULTILINE))
    assert listed == {
        kind.name for kind in vars(kinds).values() if isinstance(kind, MetricKind)
    }
