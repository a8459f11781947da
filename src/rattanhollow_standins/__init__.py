"""Stand-ins for what the platform provides, for tests and the demonstration.

Never imported by the proxy.
"""

import rattanhollow  # noqa: F401  (imports trio without starting a process)
