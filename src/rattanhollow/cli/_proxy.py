"""The command that runs a proxy."""

import signal
import sys
from pathlib import Path

import trio

from rattanhollow.observe import log_to
from rattanhollow.proxy import Proxy, build_proxy
from rattanhollow.settings import SettingsError, read_proxy_settings


def run_proxy(file: Path) -> None:
    """Run a proxy with the settings in ``file`` until it has drained.

    Raises:
        SettingsError: the settings can't be used.

    """
    settings = read_proxy_settings(file)
    log_to(sys.stdout)
    try:
        proxy = build_proxy(settings)
    except OSError as error:
        section, key = "listen", "tls_certificate_file"
        raise SettingsError(str(file), section, key, str(error)) from None
    trio.run(_run, proxy)


async def _run(proxy: Proxy) -> None:
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_drain_on_signal, proxy, nursery)
        await proxy.run()
        nursery.cancel_scope.cancel()


async def _drain_on_signal(proxy: Proxy, nursery: trio.Nursery) -> None:
    """Drain on the first signal, stop at once on the second."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        draining = False
        async for _ in signals:
            if draining:
                nursery.cancel_scope.cancel()
            draining = True
            nursery.start_soon(proxy.drain)
