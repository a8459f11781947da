"""Why a request failed, by what was logged of it and around it."""

from collections.abc import Sequence

from rattanhollow.explain._lines import LogLine

_BY_REASON = {
    "OVER_RATE": "its organisation was over its rate and burst",
    "NO_KEY": "its key is unknown, or was withdrawn",
    "NO_ROUTE": "no route of this name is in force",
    "NO_STATEMENT": "it named a prepared statement that its session hasn't",
    "MALFORMED": "it is no statement, or has no place in the session's state",
    "FAILED": "the backend server ran it and failed",
}
_BY_OBSTACLE = {
    "failing": "the backend server failed most of what it was given",
    "overloaded": "the backend server had no slot or connection for it in time",
    "switching": "its primary was being replaced for all of its time",
    "not served": "no host reached the backend server",
    "host lost": "the host that served the backend server was lost",
    "lost": "the exchange with the backend server broke off",
    "no transaction": "its transaction was lost at the serving host before",
}
_BY_LIMIT = {
    "connection": "it held more memory than one connection may",
    "organisation": "its organisation held too much memory, and it held most of that",
    "process": "the host's memory for callers was full, and it held most of that",
    "paused": "the host's memory for callers stayed short, and it held most of that",
    "callers": "the host was full, and another caller needed its place",
}
_AROUND = {
    "server.unreachable": "the server did not answer its serving host",
    "peer.dark": "the serving host left questions unanswered",
    "succession.begin": "its primary was being replaced",
    "server.missing": "the server's description had gone from the store",
    "leader.denied": "the server had lost the lead",
}


def cause_of(own: Sequence[LogLine], around: Sequence[LogLine]) -> str:
    """Return the cause in a sentence.

    ``own`` are the lines of the request, ``around`` those about servers, hosts
    and services that it met, shortly before or meanwhile.
    """
    refused = next((x for x in reversed(own) if x.event == "request.refused"), None)
    closed = next((x for x in reversed(own) if x.event == "caller.closed"), None)
    if refused is None and closed is not None:
        limit = closed.get("limit")
        return f"its connection was closed: {_BY_LIMIT.get(limit, limit)}"
    if refused is None:
        done = any(line.event == "request.done" for line in own)
        return "it was answered" if done else "no host logged its end"
    reason = refused.get("reason")
    told = _told(reason)
    if reason in _BY_REASON:
        return f"{told}: {_BY_REASON[reason]}"
    attempts = [x for x in own if x.event in ("attempt.failed", "work.failed")]
    if not attempts:
        return f"{told}: {refused.get('detail') or 'no attempt was logged'}"
    return f"{told}: {_of_attempt(attempts[-1])}{_of_surroundings(around)}"


def _told(reason: str) -> str:
    if reason in ("IN_DOUBT", "TIMED_OUT", "FAILED"):
        return f"refused as {reason}, it may have run"
    return f"refused as {reason}, nothing is kept"


def _of_attempt(attempt: LogLine) -> str:
    reason = attempt.get("reason")
    if reason == "BEHIND":
        return "no backend server's log reached what the session must see"
    if reason == "NOT_LEADER":
        return "no backend server led its service"
    if reason == "BUSY":
        return "the backend server itself was busy"
    if reason == "IN_DOUBT":
        return "the backend server itself could not tell what became of it"
    obstacle = attempt.get("obstacle")
    known = _BY_OBSTACLE.get(obstacle, obstacle or "unknown")
    detail = attempt.get("detail")
    return f"{known} ({detail})" if detail else known


def _of_surroundings(around: Sequence[LogLine]) -> str:
    found = []
    for line in around:
        meaning = _AROUND.get(line.event)
        if meaning is not None and meaning not in found:
            found.append(meaning)
    return "; " + "; ".join(found) if found else ""
