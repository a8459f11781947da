"""Classifying SQL: only certain reads leave the primary."""

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from rattanhollow.sql import Kind, classifier, classify

READS = [
    "SELECT 1",
    "SELECT a, count(*) FROM t WHERE b = $1 GROUP BY a HAVING count(*) > 1",
    "SELECT lower(pg_catalog.upper(a)) FROM t JOIN u USING (id) ORDER BY 1 LIMIT 3",
    "WITH x AS (SELECT * FROM t) SELECT * FROM x WHERE a IN (SELECT b FROM u)",
    "SELECT 1 UNION ALL SELECT 2",
    "VALUES (1), (2)",
    "SELECT 1; SELECT 2",
    "TABLE t",
    "SELECT CASE WHEN a IS NULL THEN 0 ELSE a::int END FROM t",
]

NOT_READS = [
    "INSERT INTO t VALUES (1)",
    "SELECT nextval('s')",
    "SELECT book(1)",
    "SELECT tours.lower(a) FROM t",
    "SELECT a FROM t WHERE book(a)",
    "WITH x AS (INSERT INTO t VALUES (1) RETURNING *) SELECT * FROM x",
    "WITH x AS (DELETE FROM t RETURNING *) SELECT * FROM x",
    "SELECT * FROM t FOR UPDATE",
    "SELECT * FROM (SELECT * FROM t FOR SHARE) x",
    "SELECT * INTO u FROM t",
    "EXPLAIN ANALYZE DELETE FROM t",
    "EXPLAIN SELECT 1",
    "DO $$ BEGIN DELETE FROM t; END $$",
    "CALL book(1)",
    "SELECT 1; DELETE FROM t",
    "/* SELECT */ UPDATE t SET a = 1",
    "SELECT /* x */ 1; -- \n DROP TABLE t",
    "LOCK TABLE t",
    "SELECT pg_advisory_lock(1)",
    "SELECT set_config('a', 'b', false)",
    "SELECT currval('s')",
    "SELECT FROM WHERE",
    "SELECT 1 \x00",
    "SELECT lo_unlink(1)",
    "SELECT dblink_exec('DELETE FROM t')",
    "MERGE INTO t USING u ON a = b WHEN MATCHED THEN DELETE",
]

KINDS = [
    ("", Kind.EMPTY),
    ("BEGIN", Kind.BEGIN),
    ("START TRANSACTION READ ONLY", Kind.BEGIN_READ_ONLY),
    ("BEGIN ISOLATION LEVEL SERIALIZABLE", Kind.BEGIN),
    ("COMMIT", Kind.COMMIT),
    ("END", Kind.COMMIT),
    ("ROLLBACK", Kind.ROLLBACK),
    ("COMMIT AND CHAIN", Kind.REFUSED),
    ("INSERT INTO t VALUES (1); COMMIT", Kind.UNKNOWN),
    ("SAVEPOINT a", Kind.WRITE),
    ("SET a = 1", Kind.SET),
    ("SET LOCAL a = 1", Kind.WRITE),
    ("RESET a", Kind.SET),
    ("SET rattanhollow.scope = 'connection'", Kind.SET_OWN),
    ("SHOW rattanhollow.token", Kind.SHOW_OWN),
    ("CREATE TEMP TABLE t (a int)", Kind.PIN),
    ("CREATE TEMP TABLE t AS SELECT 1", Kind.PIN),
    ("SELECT 1 INTO TEMP t", Kind.PIN),
    ("SELECT pg_advisory_lock(1)", Kind.PIN),
    ("DECLARE c CURSOR WITH HOLD FOR SELECT 1", Kind.PIN),
    ("PREPARE p AS SELECT 1", Kind.PIN),
    ("DEALLOCATE p", Kind.DEALLOCATE),
    ("DISCARD ALL", Kind.DISCARD),
    ("DISCARD TEMP", Kind.PIN),
    ("COPY t FROM STDIN", Kind.REFUSED),
    ("LISTEN a", Kind.REFUSED),
    ("SELECT 1; LISTEN a", Kind.REFUSED),
    ("PREPARE TRANSACTION 'a'", Kind.REFUSED),
]

CLEAN = [
    ("SELECT lower(a) FROM t", True),
    ("INSERT INTO t VALUES (nextval('s'))", True),
    ("SELECT book(1)", False),
    ("DO $$ BEGIN END $$", False),
    ("CALL book(1)", False),
    ("SET a = 1", False),
    ("SELECT FROM WHERE", False),
]


@pytest.mark.parametrize("sql", READS)
def test_reads(sql: str) -> None:
    """A statement without any effect is a read."""
    assert classify(sql).kind is Kind.READ


@pytest.mark.parametrize("sql", NOT_READS)
def test_everything_else_is_no_read(sql: str) -> None:
    """Whatever may have an effect is no read."""
    assert classify(sql).kind is not Kind.READ


@pytest.mark.parametrize(("sql", "kind"), KINDS)
def test_kinds(sql: str, kind: Kind) -> None:
    """Statements about transactions and sessions are told apart."""
    assert classify(sql).kind is kind


@pytest.mark.parametrize(("sql", "clean"), CLEAN)
def test_clean(sql: str, clean: bool) -> None:
    """What may leave session state behind is not clean."""
    assert classify(sql).clean is clean


def test_cache_keeps_the_statements_used_last() -> None:
    """The cache is bounded and gives the same answers."""
    cached = classifier(capacity=2)
    for _ in range(2):
        for sql, kind in KINDS:
            assert cached(sql).kind is kind


EFFECT = st.sampled_from(NOT_READS[:14])
READ = st.sampled_from(READS)


@seed(1)
@settings(max_examples=200, deadline=None, database=None)
@given(
    before=st.lists(READ, max_size=2), effect=EFFECT, after=st.lists(READ, max_size=2)
)
def test_an_effect_among_reads_is_found(
    before: list[str], effect: str, after: list[str]
) -> None:
    """A statement with an effect is found wherever it stands among reads."""
    assert classify("; ".join([*before, effect, *after])).kind is not Kind.READ


@seed(1)
@settings(max_examples=500, deadline=None, database=None)
@given(
    st.lists(
        st.sampled_from(
            "SELECT ( ) FROM t WITH x AS DELETE INSERT INTO VALUES 1 ; , * "
            "FOR UPDATE WHERE a = ' \" -- /* */ $1 $$ book(1) UNION".split()
        ),
        max_size=12,
    )
)
def test_token_soup_never_raises_and_never_writes_as_read(words: list[str]) -> None:
    """Random tokens never raise; with a writing word outside quotes, never a read."""
    sql = " ".join(words)
    kind = classify(sql).kind
    quoting = {"'", '"', "--", "/*", "$$"} & set(words)
    if not quoting and {"DELETE", "INSERT", "UPDATE"} & set(words):
        assert kind is not Kind.READ
