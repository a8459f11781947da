"""Accepting callers."""

import errno
import ssl
from collections.abc import Awaitable, Callable

import trio

from rattanhollow.limits import Account
from rattanhollow.net import CALLER_KEEPALIVE, tune_socket
from rattanhollow.observe import log_event, log_failure
from rattanhollow.pgwire import ConnectionLost, ProtocolViolation
from rattanhollow.proxy._login import (
    Cancel,
    log_in,
    read_startup,
    refuse,
)
from rattanhollow.proxy._serve import serve
from rattanhollow.proxy._service import Service
from rattanhollow.settings import ListenSettings
from rattanhollow.verdict import not_run, sqlstates

ACCEPT_PAUSE_S = 0.1
BACKLOG = 512
OnCancel = Callable[[Cancel], Awaitable[None]]

NO_MORE_FILES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def tls_context(listen: ListenSettings) -> ssl.SSLContext | None:
    """Return the TLS context of the settings, None where TLS is off.

    Raises:
        OSError: a file can't be read, or holds no certificate or key.

    """
    if not listen.tls_certificate_file:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(listen.tls_certificate_file, listen.tls_key_file)
    return context


class Listener:
    """Takes callers until `stop`; each is served by a task of its own."""

    def __init__(self, service: Service, tls: ssl.SSLContext | None) -> None:
        self._service = service
        self._tls = tls
        self._accepting = trio.CancelScope()

    async def run(
        self,
        on_cancel: OnCancel,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listen at the address of the settings; returns once all callers left.

        Raises:
            OSError: the address can't be bound.

        """
        settings = self._service.settings
        listeners = await trio.open_tcp_listeners(
            settings.listen.port, host=settings.host.address, backlog=BACKLOG
        )
        async with trio.open_nursery() as nursery:
            task_status.started()
            with self._accepting:
                await self._accept(listeners[0], nursery, on_cancel)
            await listeners[0].aclose()

    def stop(self) -> None:
        """Accept nobody any more; those connected stay."""
        self._accepting.cancel()

    async def _accept(
        self,
        listener: trio.SocketListener,
        nursery: trio.Nursery,
        on_cancel: OnCancel,
    ) -> None:
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                if error.errno not in NO_MORE_FILES:
                    raise
                log_event("listen.exhausted", reason=error)
                await trio.sleep(ACCEPT_PAUSE_S)
                continue
            nursery.start_soon(self._welcome, stream, on_cancel)

    async def _welcome(self, stream: trio.SocketStream, on_cancel: OnCancel) -> None:
        service = self._service
        callers = service.callers
        account = service.held.open()
        if not service.connections.enter(account.scope):
            service.held.remove(account)
            service.metrics.add("callers.refused", 1)
            log_event("caller.refused", reason="too many callers")
            await trio.aclose_forcefully(stream)
            return
        callers.connected += 1
        try:
            tune_socket(stream, CALLER_KEEPALIVE)
            with account.scope:
                await self._session(stream, on_cancel, account)
        except (ConnectionLost, ProtocolViolation, OSError) as error:
            log_event("caller.lost", reason=error)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            log_event("caller.lost", reason=error)
        except Exception as error:
            # One session must not end the process.
            log_failure("caller.failed", error)
        finally:
            callers.connected -= 1
            service.connections.leave(account.scope)
            service.held.remove(account)
            if account.scope.cancelled_caught:
                self._report_closed(account)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    def _report_closed(self, account: Account) -> None:
        self._service.metrics.add("callers.closed", 1)
        log_event(
            "caller.closed",
            limit=account.closed_for or "callers",
            organisation=account.organisation,
            connection_held_bytes=account.held_at_close_bytes,
            held_bytes=self._service.held.held_bytes,
            connections=self._service.callers.connected,
        )

    async def _session(
        self, stream: trio.SocketStream, on_cancel: OnCancel, account: Account
    ) -> None:
        service = self._service
        limits = service.settings.limits
        caller = None
        with trio.move_on_after(limits.login_timeout_ms / 1000):
            startup = await read_startup(
                stream, self._tls, service.settings.listen.require_tls
            )
            if isinstance(startup, Cancel):
                await on_cancel(startup)
                return
            if service.callers.connected > limits.callers:
                refusal = not_run("too many callers", sqlstates.TOO_MANY)
                await refuse(startup.stream, refusal)
                return
            caller = await log_in(startup, service, account)
        if caller is None:
            return
        service.connections.use(account.scope)
        service.metrics.add("callers.accepted", 1)
        try:
            await serve(caller, service)
        finally:
            service.callers.remove(caller)
