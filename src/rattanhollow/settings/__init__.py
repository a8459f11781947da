"""Settings in INI, checked before anything starts."""

from rattanhollow.settings._host import (
    Endpoint,
    LineHostSettings,
    line_host_settings_from,
    read_line_host_settings,
)
from rattanhollow.settings._ini import (
    Field,
    Section,
    SettingsError,
    boolean,
    integer,
    ip_address,
    read_file,
    read_ini,
    text,
)
from rattanhollow.settings._operator import OperatorSettings, read_operator_settings
from rattanhollow.settings._proxy import (
    BackendSettings,
    FailoverSettings,
    HostSettings,
    LimitSettings,
    ListenSettings,
    MembershipSettings,
    MetricsSettings,
    ProxySettings,
    RateSettings,
    StoreSettings,
    proxy_settings_from,
    read_proxy_settings,
)

__all__ = [
    "Endpoint",
    "LineHostSettings",
    "line_host_settings_from",
    "read_line_host_settings",
    "BackendSettings",
    "FailoverSettings",
    "Field",
    "HostSettings",
    "LimitSettings",
    "ListenSettings",
    "MembershipSettings",
    "MetricsSettings",
    "OperatorSettings",
    "ProxySettings",
    "RateSettings",
    "Section",
    "SettingsError",
    "StoreSettings",
    "boolean",
    "integer",
    "ip_address",
    "proxy_settings_from",
    "read_file",
    "read_ini",
    "read_operator_settings",
    "read_proxy_settings",
    "text",
]
