"""The platform's names are spelled in the adapter only, which decides nothing."""

import ast
import re
import subprocess
import sys
from pathlib import Path

SOURCE = Path(__file__).resolve().parent.parent / "src" / "rattanhollow"
ADAPTER = SOURCE / "platform"
NAMES = re.compile(
    r"\b(SUSPEND|STEPDOWN|SINCE|DEALLOC|NODB|NOAUTH|WRONGNODE|CONNLIMIT|INDOUBT"
    r"|NOSTMT|LAGGING|READONLY|X-Lease-Holder|X-Fencing-Token|X-Instance-Id"
    r"|api_keys|max_stale_ms|target_latency_ms|db_role|cold_left_ms|seq_no"
    r"|sync_replicas|allowed_regions|max_conns|tx_idle_ms|allow_stale|bounded_staleness"
    r"|read_your_writes|pressure|RATTANHOLLOW_BOOT|/promotion|/readiness|/objects)\b"
)
# Modules that decide: the adapter may use their types, not call them.
DECIDING = (
    "rattanhollow.routing",
    "rattanhollow.succession",
    "rattanhollow.rates",
    "rattanhollow.membership",
    "rattanhollow.host",
    "rattanhollow.proxy",
)


def test_no_platform_name_is_spelled_outside_the_adapter() -> None:
    """Each name of the platform stands in one folder."""
    found = [
        f"{file.relative_to(SOURCE)}: {match.group()}"
        for file in sorted(SOURCE.rglob("*.py"))
        if ADAPTER not in file.parents
        for match in NAMES.finditer(file.read_text())
    ]
    assert not found


def test_the_adapter_imports_nothing_that_decides() -> None:
    """It translates; where work goes is decided elsewhere."""
    imported = set()
    for file in ADAPTER.glob("*.py"):
        for node in ast.walk(ast.parse(file.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                imported.add(node.module)
            elif isinstance(node, ast.Import):
                imported |= {alias.name for alias in node.names}
    assert not [name for name in imported if name.startswith(DECIDING)]


def test_the_host_imports_no_large_library() -> None:
    """What only other programs need is not loaded, nor paid for, on a host."""
    check = (
        "import sys, rattanhollow.host.__main__\n"
        "large = ('cappa', 'httpx', 'pglast', 'psycopg')\n"
        "print([name for name in large if name in sys.modules])"
    )
    done = subprocess.run([sys.executable, "-c", check], capture_output=True, text=True)
    assert done.stdout.strip() == "[]", done.stderr
