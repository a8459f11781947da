"""The processes that a benchmark measures."""

import os
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class Process:
    """A child process, and what it has used."""

    def __init__(self, command: list[str], ready: str) -> None:
        self._process = subprocess.Popen(
            [sys.executable, *command], stdout=subprocess.PIPE, text=True
        )
        assert self._process.stdout is not None
        for line in self._process.stdout:
            if ready in line:
                break

    def cpu_s(self) -> float:
        """Return the processor time used so far, in seconds."""
        text = Path(f"/proc/{self._process.pid}/stat").read_text()
        fields = text.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_S

    def resident_kb(self) -> int:
        """Return the resident memory, in kilobytes."""
        for line in Path(f"/proc/{self._process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
        return 0

    def end(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()


@contextmanager
def running(command: list[str], ready: str = "ready") -> Iterator[Process]:
    """Run a process for as long as the block lasts."""
    process = Process(command, ready)
    try:
        yield process
    finally:
        process.end()
