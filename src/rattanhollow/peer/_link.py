"""Asking other proxies, and answering them."""

from collections.abc import Awaitable, Callable
from ipaddress import IPv4Address
from typing import NamedTuple

import trio
import zmq
import zmq.utils.z85
from result import Err, Result

from rattanhollow.observe import log_event, log_failure
from rattanhollow.peer._connection import LOOK_INTERVAL_S, AskFailure, PeerLink
from rattanhollow.peer._messages import (
    LARGEST_MESSAGE_BYTES,
    Message,
    MessageRefused,
    Ping,
    Pong,
    decode,
    encode,
)
from rattanhollow.peer._socket import TrioSocket

QUEUED_MESSAGES = 1_000
# ZeroMQ's own heartbeats clear away connections whose other end is gone; a host
# that leaves questions unanswered is connected to anew long before. Each costs
# both ends two messages, at every one of their connections.
HEARTBEAT_INTERVAL_MS = 15_000
HEARTBEAT_TIMEOUT_MS = 30_000
# How long sent bytes may stay unacknowledged: the links are short ones.
USER_TIMEOUT_MS = 2_000
# A host that has no power drops the packet that opens a connection; the system
# would send it again after one, three and seven seconds.
CONNECT_TIMEOUT_MS = 600
RECONNECT_MS = 50
RECONNECT_HIGHEST_MS = 500
HIGHEST_PORT = 65_535
# Of a CURVE key in Z85.
KEY_CHARACTERS = 40
AUTHENTICATION_ADDRESS = "inproc://zeromq.zap.01"


class PeerKeys(NamedTuple):
    """The CURVE key pair of a host, in Z85."""

    public: bytes
    secret: bytes


class PeerAddress(NamedTuple):
    """Where another proxy answers, and the public key that it must have."""

    name: str
    address: str
    port: int
    public_key: str


Handler = Callable[[Message], Awaitable[Message | None]]


def new_peer_keys() -> PeerKeys:
    """Return a new key pair."""
    return PeerKeys(*zmq.curve_keypair())


