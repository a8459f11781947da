"""The line protocol: framing, requests, answers, commands."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from rattanhollow.coordination import Position
from rattanhollow.platform import encode_command, parse_lines, parse_status
from rattanhollow.platform._caller import (
    encode_answer,
    parse_opening,
    parse_request,
    parse_statement,
)
from rattanhollow.platform._lines import LineReader, LineTooLong
from rattanhollow.platform._words import LINE_BYTES_AT_MOST
from rattanhollow.serving import Command, CommandKind
from rattanhollow.session import BadLine, Farewell, Opening
from rattanhollow.statements import (
    Begin,
    Commit,
    Completed,
    Execute,
    Forget,
    Prepare,
    Read,
    Reason,
    Refused,
    Request,
    Rollback,
    SessionState,
    SetValue,
    Write,
)

LINES = [b"QUERY 1 READ a", b"", b"QUERY 2 WRITE a b c", b"RELEASE"]


@given(st.lists(st.integers(1, 20), max_size=40))
def test_lines_are_the_same_however_they_are_cut(cuts: list[int]) -> None:
    """Every way of cutting a stream into pieces gives the same lines."""
    data = b"".join(line + b"\r\n" for line in LINES)
    reader = LineReader()
    lines: list[str] = []
    for cut in cuts:
        lines += reader.feed(data[:cut])
        data = data[cut:]
    lines += reader.feed(data)
    assert lines == [line.decode() for line in LINES]
    assert reader.pending_bytes == 0


@given(st.binary(max_size=300))
def test_any_bytes_are_a_request_or_refused(data: bytes) -> None:
    """No bytes break the reader, and only whole statements become requests."""
    for text in LineReader().feed(data.replace(b"\r\n", b"") + b"\r\n"):
        received = parse_request(text)
        assert isinstance(received, Request | Farewell | BadLine)
        if isinstance(received, Request):
            assert text.startswith(f"QUERY {received.id} ")
        assert isinstance(parse_opening(text), Opening | BadLine)


@pytest.mark.parametrize("smuggled", ["\n", "\r", "\0", "\x0b", "\u2028", "\x85"])
def test_nothing_is_smuggled_inside_a_line(smuggled: str) -> None:
    """A line that another reader might split is no request."""
    line = f"QUERY 1 WRITE a b{smuggled}QUERY 2 WRITE a c\r\n"
    for text in LineReader().feed(line.encode()):
        assert isinstance(parse_request(text), BadLine)


def test_a_line_that_never_ends_is_given_up() -> None:
    """The reader keeps no more bytes than a line may have."""
    reader = LineReader()
    with pytest.raises(LineTooLong):
        for _ in range(LINE_BYTES_AT_MOST // 1024 + 1):
            reader.feed(b"x" * 1024)


def test_statements_are_decoded() -> None:
    """Each statement of the protocol, and what looks like one."""
    assert parse_statement("BEGIN") == Begin(read_only=False)
    assert parse_statement("BEGIN READ") == Begin(read_only=True)
    assert parse_statement("COMMIT") == Commit()
    assert parse_statement("ROLLBACK") == Rollback()
    assert parse_statement("READ 1a4") == Read("READ 1a4")
    assert parse_statement("WRITE 1a4 x  y") == Write("WRITE 1a4 x  y")
    assert parse_statement("SET v1 a b") == SetValue("v1", "a b")
    assert parse_statement("PREPARE s1 READ q2") == Prepare("s1", False, "q2")
    assert parse_statement("PREPARE s1 WRITE q2") == Prepare("s1", True, "q2")
    assert parse_statement("EXECUTE s1 1a4 x y") == Execute("s1", "1a4 x y")
    assert parse_statement("DEALLOC s1") == Forget("s1")
    for text in ("", "BEGIN WRITE", "COMMIT 1", "READ", "READ a b", "SINCE 1.1 READ a"):
        assert parse_statement(text) is None
    for text in ("STATUS", "SUSPEND 9", "RESUME", "STEPDOWN 9", "RESET", "PREPARE s1"):
        assert parse_statement(text) is None


def test_answers_are_encoded() -> None:
    """Successes, refusals and when to come back."""
    done = encode_answer(Completed(("a b",), "p.1"), SessionState.OPEN)
    assert done == b"ROW a b\r\nCOMPLETE p.1\r\nREADY T -\r\n"
    refused = Refused(Reason.OVER_RATE, "over", retry_after_ms=40)
    expected = b"ERROR BUSY retry_after_ms=40 over\r\nREADY I -\r\n"
    assert encode_answer(refused, SessionState.IDLE) == expected


def test_every_reason_has_a_code_of_its_kind() -> None:
    """A refusal that says that nothing is kept has a code that promises so."""
    promises = {
        b"BUSY",
        b"ABORTED",
        b"LAGGING",
        b"READONLY",
        b"NOAUTH",
        b"NODB",
        b"NOSTMT",
        b"MALFORMED",
    }
    silent = {Reason.IN_DOUBT, Reason.TIMED_OUT, Reason.FAILED}
    for reason in Reason:
        code = encode_answer(Refused(reason), SessionState.IDLE).split(b" ")[1]
        assert (code in promises) == (reason not in silent)


def test_commands_carry_floors_and_identifiers() -> None:
    """The text of a statement is unchanged behind its floor."""
    read = Command(CommandKind.READ, "READ 1a4", "", "5c0e", Position(3, 1207))
    assert encode_command(read) == b"QUERY 5c0e SINCE 3.1207 READ 1a4\r\n"
    execute = Command(CommandKind.EXECUTE, "1a4 x", "p1", "5c0e")
    assert encode_command(execute) == b"QUERY 5c0e EXECUTE p1 1a4 x\r\n"
    assert (
        encode_command(Command(CommandKind.SUSPEND_RECEIVING, term=4))
        == b"QUERY - SUSPEND 4\r\n"
    )


def test_replies_are_decoded() -> None:
    """Rows, proof, reasons, positions; an unknown code promises nothing."""
    reply = parse_lines(["ROW x", "COMPLETE 7.1", "READY I 3.1209"])
    assert (reply.rows, reply.proof) == (("x",), "7.1")
    assert reply.position == Position(3, 1209)
    lagging = parse_lines(["ERROR LAGGING i-1", "READY E -"])
    assert (lagging.reason, lagging.state) == (Reason.BEHIND, SessionState.FAILED)
    assert lagging.position is None
    assert parse_lines(["ERROR NEWS x", "READY I -"]).reason is Reason.IN_DOUBT


def test_statuses_are_decoded_or_refused() -> None:
    """A row of another form is no status."""
    good = parse_lines(["ROW replica 3 3.12 4 12 2 17", "COMPLETE -", "READY I 3.12"])
    status = parse_status(good)
    assert status is not None
    assert (status.leads, status.term, status.held_term) == (False, 3, 4)
    assert (status.lag_ms, status.busy, status.connections) == (12, 2, 17)
    for row in ("replica 3 3.12 4 12 2", "replica x 3.12 4 12 2 17", "a b c d e f g"):
        bad = parse_lines([f"ROW {row}", "COMPLETE -", "READY I -"])
        assert parse_status(bad) is None


def test_random_lines_never_break_the_reply_parser() -> None:
    """Whatever a server sends is a reply or a broken connection."""
    rng = random.Random(7)
    words = ["ROW", "COMPLETE", "ERROR", "READY", "I", "T", "E", "3.1", "-", "x"]
    for _ in range(2_000):
        lines = [" ".join(rng.choices(words, k=rng.randint(1, 4))) for _ in range(3)]
        try:
            parse_lines(lines)
        except Exception as error:
            assert type(error).__name__ == "_Broken"
