"""Cancelling what a caller runs, also where it is connected to another host."""

import trio

from rattanhollow.backend import BackendConnection
from rattanhollow.membership import HostDirectory
from rattanhollow.peer import CancelAnswer, CancelQuestion, Peers
from rattanhollow.pgwire import cancel_request
from rattanhollow.proxy._caller import Caller
from rattanhollow.proxy._login import Cancel
from rattanhollow.proxy._service import Service

CANCEL_TIMEOUT_S = 2.0
PEER_TIMEOUT_MS = 500


async def cancel_here(service: Service, wanted: Cancel) -> bool:
    """Cancel for a caller of this host; whether it is one."""
    caller = service.callers.by_process_id.get(wanted.process_id)
    if caller is None or caller.secret != wanted.secret:
        return False
    # The lock keeps the connection with this caller until the cancel arrived,
    # so that it can't hit the next borrower.
    async with caller.cancel_lock:
        connection = caller.running
        if connection is not None:
            with trio.move_on_after(CANCEL_TIMEOUT_S):
                await _send_cancel(caller, connection)
    return True


async def _send_cancel(caller: Caller, connection: BackendConnection) -> None:
    member = connection.member
    try:
        async with await trio.open_tcp_stream(member.address, member.port) as stream:
            await stream.send_all(
                cancel_request(connection.process_id, connection.secret)
            )
            await stream.receive_some(1)
    except (OSError, trio.BrokenResourceError):
        return


async def cancel_anywhere(
    service: Service, wanted: Cancel, peers: Peers, hosts: HostDirectory, own: str
) -> None:
    """Cancel for a caller of whichever host has it: the balancer chose this one."""
    if await cancel_here(service, wanted):
        return
    question = CancelQuestion(wanted.process_id, wanted.secret)
    async with trio.open_nursery() as nursery:
        for record in hosts.all():
            if record.name != own:
                nursery.start_soon(peers.ask, record.peer, question, PEER_TIMEOUT_MS)


async def answer_cancel(service: Service, question: CancelQuestion) -> CancelAnswer:
    """Answer another host that looks for a caller."""
    found = await cancel_here(service, Cancel(*question))
    return CancelAnswer(found)
