"""Exceptions that end work which has no reply of the server."""

from rattanhollow.serving._work import WorkResult


class WorkStopped(Exception):
    """Ends work that has no reply of the server; carries its result."""

    def __init__(self, result: WorkResult) -> None:
        super().__init__(result.detail)
        self.result = result


class ServerFull(WorkStopped):
    """The server has no room for another connection."""
