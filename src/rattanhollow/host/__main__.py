"""Runs a host on the users' platform: ``python -m rattanhollow.host``."""

import gc
import os
import signal
import sys
from pathlib import Path

import trio

from rattanhollow import platform
from rattanhollow.host import Host, build_host, platform_ends
from rattanhollow.observe import log_event, log_to
from rattanhollow.settings import SettingsError, read_line_host_settings

EXIT_BAD_INPUT = 2


def main() -> None:
    """Run a host until it was told to stop and has drained."""
    try:
        file = Path(os.environ[platform.SETTINGS_VARIABLE])
        settings = read_line_host_settings(file)
    except KeyError:
        _stop(f"{platform.SETTINGS_VARIABLE} is not set")
    except SettingsError as error:
        _stop(str(error))
    log_to(sys.stdout)
    log_event("host.start", host=settings.place.name, zone=settings.place.zone)
    host = build_host(settings, platform_ends(settings))
    # What was imported stays for good; the collector need not look at it.
    gc.freeze()
    trio.run(_run, host)


async def _run(host: Host) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_stop_on_signal, host)
        await host.run()
        nursery.cancel_scope.cancel()


async def _stop_on_signal(host: Host) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
        async with trio.open_nursery() as nursery:
            async for received in signals:
                log_event("host.signal", signal=signal.Signals(received).name)
                if received == signal.SIGTERM:
                    nursery.start_soon(host.stop)


def _stop(reason: str) -> None:
    print(reason, file=sys.stderr)
    raise SystemExit(EXIT_BAD_INPUT)


if __name__ == "__main__":
    main()
