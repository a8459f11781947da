"""One request's way, host by host."""

from collections.abc import Iterable, Sequence

from rattanhollow.explain._cause import cause_of
from rattanhollow.explain._lines import LogLine

# What happened to servers and hosts so long before a request can matter to it.
BEFORE_S = 4.0
# Clocks of hosts differ a little.
SLACK_S = 0.2
MEETING = ("server", "host", "peer", "service", "leader", "old_leader", "target")
ABOUT = (
    "server.",
    "peer.",
    "leader.",
    "succession.",
    "order.",
    "configuration.",
    "host.",
)


def explain(request_id: str, lines: Iterable[LogLine]) -> list[str]:
    """Return the story of a request, its cause in the last line."""
    known = list(lines)
    own = [line for line in known if line.get("request") == request_id]
    if not own:
        return [f"no line names request {request_id}"]
    own.sort(key=lambda line: (line.at_s, line.order))
    around = _around(own, known)
    told = sorted([*own, *around], key=lambda line: (line.at_s, line.order))
    return [*(_tell(line) for line in told), f"cause: {cause_of(own, around)}"]


def _around(own: Sequence[LogLine], known: Sequence[LogLine]) -> list[LogLine]:
    names = {line.get(field) for line in own for field in MEETING} - {""}
    began_s = own[0].at_s - _took_s(own) - BEFORE_S
    ended_s = own[-1].at_s + SLACK_S
    return [
        line
        for line in known
        if began_s <= line.at_s <= ended_s
        and line.event.startswith(ABOUT)
        and not line.get("request")
        and names & {line.get(field) for field in MEETING}
    ]


def _took_s(own: Sequence[LogLine]) -> float:
    took_ms = [line.get("took_ms") for line in own]
    return max((float(text) for text in took_ms if text), default=0.0) / 1000


def _tell(line: LogLine) -> str:
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items() if value)
    return f"{line.at_s:.3f} {line.host or '-'} {line.event} {fields}"
