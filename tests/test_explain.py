"""From a request's identifier to its cause."""

from rattanhollow.explain import explain, parse_line, read_lines
from rattanhollow.observe import format_event

LOG = """\
time=2026-01-06T12:32:29.100+00:00 event=host.start host=h1
noise that is no log line
time=2026-01-06T12:32:30.000+00:00 event=peer.dark peer=h2 silent_ms=700
time=2026-01-06T12:32:30.100+00:00 event=attempt.failed request=r1 service=s server=i-1 host=h2 fate=unknown reason="" obstacle="host lost" detail="h2 is dark" took_ms=705
time=2026-01-06T12:32:30.101+00:00 event=request.refused request=r1 statement=Write reason=IN_DOUBT detail="h2 is dark" took_ms=710.0
time=2026-01-06T12:32:30.200+00:00 event=request.refused request=r2 statement=Read reason=OVER_RATE detail="" took_ms=1.0
time=2026-01-06T12:32:30.300+00:00 event=request.done request=r3 reason=DONE took_ms=4.0
time=2026-01-06T12:32:31.000+00:00 event=succession.begin service=s leader=i-1 reason="it leaves"
time=2026-01-06T12:32:31.900+00:00 event=attempt.failed request=r4 service=s server=i-1 host=h1 fate="not run" reason="" obstacle=switching detail="the primary is being replaced" took_ms=1
time=2026-01-06T12:32:32.000+00:00 event=request.refused request=r4 statement=Write reason=BUSY detail=x took_ms=990.0
"""  # noqa: E501


def last(request: str) -> str:
    """Return the last line of a request's story."""
    return explain(request, read_lines(LOG.splitlines()))[-1]


def test_causes() -> None:
    """The last line names the cause, and what the refusal promised."""
    assert last("r1").startswith("cause: refused as IN_DOUBT, it may have run")
    assert "the serving host left questions unanswered" in last("r1")
    assert "over its rate and burst" in last("r2")
    assert last("r3") == "cause: it was answered"
    assert "being replaced" in last("r4") and "nothing is kept" in last("r4")
    assert last("r9") == "no line names request r9"


def test_the_story_holds_what_the_request_met() -> None:
    """Lines about its hosts and servers stand among its own, in time order."""
    story = explain("r4", read_lines(LOG.splitlines(), "h7"))
    assert [line.split(" ")[2] for line in story[:-1]] == [
        "host.start",
        "succession.begin",
        "attempt.failed",
        "request.refused",
    ]
    assert all(line.split(" ")[1] == "h7" for line in story[:-1])


def test_lines_are_read_as_they_are_written() -> None:
    """Quotes, blanks and line ends come back."""
    fields = {"a": 'x "y" \\ z', "b": "two\nlines", "c": "", "d": "1"}
    text = format_event({"timestamp": 5, "message_type": "e", **fields})
    line = parse_line(f"  1.5 front-1 {text}\n")
    assert line is not None
    assert (line.event, line.at_s, line.host) == ("e", 5.0, "front-1")
    assert line.fields == fields
    assert parse_line("time=never event=x") is None
    assert parse_line("time=2026-01-06T12:32:29.100+00:00 x=1") is None
