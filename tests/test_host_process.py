"""A host as a process: signals that come before it can handle them."""

import os
import signal
import subprocess
import sys
from collections.abc import Iterable
from pathlib import Path

from rattanhollow import platform
from rattanhollow._process_start import note_early_hangups
from test_untrusted_input import SETTINGS

LONGEST_S = 30
LOCAL = SETTINGS.replace("10.0.0.", "127.99.7.").replace(":1\n", ":7991\n")


def until(lines: Iterable[str], wanted: str) -> str:
    """Return the first line with a text, and "" where they end before."""
    return next((line for line in lines if wanted in line), "")


def test_a_hangup_during_the_start_ends_no_host(tmp_path: Path) -> None:
    """It ended the process; now the settings are read anew once the host runs."""
    settings = LOCAL.replace(":2\n", ":7992\n").replace("= 3", "= 7993")
    settings = settings.replace("= 4\n", "= 7994\n")
    # A host waits for whoever writes the pipe, with its imports behind it.
    file = tmp_path / "settings.ini"
    os.mkfifo(file)
    process = subprocess.Popen(
        [sys.executable, "-m", "rattanhollow.host"],
        env={**os.environ, platform.SETTINGS_VARIABLE: str(file)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )
    try:
        assert process.stdout is not None
        with file.open("w") as pipe:
            process.send_signal(signal.SIGHUP)
            pipe.write(settings)
        assert until(process.stdout, "event=host.start")
        file.write_text(settings.replace("stop_s = 6", "stop_s = 7"))
        reloaded = until(process.stdout, "event=host.reloaded")
        assert "changed=stop_s" in reloaded
        assert process.poll() is None
    finally:
        process.kill()
        process.wait(LONGEST_S)


def test_other_programs_keep_their_action_for_a_hangup() -> None:
    """The package is a library, too."""
    before = signal.getsignal(signal.SIGHUP)
    note_early_hangups([sys.executable, "-m", "pytest"])
    assert signal.getsignal(signal.SIGHUP) is before
