"""The protocol between proxies: typed messages over ZeroMQ, encrypted by CURVE."""

from rattanhollow.peer._connection import AskFailure
from rattanhollow.peer._link import PeerAddress, PeerKeys, Peers, new_peer_keys
from rattanhollow.peer._messages import (
    CancelAnswer,
    CancelQuestion,
    ConfigurationAnswer,
    ConfigurationQuestion,
    FreshnessAnswer,
    FreshnessQuestion,
    HostAnswer,
    HostQuestion,
    Message,
    PoolAnswer,
    PoolQuestion,
    ShareAnswer,
    ShareAsk,
    ShareGrant,
    ShareQuestion,
    SuspicionAnswer,
    SuspicionQuestion,
)

__all__ = [
    "AskFailure",
    "CancelAnswer",
    "CancelQuestion",
    "ConfigurationAnswer",
    "ConfigurationQuestion",
    "FreshnessAnswer",
    "FreshnessQuestion",
    "HostAnswer",
    "HostQuestion",
    "Message",
    "PeerAddress",
    "PeerKeys",
    "Peers",
    "PoolAnswer",
    "PoolQuestion",
    "ShareAnswer",
    "ShareAsk",
    "ShareGrant",
    "ShareQuestion",
    "SuspicionAnswer",
    "SuspicionQuestion",
    "new_peer_keys",
]
