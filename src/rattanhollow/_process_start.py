"""When this process began, as close as its own code can tell, and its first signals."""

import signal
import sys
import threading
import time

# The clock also counts time for which the host was suspended.
PROCESS_STARTED_AT_S = time.clock_gettime(time.CLOCK_BOOTTIME)
HOST_MODULE = "rattanhollow.host"


def note_early_hangups(arguments: list[str]) -> threading.Event:
    """Return an event that is set by a SIGHUP from now on.

    Its default action ends the process, and a host imports for a third of a second
    before it can handle signals. Other programs that import this package keep theirs.
    """
    hangup = threading.Event()
    if HOST_MODULE in arguments:
        signal.signal(signal.SIGHUP, lambda number, frame: hangup.set())
    return hangup


EARLY_HANGUP = note_early_hangups(sys.orig_argv)
