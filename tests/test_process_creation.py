"""No program of ours starts another process, from its first to its last instruction.

The interpreter loads `process_guard/sitecustomize.py`, which ends the program with a
message as soon as it starts one.
"""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parent.parent
GUARD = ROOT / "tests" / "process_guard"
GUARD_MESSAGE = "process guard:"
LONGEST_S = 60
# Nothing listens at the store's port, so each command runs into its failure path.
NO_STORE = "127.98.0.1:7999"

PROXY = f"""
[host]
name = p1
address = 127.98.0.2
zone = a
[store]
url = http://{NO_STORE}
[backend]
user = u
password = p
"""
HOST = f"""
[host]
name = h1
address = 127.98.0.3
zone = a
regions = a:r
[listen]
callers = 127.98.0.3:7001
readiness = 127.98.0.3:7002
metrics_port = 7003
peer_port = 7004
[platform]
store = {NO_STORE}
[bounds]
stop_s = 1
"""
OPERATOR = f"""
[operator]
name = o
[store]
url = http://{NO_STORE}
"""
NOTE = "[note]\nbase = 0\nidentifier = n\n"
STAND_IN = "[store]\naddress = 127.98.0.4\nport = 7001\n"

HOST_MODULE = ("-m", "rattanhollow.host")
PROGRAM = ("-m", "rattanhollow")


def _environment(**more: str) -> dict[str, str]:
    return {**os.environ, "PYTHONPATH": str(GUARD), **more}


def _run(*arguments: str) -> "subprocess.CompletedProcess[str]":
    return subprocess.run(
        [sys.executable, *arguments],
        env=_environment(),
        capture_output=True,
        text=True,
        timeout=LONGEST_S,
    )


def _stop_when_started(
    arguments: tuple[str, ...], first_output: str, environment: dict[str, str]
) -> tuple[int, str]:
    """Send SIGTERM to a program once it has written; return its status and output."""
    process = subprocess.Popen(
        [sys.executable, *arguments],
        env=environment,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    assert process.stdout is not None
    lines = []
    try:
        for line in process.stdout:
            lines.append(line)
            if first_output in line:
                break
        # The first line precedes the event loop and its signal handlers.
        time.sleep(2)
        process.send_signal(signal.SIGTERM)
        lines.append(process.communicate(timeout=LONGEST_S)[0])
    finally:
        process.kill()
    return process.returncode, "".join(lines)


def test_the_guard_ends_a_program_that_starts_a_process() -> None:
    """The guard itself works, whichever way a process is started."""
    for code in (
        "import subprocess; subprocess.run(['true'])",
        "import os; os.system('true')",
        "import os; os.fork() or os._exit(0)",
        "import ctypes; ctypes.CDLL(None).system(b'true')",
        "import multiprocessing as m; m.get_context('spawn').Process().start()",
    ):
        assert GUARD_MESSAGE in _run("-c", code).stderr, code
    assert GUARD_MESSAGE not in _run("-c", "pass").stderr


def test_a_host_starts_no_process(tmp_path: Path) -> None:
    """A host starts, serves and stops without another process."""
    settings = tmp_path / "h.ini"
    settings.write_text(HOST)
    environment = _environment(RATTANHOLLOW_BOOT=str(settings))
    status, output = _stop_when_started(HOST_MODULE, "host.start", environment)
    assert GUARD_MESSAGE not in output
    assert status == 0, output


@pytest.mark.parametrize("command", ["proxy", "host"])
def test_a_serving_command_starts_no_process(command: str, tmp_path: Path) -> None:
    """The commands that serve until SIGTERM start no process."""
    settings = tmp_path / "s.ini"
    settings.write_text(PROXY if command == "proxy" else HOST)
    arguments = (*PROGRAM, command, "--settings", str(settings))
    status, output = _stop_when_started(arguments, "event=", _environment())
    assert GUARD_MESSAGE not in output
    assert status == -signal.SIGTERM or not status, output


def test_a_stand_in_starts_no_process(tmp_path: Path) -> None:
    """The stand-in of the store starts no process."""
    settings = tmp_path / "s.ini"
    settings.write_text(STAND_IN)
    arguments = (*PROGRAM, "stand-in", "--settings", str(settings))
    status, output = _stop_when_started(arguments, "ready", _environment())
    assert GUARD_MESSAGE not in output
    assert status == -signal.SIGTERM or not status, output


@pytest.mark.parametrize("command", ["check", "apply", "status", "audit"])
def test_a_command_of_operators_starts_no_process(command: str, tmp_path: Path) -> None:
    """The commands of operators start no process, here until the store fails them."""
    settings, note = tmp_path / "o.ini", tmp_path / "note.ini"
    settings.write_text(OPERATOR)
    note.write_text(NOTE)
    notes = [str(note)] if command in ("check", "apply") else []
    done = _run(*PROGRAM, command, *notes, "--settings", str(settings))
    assert GUARD_MESSAGE not in done.stderr
    assert done.returncode in (1, 2), done.stderr


def test_commands_without_a_store_start_no_process(tmp_path: Path) -> None:
    """Making a key, explaining a request and showing help start no process."""
    log = tmp_path / "log"
    log.write_text("time=0 event=request.refused request=r\n")
    for arguments in (["keys", "kirk/desk"], ["explain", "r", str(log)], ["--help"]):
        done = _run(*PROGRAM, *arguments)
        assert GUARD_MESSAGE not in done.stderr
        assert done.returncode == 0, done.stderr


def test_the_demonstration_starts_no_process() -> None:
    """The demonstration runs store, databases and proxies in one process."""
    done = _run(*PROGRAM, "demo")
    assert GUARD_MESSAGE not in done.stderr
    assert done.returncode == 0, done.stdout + done.stderr
