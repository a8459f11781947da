"""The messages between proxies, and their encoding."""

from typing import Any, NamedTuple

import msgspec

from rattanhollow.coordination import (
    GroupState,
    Position,
    Stamp,
    TokenGrant,
    TokenWant,
)
from rattanhollow.serving import (
    ProofAnswer,
    ProofQuestion,
    WithdrawalNews,
    Work,
    WorkResult,
)
from rattanhollow.store import Revision, Step, revision_from_wire, revision_to_wire

PROTOCOL_VERSION = 2
LARGEST_MESSAGE_BYTES = 2 << 20


class Ping(NamedTuple):
    """Asks for a sign of life."""


class Pong(NamedTuple):
    """A sign of life."""


class SuspicionQuestion(NamedTuple):
    """Asks whether a host holds the primary of ``term`` for dead."""

    database: str
    term: int


class SuspicionAnswer(NamedTuple):
    """``suspects`` is meant by the answering ``host`` in ``zone``.

    ``state`` is the newest agreed state that it knows, which a host cut off
    from the store learns this way.
    """

    host: str
    zone: str
    suspects: bool
    state: GroupState | None = None


class CancelQuestion(NamedTuple):
    """Cancel what the caller with this key data runs, if it is connected there."""

    process_id: int
    secret: int


class CancelAnswer(NamedTuple):
    """Whether the caller was ``found``."""

    found: bool


class HostQuestion(NamedTuple):
    """Asks a host whether it lives, or another one whether it finds it silent.

    ``incarnation`` is the one that is meant: the address may be used again.
    """

    host: str
    incarnation: str


class HostAnswer(NamedTuple):
    """``silent`` where the asked host has not heard of the other for long."""

    silent: bool


class FreshnessQuestion(NamedTuple):
    """Asks what a host knows of the configuration."""


class FreshnessAnswer(NamedTuple):
    """``version`` is the store's, ``heard_ms`` how long the store was silent."""

    version: Revision
    heard_ms: int


class ConfigurationQuestion(NamedTuple):
    """Asks for all configuration that a host has."""


class ConfigurationAnswer(NamedTuple):
    """``content`` is JSON: name, version and content of each object."""

    content: bytes


class ShareAsk(NamedTuple):
    """What a host needs of one organisation's rate, and the share that it uses."""

    organisation: str
    demand_per_s: float
    number: int
    rate_per_s: float
    burst: float
    valid_ms: int


class ShareQuestion(NamedTuple):
    """Asks an owner for shares; ``host`` is the asker's incarnation."""

    host: str
    asks: tuple[ShareAsk, ...]


class ShareGrant(NamedTuple):
    """A share of one organisation's rate."""

    organisation: str
    number: int
    rate_per_s: float
    burst: float


class ShareAnswer(NamedTuple):
    """The shares granted; what the asked host does not own is left out."""

    grants: tuple[ShareGrant, ...]


class PoolQuestion(NamedTuple):
    """Deposits parts of the rates of some shards, and asks for tokens.

    ``base`` is the part of each rate that ``host`` has, ``stamp`` the newest
    that it has of this broker.
    """

    host: str
    stamp: Stamp
    base: float
    shards: tuple[int, ...]
    wants: tuple[TokenWant, ...]


class FirstDepositQuestion(NamedTuple):
    """A host's first deposits behind its start; answered like a `PoolQuestion`.

    Nobody used what is deposited for ``unused_ms`` before.
    """

    request: PoolQuestion
    unused_ms: int


class PoolAnswer(NamedTuple):
    """The tokens granted, and a new stamp."""

    stamp: Stamp
    grants: tuple[TokenGrant, ...]


class DepositQuestion(NamedTuple):
    """Asks whether a broker holds anything that an earlier start deposited."""

    host: str


class DepositAnswer(NamedTuple):
    """For how long it does; 0 where it doesn't."""

    held_ms: int


class CopyState(NamedTuple):
    """How new a followed copy is, and a digest of its objects."""

    kind: str
    version: Revision
    digest: int


class CopyQuestion(NamedTuple):
    """Asks for copies that are newer than the asker's."""

    states: tuple[CopyState, ...]


class Copy(NamedTuple):
    """A whole copy: name, version and content of each object.

    One of an era before the receiver's has what the store has lost since.
    """

    kind: str
    version: Revision
    items: tuple[tuple[str, Revision, dict[str, Any]], ...]


class CopyChange(NamedTuple):
    """What changed in a copy behind version ``since``, until ``version``.

    Name, version and content of each changed object, and the names of those gone;
    ``digest`` of the whole copy that this gives.
    """

    kind: str
    since: Revision
    version: Revision
    items: tuple[tuple[str, Revision, dict[str, Any]], ...]
    gone: tuple[str, ...]
    digest: int