class Peers:
    """The links of one host at ``address``.

    With ``keys`` the links are encrypted, and ``allowed(public_key)`` says whether
    a key belongs to a host of the fleet. A host's keys die with its process, so
    after a restart no link comes up before both ends have read the other's new
    record; without keys it does at once.
    ``handle(message)`` answers a question, or returns None where it has no
    answer. Links are made when a host is first asked.
    """

    def __init__(
        self,
        address: str,
        keys: PeerKeys | None,
        allowed: Callable[[str], bool],
        handle: Handler,
    ) -> None:
        self._context = zmq.Context()
        self._address = address
        self._keys = keys
        self._allowed = allowed
        self._handle = handle
        self._links: dict[str, PeerLink] = {}
        self._peers: dict[str, PeerAddress] = {}
        self._nursery: trio.Nursery | None = None
        self._asked = trio.Event()

    async def run(self, port: int) -> None:
        """Answer at ``port`` until cancelled."""
        authenticator = None
        if self._keys is not None:
            authenticator = TrioSocket(self._context.socket(zmq.REP))
            authenticator.raw.bind(AUTHENTICATION_ADDRESS)
        server = TrioSocket(self._server_socket(port))
        try:
            async with trio.open_nursery() as nursery:
                self._nursery = nursery
                if authenticator is not None:
                    nursery.start_soon(self._authenticate, authenticator)
                nursery.start_soon(self._watch)
                await self._answer(server)
        finally:
            self._nursery = None
            for link in self._links.values():
                link.close()
            self._links.clear()
            server.close()
            if authenticator is not None:
                authenticator.close()
            self._context.destroy(linger=0)

    async def ask(
        self, peer: PeerAddress, question: Message, timeout_ms: int
    ) -> Result[Message, AskFailure]:
        """Ask another host; the ``Err`` says whether it may have heard."""
        if self._nursery is None:
            return Err(AskFailure("the links are not up", sent=False))
        if not self._can_reach(peer):
            return Err(AskFailure(f"{peer.name} has no usable address", sent=False))
        link = self._link(peer, self._nursery)
        return await link.ask(question, timeout_ms)

    async def tell(self, peer: PeerAddress, news: Message) -> None:
        """Send something that needs no answer, if the host is connected soon."""
        if self._nursery is not None and self._can_reach(peer):
            await self._link(peer, self._nursery).tell(news)

    def _can_reach(self, peer: PeerAddress) -> bool:
        """Whether a host's record has what its link needs: others wrote it."""
        try:
            IPv4Address(peer.address)
        except ValueError:
            return False
        has_key = self._keys is None or len(peer.public_key) == KEY_CHARACTERS
        return has_key and 0 < peer.port <= HIGHEST_PORT

    def is_dark(self, peer: PeerAddress) -> bool:
        """Whether a host that was asked lately leaves questions unanswered."""
        link = self._links.get(peer.name)
        return link is not None and self._peers[peer.name] == peer and link.dark

    async def _watch(self) -> None:
        """Look after the links from which answers are due."""
        while True:
            watched = [link for link in self._links.values() if link.watched]
            if not watched:
                self._asked = trio.Event()
                await self._asked.wait()
            await trio.sleep(LOOK_INTERVAL_S)
            for link in list(self._links.values()):
                if link.watched:
                    link.look()

    def _link(self, peer: PeerAddress, nursery: trio.Nursery) -> PeerLink:
        link = self._links.get(peer.name)
        if link is not None and self._peers[peer.name] == peer:
            return link
        if link is not None:
            link.close()
        socket = TrioSocket(self._client_socket(peer))
        fresh = PeerLink(
            peer.name, socket, self._endpoint(peer), lambda: self._asked.set()
        )
        self._links[peer.name] = fresh
        self._peers[peer.name] = peer
        nursery.start_soon(fresh.run)
        return fresh

    def _server_socket(self, port: int) -> zmq.Socket:
        socket = self._socket(zmq.ROUTER)
        if self._keys is not None:
            socket.curve_server = 1
            socket.zap_domain = b"rattanhollow"
        socket.bind(f"tcp://{self._address}:{port}")
        return socket

    def _client_socket(self, peer: PeerAddress) -> zmq.Socket:
        socket = self._socket(zmq.DEALER)
        # Nothing is kept for a connection that isn't there: a question that
        # arrives late runs for nobody.
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS)
        if self._keys is not None:
            socket.curve_serverkey = peer.public_key.encode()
        socket.connect(self._endpoint(peer))
        return socket

    def _endpoint(self, peer: PeerAddress) -> str:
        return f"tcp://{self._address}:0;{peer.address}:{peer.port}"

    def _socket(self, kind: int) -> zmq.Socket:
        socket = self._context.socket(kind)
        if self._keys is not None:
            socket.curve_publickey = self._keys.public
            socket.curve_secretkey = self._keys.secret
        socket.setsockopt(zmq.SNDHWM, QUEUED_MESSAGES)
        socket.setsockopt(zmq.RCVHWM, QUEUED_MESSAGES)
        socket.setsockopt(zmq.MAXMSGSIZE, LARGEST_MESSAGE_BYTES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.setsockopt(zmq.TCP_MAXRT, USER_TIMEOUT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_HIGHEST_MS)
        return socket

    async def _authenticate(self, socket: TrioSocket) -> None:
        """Answer ZeroMQ's questions whether a key may connect (RFC 27, ZAP)."""
        while True:
            parts = await socket.receive()
            version, request = parts[0], parts[1]
            known = len(parts) == 7 and parts[5] == b"CURVE"
            key = zmq.utils.z85.encode(parts[6]).decode() if known else ""
            status = b"200" if known and self._allowed(key) else b"400"
            socket.send([version, request, status, b"", b"", b""])

    async def _answer(self, server: TrioSocket) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                sender, data = (await server.receive())[:2]
                try:
                    number, question = decode(data)
                except MessageRefused as error:
                    log_event("peer.refused", reason=error)
                    continue
                if isinstance(question, Ping):
                    server.send([sender, encode(number, Pong())])
                    continue
                nursery.start_soon(self._reply, server, sender, number, question)

    async def _reply(
        self, server: TrioSocket, sender: bytes, number: int, question: Message
    ) -> None:
        try:
            answer = await self._handle(question)
            data = encode(number, answer) if answer is not None else b""
        except Exception as error:
            # One question must not end the process; its asker hears nothing.
            log_failure("peer.handler_failed", error, question=type(question).__name__)
            return
        if answer is not None:
            server.send([sender, data])
