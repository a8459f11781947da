"""Runs a host on the users' platform: ``python -m rattanhollow.host``."""

import os
import sys
from pathlib import Path

from rattanhollow import platform
from rattanhollow.host import run_host
from rattanhollow.settings import SettingsError

EXIT_BAD_INPUT = 2


def main() -> None:
    """Run the host whose settings the platform names."""
    try:
        run_host(Path(os.environ[platform.SETTINGS_VARIABLE]))
    except KeyError:
        _stop(f"{platform.SETTINGS_VARIABLE} is not set")
    except SettingsError as error:
        _stop(str(error))


def _stop(reason: str) -> None:
    print(reason, file=sys.stderr)
    raise SystemExit(EXIT_BAD_INPUT)


if __name__ == "__main__":
    main()
