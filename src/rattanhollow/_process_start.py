"""When this process began, as close as its own code can tell."""

import time

# The clock also counts time for which the host was suspended.
PROCESS_STARTED_AT_S = time.clock_gettime(time.CLOCK_BOOTTIME)
