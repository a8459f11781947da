"""The command line."""

from rattanhollow.cli._main import main

__all__ = ["main"]
