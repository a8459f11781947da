"""What the proxy knows of one caller's connection."""

import time

import trio

from rattanhollow.backend import BackendConnection, Group
from rattanhollow.configuration import Key, Organisation, Scope
from rattanhollow.coordination import ORIGIN, Position
from rattanhollow.limits import Account, KeptEntries, Purpose, text_bytes
from rattanhollow.pgwire import Wire, parameter_status
from rattanhollow.verdict import Refusal

IDLE = b"I"
FAILED = b"E"
TOKEN_SETTING = "rattanhollow.token"


class PreparedStatement:
    """A statement the caller prepared: ``backend_name`` is its name at servers."""

    def __init__(self, backend_name: bytes, body: bytes, text: str) -> None:
        self.backend_name = backend_name
        self.body = body
        self.text = text


class Caller:
    """The state of one caller's session.

    ``limits`` is what is configured for its organisation. ``floor`` is the
    position that its reads must see; ``exact`` is set once the caller brought
    a token, so that no index is asked for. ``pinned`` is the connection that
    holds its transaction or its session state, ``term`` the term in which that
    began; ``running`` is the connection that works for it now. ``relayed`` is
    whether it was sent some of the answer to its request, ``busy`` whether one
    is under way, ``resting_since_s`` when the last one ended. ``ending`` is what
    it is told where the session must end.
    """

    def __init__(
        self,
        wire: Wire,
        limits: Organisation,
        key: Key,
        group: Group,
        account: Account,
    ) -> None:
        self.wire = wire
        self.account = account
        self.limits = limits
        self.key = key
        self.group = group
        self.floor: Position = ORIGIN
        self.exact = False
        self.chosen_scope: Scope | None = None
        self.chosen_age_ms: int | None = None
        self.settings: KeptEntries[str, str] = KeptEntries(text_bytes)
        self.statements: KeptEntries[bytes, PreparedStatement] = KeptEntries(
            lambda name, kept: len(name) + len(kept.body) + text_bytes(kept.text)
        )
        self.status = IDLE
        self.pinned: BackendConnection | None = None
        self.pinned_for_good = False
        self.term = 0
        self.running: BackendConnection | None = None
        self.process_id = 0
        self.secret = 0
        self.ending: Refusal | None = None
        self.cancel_lock = trio.Lock()
        self.session_scope = trio.CancelScope()
        self.began_at_s = time.monotonic()
        self.index_known = False
        self.flushed = False
        self.relayed = False
        self.busy = False
        self.resting_since_s = self.began_at_s

    def raise_floor(self, position: Position) -> None:
        """Raise the floor to ``position``; it never falls."""
        if position > self.floor:
            self.floor = position

    @property
    def idle(self) -> bool:
        """Whether it runs nothing, has sent nothing, and holds nothing."""
        resting = not self.busy and self.status == IDLE and not self.flushed
        return resting and not self.wire.mid_frame

    @property
    def resting_s(self) -> float:
        """For how long it has sent nothing, 0 where something is under way."""
        if not self.idle or self.wire.has_frames:
            return 0.0
        return time.monotonic() - self.resting_since_s

    @property
    def organisation(self) -> str:
        """The name of the caller's organisation."""
        return self.limits.name

    @property
    def scope(self) -> Scope:
        """What the session is: as the caller chose, else as is configured."""
        return self.chosen_scope or self.limits.scope

    @property
    def max_age_ms(self) -> int:
        """How old reads may be: as the caller chose, else as is configured."""
        if self.chosen_age_ms is None:
            return self.limits.max_age_ms
        return self.chosen_age_ms

    @property
    def database(self) -> str:
        """The name of the database that the caller chose."""
        return self.group.database.name

    def hold_values(self) -> None:
        """Account for what the session keeps; the request itself is over."""
        kept_bytes = self.settings.kept_bytes + self.statements.kept_bytes
        self.account.hold(Purpose.STATEMENT, 0)
        self.account.hold(Purpose.VALUES, kept_bytes)

    def token_status(self) -> bytes:
        """Return the report of the token that another connection may bring."""
        return parameter_status(TOKEN_SETTING, str(self.floor))

    def lose_transaction(self, ended: bool) -> None:
        """Forget the transaction; unless it ``ended``, the caller has to end it."""
        self.pinned = None
        self.pinned_for_good = False
        self.flushed = False
        self.status = IDLE if ended or self.status == IDLE else FAILED
