"""The one-file program runs the whole path, as processes without children.

It is built with the guard of `test_process_creation`, which ends it with a message as
soon as it starts a process.
"""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
GUARD = ROOT / "tests" / "process_guard" / "sitecustomize.py"
LONGEST_S = 300


@pytest.fixture(scope="module")
def program(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Build the program."""
    target = tmp_path_factory.mktemp("one-file")
    build = [sys.executable, str(ROOT / "packaging" / "build.py"), str(target)]
    build += ["--runtime-hook", str(GUARD)]
    subprocess.run(build, check=True, timeout=LONGEST_S)
    return target / "rattanhollow"


def test_the_demonstration_runs_from_it(program: Path, tmp_path: Path) -> None:
    """The demonstration holds, and its process has no children."""
    environment = {"RATTANHOLLOW_UNPACK_IN": str(tmp_path)}
    process = subprocess.Popen(
        [str(program), "demo"],
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        env=environment,
    )
    seen = []
    while process.poll() is None:
        children = Path(f"/proc/{process.pid}/task/{process.pid}/children")
        try:
            seen.append(children.read_text().strip())
            process.wait(timeout=0.2)
        except (subprocess.TimeoutExpired, OSError):
            continue
    output = process.stdout.read()
    assert process.returncode == 0, output
    assert "every promise held" in output
    assert set(seen) == {""}


def test_bad_settings_exit_with_2(program: Path, tmp_path: Path) -> None:
    """The packed program reports bad settings like the other one."""
    file = tmp_path / "p.ini"
    file.write_text("[host]\nname = x\n")
    done = subprocess.run(
        [str(program), "proxy", "--settings", str(file)],
        capture_output=True,
        text=True,
        env={"RATTANHOLLOW_UNPACK_IN": str(tmp_path)},
    )
    assert done.returncode == 2
    assert "[host] address: missing" in done.stderr
