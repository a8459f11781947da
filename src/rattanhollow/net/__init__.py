"""Plumbing over TCP: sockets that notice a vanished peer, and small HTTP ends."""

from rattanhollow.net._http_client import HttpAnswer, HttpClient
from rattanhollow.net._http_server import HttpReply, serve_http
from rattanhollow.net._tcp import (
    CALLER_KEEPALIVE,
    Keepalive,
    connect_from,
    listen_at,
    tune_socket,
)

__all__ = [
    "CALLER_KEEPALIVE",
    "HttpAnswer",
    "HttpClient",
    "HttpReply",
    "Keepalive",
    "connect_from",
    "listen_at",
    "serve_http",
    "tune_socket",
]
