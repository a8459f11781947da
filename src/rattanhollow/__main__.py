"""Runs the program: ``python -m rattanhollow``."""

from rattanhollow.cli import main

main()
