"""Settings: what is wrong is named, and nothing starts."""

import subprocess
import sys
from pathlib import Path

import pytest

from rattanhollow.host import build_host, platform_ends
from rattanhollow.settings import (
    SettingsError,
    line_host_settings_from,
    proxy_settings_from,
)

GOOD = """
[host]
name = p1
address = 127.0.0.1
zone = a
[store]
url = http://127.0.0.1:7070
[backend]
user = u
password = p
"""

HOST = """
[host]
name = h1
address = 10.0.0.1
zone = z0
regions = z0:r0
[listen]
callers = 10.0.0.1:1
readiness = 10.0.0.1:2
peer_port = 3
metrics_port = 4
[platform]
store = 10.0.0.2:5
requested = base,config
"""

BAD = [
    ("[host]\nname = x", "host", "address", "missing"),
    (GOOD + "[limits]\nrequest_timeout_s = 3", "limits", "request_timeout_s", "unit"),
    (GOOD + "[limits]\ncallers = many", "limits", "callers", "whole number"),
    (GOOD + "[limits]\ncallers = 0", "limits", "callers", "between"),
    (GOOD + "[listen]\nport = 70000", "listen", "port", "between"),
    (GOOD + "[listen]\nrequire_tls = maybe", "listen", "require_tls", "yes nor no"),
    (GOOD + "[listen]\nrequire_tls = yes", "listen", "require_tls", "needs"),
    (GOOD + "[listen]\ntls_key_file = k", "listen", "tls_key_file", "together"),
    (GOOD + "[nonsense]\na = 1", "nonsense", "-", "unknown section"),
    (GOOD.replace("127.0.0.1\nzone", "db.example\nzone"), "host", "address", "IPv4"),
    ("no ini at all", "-", "-", "no section headers"),
]


def test_defaults() -> None:
    """A short file is enough; the rest has defaults."""
    settings = proxy_settings_from("p.ini", GOOD)
    assert settings.host.name == "p1"
    assert settings.listen.port == 6432


@pytest.mark.parametrize(("content", "section", "key", "reason"), BAD)
def test_bad_settings(content: str, section: str, key: str, reason: str) -> None:
    """A bad entry is refused with file, section, key and reason."""
    with pytest.raises(SettingsError) as caught:
        proxy_settings_from("p.ini", content)
    error = caught.value
    assert (error.file, error.section, error.key) == ("p.ini", section, key)
    assert reason in error.reason


def test_the_program_exits_with_2(tmp_path: Path) -> None:
    """The program prints the error and exits with 2."""
    file = tmp_path / "p.ini"
    file.write_text(GOOD + "[limits]\ncallers = none")
    command = [sys.executable, "-m", "rattanhollow", "proxy", "--settings", str(file)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=30)
    assert done.returncode == 2
    assert f"{file}: [limits] callers:" in done.stderr


def test_bounds_that_a_deployment_lacks_have_defaults() -> None:
    """The platform renders an empty value for a field that a deployment lacks."""
    empty = "[bounds]\nevacuate_ms =\ncold_over =\ncold_slack =\n"
    settings = line_host_settings_from("h.ini", HOST + empty)
    assert (settings.evacuate_ms, settings.cold) == (5_000, (1.0, 0))
    assert settings.crossing == (0, 0)
    given = "[bounds]\nevacuate_ms = 3000\ncold_over = 1.5\ncold_slack = 5\n"
    settings = line_host_settings_from("h.ini", HOST + given)
    assert (settings.evacuate_ms, settings.cold) == (3_000, (1.5, 5))


@pytest.mark.parametrize(
    ("added", "requested", "on"),
    [
        ("", "base,config", False),
        ("[admission]\nscarce_slots = yes", "base,config", True),
        ("", "base,pressure", True),
    ],
)
def test_scarce_slots_are_asked_for(added: str, requested: str, on: bool) -> None:
    """Without the setting or the platform's word, queues are as they were."""
    content = HOST.replace("base,config", requested) + added
    settings = line_host_settings_from("h.ini", content)
    assert build_host(settings, platform_ends(settings), 1)._scarce_slots is on
