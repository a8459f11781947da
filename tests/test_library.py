"""The library page's example runs, without the proxy."""

import re
import subprocess
import sys
from pathlib import Path

PAGE = Path(__file__).resolve().parent.parent / "docs" / "library.md"


def test_the_example_runs() -> None:
    """The example keeps to the rate and imports no proxy."""
    (example,) = re.findall(r"```python\n(.*?)```", PAGE.read_text(), re.DOTALL)
    assert len(example.splitlines()) <= 20
    check = (
        "\nimport sys\n"
        "assert not any(m.startswith('rattanhollow.proxy') for m in sys.modules)\n"
        "assert admitted == []\n"
    )
    done = subprocess.run(
        [sys.executable, "-c", example + check], capture_output=True, text=True
    )
    assert done.returncode == 0, done.stderr
