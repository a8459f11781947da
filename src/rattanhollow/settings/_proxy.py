"""The settings of a proxy process."""

from pathlib import Path
from typing import Any, NamedTuple

from rattanhollow.limits import CallerLimits
from rattanhollow.settings._ini import (
    Field,
    Section,
    SettingsError,
    boolean,
    integer,
    ip_address,
    optional_text,
    read_file,
    read_ini,
    text,
)

HIGHEST_PORT = 65_535
HOUR_MS = 3_600_000
GIBIBYTE = 1 << 30


class HostSettings(NamedTuple):
    """Which host this is; ``zone`` is its availability zone."""

    name: str
    address: str
    zone: str


class ListenSettings(NamedTuple):
    """Where callers connect; the files are empty where TLS is off."""

    port: int
    tls_certificate_file: str
    tls_key_file: str
    require_tls: bool


class PeerSettings(NamedTuple):
    """Where the other proxies connect."""

    port: int


class StoreSettings(NamedTuple):
    """The platform's object store."""

    url: str
    timeout_ms: int


class BackendSettings(NamedTuple):
    """How backend servers are used; ``connections`` is per server and host."""

    user: str
    password: str
    connections: int
    connect_timeout_ms: int
    probe_after_idle_ms: int
    answer_timeout_ms: int


class LimitSettings(NamedTuple):
    """What one caller may use."""

    request_timeout_ms: int
    frame_bytes: int
    login_timeout_ms: int
    transaction_idle_ms: int
    callers: int
    send_timeout_ms: int
    held: CallerLimits


class ReadSettings(NamedTuple):
    """How reads use replicas."""

    replica_wait_ms: int


class FailoverSettings(NamedTuple):
    """How a dead primary is noticed."""

    probe_interval_ms: int
    probe_timeout_ms: int
    suspect_after_ms: int
    step_timeout_ms: int
    watchers: int


class MembershipSettings(NamedTuple):
    """How hosts watch one another."""

    ask_interval_ms: int
    ask_timeout_ms: int
    silent_after_ms: int


class RateSettings(NamedTuple):
    """How rates are shared; all hosts of a fleet must have the same."""

    shards: int
    hosts_at_most: int
    lease_ms: int
    share_valid_ms: int
    ask_interval_ms: int
    wait_ms: int


class ShutdownSettings(NamedTuple):
    """How a host leaves."""

    announce_ms: int
    drain_ms: int


class MetricsSettings(NamedTuple):
    """Where statsd listens; an empty address sends nothing."""

    address: str
    port: int


class ProxySettings(NamedTuple):
    """All settings of a proxy process."""

    host: HostSettings
    listen: ListenSettings
    peer: PeerSettings
    store: StoreSettings
    backend: BackendSettings
    limits: LimitSettings
    reads: ReadSettings
    failover: FailoverSettings
    membership: MembershipSettings
    rates: RateSettings
    shutdown: ShutdownSettings
    metrics: MetricsSettings


_PORT = integer(1, HIGHEST_PORT)
_DURATION_MS = integer(1, HOUR_MS)

# 64 MB are kept for the process itself, and the rest has to hold several requests.
LOWEST_MEMORY_MB = 96
# A proxy keeps 100 MB for itself.
PROXY_LOWEST_MEMORY_MB = 128
LOWEST_HELD_KB = 12_288
HELD_KB = 1 << 30
MANY = 1_000_000
HELD_LIMITS = "memory_mb held_kb organisation_kb connection_kb pause_ms".split()