class CopyAnswer(NamedTuple):
    """What is newer: the changes, and whole copies where these aren't known."""

    copies: tuple[Copy, ...]
    changes: tuple[CopyChange, ...] = ()


class CopyNews(NamedTuple):
    """Tells of copies that the store has changed.

    ``pass_on`` where a relay is to tell its availability zone.
    """

    copies: tuple[Copy, ...]
    pass_on: bool = False


class ChangeNews(NamedTuple):
    """Tells the hosts of an availability zone what a relay has heard."""

    changes: tuple[CopyChange, ...]


class CopyDifference(NamedTuple):
    """A change of a copy whose large objects come as steps from earlier versions.

    ``change`` has the other objects. Neither objects nor steps: the change is too
    large for one message, and its receiver asks for it.
    """

    change: CopyChange
    steps: tuple[Step, ...] = ()


class DifferenceNews(NamedTuple):
    """Tells what has changed, where large objects have.

    ``pass_on`` where a relay is to tell its availability zone, ``into_region`` where
    it is to tell the other relays of its region, too.
    """

    differences: tuple[CopyDifference, ...]
    pass_on: bool = False
    into_region: bool = False


class DifferenceQuestion(NamedTuple):
    """Asks for what changed behind a copy.

    ``large`` has name and version of each large object that the asker has.
    """

    state: CopyState
    large: tuple[tuple[str, Revision], ...]


class DifferenceAnswer(NamedTuple):
    """What changed; None where that isn't known, is nothing, or is too large."""

    difference: CopyDifference | None


class PieceQuestion(NamedTuple):
    """Asks for the next piece of the copy with ``digest``.

    ``version`` is what the asker has: where another copy is newer than that, its
    first piece may be sent instead.
    """

    kind: str
    version: Revision
    digest: int
    offset: int


class PieceAnswer(NamedTuple):
    """A piece of an encoded copy, which has ``total_bytes`` and ``data_digest``.

    Without bytes where the host has no newer copy, or ``retry_ms`` later.
    """

    version: Revision
    digest: int
    data_digest: int
    total_bytes: int
    offset: int
    data: bytes
    retry_ms: int = 0


class ReachQuestion(NamedTuple):
    """Asks whether a host reaches a backend server."""

    server: str


class ReachAnswer(NamedTuple):
    """Whether it does, and the asked host's availability zone."""

    reaches: bool
    zone: str


class StopUseQuestion(NamedTuple):
    """Stops the use of a service's primary, whichever it is, under a fencing token.

    What it acknowledges from now on may be lost. ``gives_up_writes`` where nobody has
    confirmed that it stopped: it may acknowledge what was sent before.
    """

    service: str
    token: int
    gives_up_writes: bool


class StopUseAnswer(NamedTuple):
    """The host does not use the primary any longer."""


class UseQuestion(NamedTuple):
    """Asks whether the use of a service's primary was stopped at a host."""

    service: str


class UseAnswer(NamedTuple):
    """Whether it was, and has not been found to be over since."""

    is_stopped: bool


class StoreStateQuestion(NamedTuple):
    """Asks what the store holds now, at the earliest when this is received."""

    kinds: tuple[str, ...]


class StoreStateAnswer(NamedTuple):
    """The states of the kinds of which the store was asked successfully."""

    states: tuple[CopyState, ...]


class FloorQuestion(NamedTuple):
    """Asks how far the log of a service's primary reached lately."""

    service: str


class FloorAnswer(NamedTuple):
    """``position`` was proven at most ``age_ms`` before the answer; None: unknown."""

    position: Position | None
    age_ms: int = 0


class ReplacementOverNews(NamedTuple):
    """Tells that a service's replacement is over, the last one up to a token."""

    service: str
    token: int


class LeaderNews(NamedTuple):
    """Tells that a backend server leads its service."""

    service: str
    server: str


Message = (
    Ping
    | Pong
    | SuspicionQuestion
    | SuspicionAnswer
    | CancelQuestion
    | CancelAnswer
    | HostQuestion
    | HostAnswer
    | FreshnessQuestion
    | FreshnessAnswer
    | ConfigurationQuestion
    | ConfigurationAnswer
    | ShareQuestion
    | ShareAnswer
    | Work
    | WorkResult
    | ProofQuestion
    | ProofAnswer
    | PoolQuestion
    | FirstDepositQuestion
    | PoolAnswer
    | DepositQuestion
    | DepositAnswer
    | CopyQuestion
    | CopyAnswer
    | CopyNews
    | ChangeNews
    | DifferenceNews
    | DifferenceQuestion
    | DifferenceAnswer
    | PieceQuestion
    | PieceAnswer
    | ReachQuestion
    | ReachAnswer
    | StopUseQuestion
    | StopUseAnswer
    | UseQuestion
    | UseAnswer
    | FloorQuestion
    | FloorAnswer
    | ReplacementOverNews
    | LeaderNews
    | WithdrawalNews
    | StoreStateQuestion
    | StoreStateAnswer
)

