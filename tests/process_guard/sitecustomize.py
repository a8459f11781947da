"""Ends a program that starts a process; loaded at the start of the interpreter.

Found through ``PYTHONPATH``, and as a runtime hook of the one-file program. Nothing is
sampled: each way of starting a process that Python has is refused as it is called, and
at the end the kernel's account of children must be empty, which also holds what
libraries started without Python.
"""

import _posixsubprocess
import atexit
import os
import resource
import sys
import threading
from pathlib import Path
from typing import Any, NoReturn

EXIT_STATUS = 97
AUDIT_EVENTS = frozenset(
    {
        "os.exec",
        "os.fork",
        "os.forkpty",
        "os.posix_spawn",
        "os.spawn",
        "os.system",
        "pty.spawn",
        "subprocess.Popen",
    }
)


def _stop(cause: str) -> NoReturn:
    os.write(2, f"process guard: {cause}\n".encode())
    os._exit(EXIT_STATUS)


def _refuse_event(event: str, arguments: tuple[Any, ...]) -> None:
    if event in AUDIT_EVENTS:
        _stop(f"{event} {arguments}")


def _refuse_fork(*arguments: Any) -> NoReturn:
    _stop(f"fork_exec {arguments[:2]}")


def _check_children() -> None:
    ended = resource.getrusage(resource.RUSAGE_CHILDREN)
    if ended.ru_minflt or ended.ru_majflt:
        _stop("the kernel counts pages of children that have ended")
    for thread in threading.enumerate():
        children = Path(f"/proc/self/task/{thread.native_id}/children").read_text()
        if children.strip():
            _stop(f"children are running: {children}")


sys.addaudithook(_refuse_event)
_posixsubprocess.fork_exec = _refuse_fork
atexit.register(_check_children)
