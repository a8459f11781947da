"""Running a host as a process: settings, logs, signals."""

import gc
import signal
import sys
from pathlib import Path

import trio

from rattanhollow._process_start import EARLY_HANGUP, PROCESS_STARTED_AT_S
from rattanhollow.host._platform import platform_ends
from rattanhollow.host._root import Host, build_host
from rattanhollow.observe import Meter, kinds, log_bounded, log_event
from rattanhollow.settings import SettingsError, read_line_host_settings


def run_host(file: Path) -> None:
    """Run a host with the settings in ``file`` until it was stopped and drained.

    Raises:
        SettingsError: the settings can't be used.

    """
    settings = read_line_host_settings(file)
    log = log_bounded(sys.stdout.fileno())
    meter = Meter()
    meter.gauge(kinds.LINES_OMITTED, lambda: sum(log.omitted.values()))
    log_event("host.start", host=settings.place.name, zone=settings.place.zone)
    host = build_host(
        settings,
        platform_ends(settings, meter),
        meter=meter,
        process_started_at_s=PROCESS_STARTED_AT_S,
    )
    # What was imported stays for good; the collector need not look at it.
    gc.freeze()
    trio.run(_run, host, file)


async def _run(host: Host, file: Path) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_heed_signals, host, file)
        await host.run()
        nursery.cancel_scope.cancel()


async def _heed_signals(host: Host, file: Path) -> None:
    """Drain on SIGTERM, read the settings anew on SIGHUP."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
        if EARLY_HANGUP.is_set():
            _reload(host, file)
        async with trio.open_nursery() as nursery:
            async for received in signals:
                log_event("host.signal", signal=signal.Signals(received).name)
                if received == signal.SIGTERM:
                    nursery.start_soon(host.stop)
                else:
                    _reload(host, file)


def _reload(host: Host, file: Path) -> None:
    """Take settings that changed; what can't be used leaves the last good ones."""
    try:
        settings = read_line_host_settings(file)
    except SettingsError as error:
        log_event("host.not_reloaded", reason=error)
        return
    host.take_settings(settings)