LAYOUT: dict[str, Section] = {
    "host": {
        "name": Field(text),
        "address": Field(ip_address),
        "zone": Field(text),
    },
    "listen": {
        "port": Field(_PORT, 6432),
        "tls_certificate_file": Field(optional_text, ""),
        "tls_key_file": Field(optional_text, ""),
        "require_tls": Field(boolean, False),
    },
    "peer": {"port": Field(_PORT, 6433)},
    "store": {"url": Field(text), "timeout_ms": Field(_DURATION_MS, 1_000)},
    "backend": {
        "user": Field(text),
        "password": Field(text),
        "connections": Field(integer(1, 10_000), 4),
        "connect_timeout_ms": Field(_DURATION_MS, 1_000),
        "probe_after_idle_ms": Field(_DURATION_MS, 3_000),
        "answer_timeout_ms": Field(_DURATION_MS, 30_000),
    },
    "limits": {
        "request_timeout_ms": Field(_DURATION_MS, 10_000),
        "frame_bytes": Field(integer(1_024, GIBIBYTE), 16 << 20),
        "login_timeout_ms": Field(_DURATION_MS, 10_000),
        "transaction_idle_ms": Field(_DURATION_MS, 60_000),
        "callers": Field(integer(1, 100_000), 5_000),
        "send_timeout_ms": Field(_DURATION_MS, 30_000),
        "memory_mb": Field(integer(PROXY_LOWEST_MEMORY_MB, MANY), 0),
        "held_kb": Field(integer(LOWEST_HELD_KB, HELD_KB), 0),
        "organisation_kb": Field(integer(LOWEST_HELD_KB, HELD_KB), 0),
        "connection_kb": Field(integer(LOWEST_HELD_KB, HELD_KB), 0),
        "pause_ms": Field(_DURATION_MS, 2_000),
    },
    "reads": {"replica_wait_ms": Field(integer(0, HOUR_MS), 60)},
    "failover": {
        "probe_interval_ms": Field(_DURATION_MS, 250),
        "probe_timeout_ms": Field(_DURATION_MS, 500),
        "suspect_after_ms": Field(_DURATION_MS, 1_000),
        "step_timeout_ms": Field(_DURATION_MS, 1_000),
        "watchers": Field(integer(1, 100), 5),
    },
    "membership": {
        "ask_interval_ms": Field(_DURATION_MS, 5_000),
        "ask_timeout_ms": Field(_DURATION_MS, 1_000),
        "silent_after_ms": Field(_DURATION_MS, 20_000),
    },
    "rates": {
        "shards": Field(integer(1, 1_000), 8),
        "hosts_at_most": Field(integer(1, 10_000), 16),
        "lease_ms": Field(_DURATION_MS, 45_000),
        "share_valid_ms": Field(_DURATION_MS, 75_000),
        "ask_interval_ms": Field(_DURATION_MS, 500),
        "wait_ms": Field(integer(0, HOUR_MS), 200),
    },
    "shutdown": {
        "announce_ms": Field(integer(0, HOUR_MS), 5_000),
        "drain_ms": Field(_DURATION_MS, 60_000),
    },
    "metrics": {
        "address": Field(optional_text, ""),
        "port": Field(_PORT, 8_125),
    },
}


def proxy_settings_from(file: str, content: str) -> ProxySettings:
    """Return the settings in the INI text ``content``.

    Raises:
        SettingsError: an unknown, missing or bad entry; it names ``file``.

    """
    values = read_ini(file, content, LAYOUT)
    limits = values["limits"]
    held = CallerLimits(**{name: limits.pop(name) for name in HELD_LIMITS})
    _check_tls(file, values["listen"])
    _check_rates(file, values["rates"])
    return ProxySettings(
        host=HostSettings(**values["host"]),
        listen=ListenSettings(**values["listen"]),
        peer=PeerSettings(**values["peer"]),
        store=StoreSettings(**values["store"]),
        backend=BackendSettings(**values["backend"]),
        limits=LimitSettings(**limits, held=held),
        reads=ReadSettings(**values["reads"]),
        failover=FailoverSettings(**values["failover"]),
        membership=MembershipSettings(**values["membership"]),
        rates=RateSettings(**values["rates"]),
        shutdown=ShutdownSettings(**values["shutdown"]),
        metrics=MetricsSettings(**values["metrics"]),
    )


def read_proxy_settings(file: Path) -> ProxySettings:
    """Return the settings in ``file``; errors as `proxy_settings_from`."""
    return proxy_settings_from(str(file), read_file(file))


def _check_rates(file: str, rates: dict[str, Any]) -> None:
    if rates["share_valid_ms"] <= rates["lease_ms"]:
        reason = "must be longer than lease_ms, or shares lapse with each owner"
        raise SettingsError(file, "rates", "share_valid_ms", reason)


def _check_tls(file: str, listen: dict[str, Any]) -> None:
    has_certificate = bool(listen["tls_certificate_file"])
    if has_certificate != bool(listen["tls_key_file"]):
        reason = "a certificate and its key belong together"
        raise SettingsError(file, "listen", "tls_key_file", reason)
    if listen["require_tls"] and not has_certificate:
        reason = "needs tls_certificate_file and tls_key_file"
        raise SettingsError(file, "listen", "require_tls", reason)