MESSAGE_TYPES: dict[str, Any] = {
    "ping?": Ping,
    "ping": Pong,
    "suspicion?": SuspicionQuestion,
    "suspicion": SuspicionAnswer,
    "cancel?": CancelQuestion,
    "cancel": CancelAnswer,
    "host?": HostQuestion,
    "host": HostAnswer,
    "fresh?": FreshnessQuestion,
    "fresh": FreshnessAnswer,
    "configuration?": ConfigurationQuestion,
    "configuration": ConfigurationAnswer,
    "shares?": ShareQuestion,
    "shares": ShareAnswer,
    "work?": Work,
    "work": WorkResult,
    "proof?": ProofQuestion,
    "proof": ProofAnswer,
    "pool?": PoolQuestion,
    "first pool?": FirstDepositQuestion,
    "pool": PoolAnswer,
    "deposit?": DepositQuestion,
    "deposit": DepositAnswer,
    "copy?": CopyQuestion,
    "copy": CopyAnswer,
    "news": CopyNews,
    "changes": ChangeNews,
    "differences": DifferenceNews,
    "difference?": DifferenceQuestion,
    "difference": DifferenceAnswer,
    "piece?": PieceQuestion,
    "piece": PieceAnswer,
    "reach?": ReachQuestion,
    "reach": ReachAnswer,
    "stop use?": StopUseQuestion,
    "stop use": StopUseAnswer,
    "use?": UseQuestion,
    "use": UseAnswer,
    "floor?": FloorQuestion,
    "floor": FloorAnswer,
    "replacement over": ReplacementOverNews,
    "leader": LeaderNews,
    "withdrawal": WithdrawalNews,
    "store state?": StoreStateQuestion,
    "store state": StoreStateAnswer,
}


def _encode_special(value: Any) -> Any:
    if isinstance(value, Revision):
        return revision_to_wire(value)
    raise TypeError(f"{type(value).__name__} has no encoding")


def _decode_special(wanted: type, value: Any) -> Any:
    if wanted is Revision:
        return revision_from_wire(value)
    raise TypeError(f"{wanted.__name__} has no encoding")


_NAMES = {record: name for name, record in MESSAGE_TYPES.items()}
_DECODERS = {
    name: msgspec.msgpack.Decoder(record, dec_hook=_decode_special)
    for name, record in MESSAGE_TYPES.items()
}


class Envelope(NamedTuple):
    """A message on its way: ``number`` pairs an answer with its question."""

    version: int
    number: int
    type: str
    body: msgspec.Raw


_ENVELOPE = msgspec.msgpack.Decoder(Envelope)
_ENCODER = msgspec.msgpack.Encoder(enc_hook=_encode_special)


class MessageRefused(ValueError):
    """Bytes that are no message this program understands, or no message to send."""


def encoded_bytes(value: Any) -> int:
    """Return how many bytes a message, or a part of one, has as it is sent.

    Raises:
        TypeError: a value that has no encoding.

    """
    return len(_ENCODER.encode(value))


def encode(number: int, message: Message) -> bytes:
    """Return ``message`` as bytes.

    Raises:
        MessageRefused: too large, or a value that has no encoding.

    """
    name = _NAMES[type(message)]
    try:
        body = msgspec.Raw(_ENCODER.encode(message))
        data = _ENCODER.encode(Envelope(PROTOCOL_VERSION, number, name, body))
    except (ValueError, TypeError, OverflowError, RecursionError) as error:
        raise MessageRefused(f"{name} can't be encoded: {error}") from None
    if len(data) > LARGEST_MESSAGE_BYTES:
        raise MessageRefused(f"{name}: {len(data)} bytes are too many")
    return data


def decode(data: bytes) -> tuple[int, Message]:
    """Return number and message.

    Raises:
        MessageRefused: too large, no message, another version or type.

    """
    if len(data) > LARGEST_MESSAGE_BYTES:
        raise MessageRefused(f"{len(data)} bytes are too many")
    try:
        envelope = _ENVELOPE.decode(data)
        if envelope.version != PROTOCOL_VERSION:
            raise MessageRefused(f"version {envelope.version} is not understood")
        if envelope.type not in MESSAGE_TYPES:
            raise MessageRefused(f"type {envelope.type!r} is not understood")
        return envelope.number, _DECODERS[envelope.type].decode(envelope.body)
    except MessageRefused:
        raise
    except (ValueError, OverflowError, RecursionError) as error:
        raise MessageRefused(str(error)) from None
