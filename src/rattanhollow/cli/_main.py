"""The program's commands.

cappa reads commands from dataclasses, so these are no named tuples.
"""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from rattanhollow.settings import SettingsError

EXIT_BAD_INPUT = 2
EXIT_FAILED = 1

SettingsFile = Annotated[Path, cappa.Arg(long="--settings", help="Settings, INI.")]


def _proxy(command: "ProxyCommand") -> None:
    from rattanhollow.cli._proxy import run_proxy

    run_proxy(command.settings)


def _check(command: "CheckCommand") -> None:
    from rattanhollow.cli._operate import check

    check(command.settings, command.note)


def _apply(command: "ApplyCommand") -> None:
    from rattanhollow.cli._operate import apply

    apply(command.settings, command.note)


def _status(command: "StatusCommand") -> None:
    from rattanhollow.cli._operate import status

    status(command.settings)


def _audit(command: "AuditCommand") -> None:
    from rattanhollow.cli._operate import audit

    audit(command.settings)


def _keys(command: "KeysCommand") -> None:
    from rattanhollow.cli._operate import new_key_section

    new_key_section(command.name)


def _stand_in(command: "StandInCommand") -> None:
    from rattanhollow_standins.run import run_stand_in

    run_stand_in(command.settings)


def _demo(command: "DemoCommand") -> None:
    from rattanhollow_standins.demo import run_demo

    raise cappa.Exit(code=run_demo(command.without, command.hold, command.seed))


def _explain(command: "ExplainCommand") -> None:
    from rattanhollow.cli._explain import explain_request

    explain_request(command.request, command.logs)


def _host(command: "HostCommand") -> None:
    from rattanhollow.host import run_host

    run_host(command.settings)


@cappa.command(name="proxy", invoke=_proxy)
@dataclass
class ProxyCommand:
    """Run a proxy until SIGTERM, then drain it."""

    settings: SettingsFile


@cappa.command(name="check", invoke=_check)
@dataclass
class CheckCommand:
    """Check a release note and print what it would change; changes nothing."""

    note: Annotated[Path, cappa.Arg(help="The release note, INI.")]
    settings: SettingsFile


@cappa.command(name="apply", invoke=_apply)
@dataclass
class ApplyCommand:
    """Bring a release note into force."""

    note: Annotated[Path, cappa.Arg(help="The release note, INI.")]
    settings: SettingsFile


@cappa.command(name="status", invoke=_status)
@dataclass
class StatusCommand:
    """Print which host has which version in force, and who leads each database."""

    settings: SettingsFile


@cappa.command(name="audit", invoke=_audit)
@dataclass
class AuditCommand:
    """Print the audit trail, oldest first."""

    settings: SettingsFile


@cappa.command(name="keys", invoke=_keys)
@dataclass
class KeysCommand:
    """Make a new key; prints it once, and the section that adds it to a note."""

    name: Annotated[str, cappa.Arg(help="The key's name: organisation/key.")]


@cappa.command(name="stand-in", invoke=_stand_in)
@dataclass
class StandInCommand:
    """Run a stand-in of the platform's store or of a database group."""

    settings: SettingsFile


@cappa.command(name="demo", invoke=_demo)
@dataclass
class DemoCommand:
    """Run a booking workload through a primary's cut and a host's death."""

    without: Annotated[
        list[str],
        cappa.Arg(
            long="--without",
            help="Guard to switch off: write-confirmation, fence or floor.",
        ),
    ] = field(default_factory=list)
    hold: Annotated[
        bool, cappa.Arg(long="--hold", help="Stay up and print connection strings.")
    ] = False
    seed: Annotated[int, cappa.Arg(long="--seed")] = 1


@cappa.command(name="explain", invoke=_explain)
@dataclass
class ExplainCommand:
    """Tell one request's way through the hosts, and why it failed, from their logs."""

    request: Annotated[str, cappa.Arg(help="The request's identifier.")]
    logs: Annotated[
        list[Path], cappa.Arg(help="Log files; standard input without any.")
    ] = field(default_factory=list)


@cappa.command(name="host", invoke=_host)
@dataclass
class HostCommand:
    """Run a host that speaks lines until SIGTERM, then drain it."""

    settings: SettingsFile


@cappa.command(name="rattanhollow")
@dataclass
class Program:
    """A database proxy with session consistency."""

    command: cappa.Subcommands[
        ProxyCommand
        | CheckCommand
        | ApplyCommand
        | StatusCommand
        | AuditCommand
        | KeysCommand
        | StandInCommand
        | DemoCommand
        | ExplainCommand
        | HostCommand
    ]


def main() -> None:
    """Run the command that the arguments name."""
    try:
        cappa.invoke(Program)
    except SettingsError as error:
        raise SystemExit(_bad_input(str(error))) from None


def _bad_input(reason: str) -> int:
    import sys

    print(reason, file=sys.stderr)
    return EXIT_BAD_INPUT
