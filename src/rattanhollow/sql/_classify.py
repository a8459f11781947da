"""Classifying SQL by the real grammar.

A statement is a read only if each node of its syntax tree is known to have no
effect. Whatever is not known goes to the primary.
"""

import enum
from collections import OrderedDict
from collections.abc import Callable, Iterator, Sequence
from typing import Any, NamedTuple

import msgspec
import pglast

from rattanhollow.sql._known import (
    PINNING_FUNCTIONS,
    PLAIN_STATEMENTS,
    READ_FUNCTIONS,
    READ_NODES,
    SEQUENCE_FUNCTIONS,
    STATELESS_FUNCTIONS,
)

CACHED_STATEMENTS = 2_000
CACHED_TEXT_CHARACTERS = 10_000
DEEPEST_NESTING = 200
OWN_PREFIX = "rattanhollow."


class Kind(enum.Enum):
    """What must happen to a statement."""

    EMPTY = "empty"
    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin read only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET = "set"
    SET_OWN = "set of a setting of the proxy"
    SHOW_OWN = "show of a setting of the proxy"
    DEALLOCATE = "forgets a prepared statement, or all"
    DISCARD = "forgets all that the session left behind"
    PIN = "leaves state on its connection"
    SEQUENCE_STATE = "needs the sequence state of its connection"
    UNKNOWN = "anything, ends of transactions included"
    REFUSED = "not carried"


class Statement(NamedTuple):
    """A classified text.

    ``name`` and ``value`` are those of a setting; ``name`` is what is not
    carried where the kind is ``REFUSED``. ``clean`` where it certainly leaves
    no session state on its connection.
    """

    kind: Kind
    name: str = ""
    value: str = ""
    clean: bool = False


Tree = dict[str, Any]


def classifier(
    capacity: int = CACHED_STATEMENTS,
) -> Callable[[str], Statement]:
    """Return `classify` with a cache of the ``capacity`` texts used last."""
    cache: OrderedDict[str, Statement] = OrderedDict()

    def cached(text: str) -> Statement:
        found = cache.get(text)
        if found is not None:
            cache.move_to_end(text)
            return found
        found = classify(text)
        if len(text) <= CACHED_TEXT_CHARACTERS:
            cache[text] = found
            if len(cache) > capacity:
                cache.popitem(last=False)
        return found

    return cached


def classify(text: str) -> Statement:
    """Classify a text of one or more statements; never raises.

    A text that the grammar refuses is unknown: the primary words the error.
    """
    if "\0" in text:
        # The parser would stop there, a server might not.
        return Statement(Kind.UNKNOWN)
    try:
        parsed = msgspec.json.decode(pglast.parser.parse_sql_json(text))
        trees = [item["stmt"] for item in parsed.get("stmts", [])]
        statements = [_statement(tree) for tree in trees]
    except (pglast.Error, msgspec.DecodeError, UnicodeError, RecursionError):
        return Statement(Kind.UNKNOWN)
    if not statements:
        return Statement(Kind.EMPTY, clean=True)
    if len(statements) == 1:
        return statements[0]
    return together(statements)


def together(statements: Sequence[Statement]) -> Statement:
    """Return what several statements do that one request carries."""
    kinds = {statement.kind for statement in statements}
    for statement in statements:
        if statement.kind is Kind.REFUSED:
            return statement
    if kinds & {Kind.SET_OWN, Kind.SHOW_OWN}:
        return Statement(Kind.REFUSED, "a setting of the proxy among other statements")
    if Kind.SEQUENCE_STATE in kinds:
        return Statement(Kind.SEQUENCE_STATE)
    if kinds & {Kind.PIN, Kind.SET, Kind.DEALLOCATE, Kind.DISCARD}:
        return Statement(Kind.PIN)
    clean = all(statement.clean for statement in statements)
    if kinds <= {Kind.READ, Kind.EMPTY}:
        return Statement(Kind.READ, clean=clean)
    if kinds <= {Kind.READ, Kind.EMPTY, Kind.WRITE}:
        return Statement(Kind.WRITE, clean=clean)
    return Statement(Kind.UNKNOWN, clean=clean)


def _statement(tree: Tree) -> Statement:
    ((name, body),) = tree.items()
    handler = _HANDLERS.get(name)
    if handler is not None:
        return handler(body)
    if _makes_temporary(body):
        return Statement(Kind.PIN)
    functions = set(_functions(tree))
    if functions & PINNING_FUNCTIONS:
        return Statement(Kind.PIN)
    if functions & SEQUENCE_FUNCTIONS:
        return Statement(Kind.SEQUENCE_STATE)
    if name == "SelectStmt" and _only_reads(tree, 0):
        return Statement(Kind.READ, clean=True)
    clean = name in PLAIN_STATEMENTS and functions <= STATELESS_FUNCTIONS
    return Statement(Kind.WRITE, clean=clean)


def _refused(what: str) -> Callable[[Tree], Statement]:
    return lambda _: Statement(Kind.REFUSED, what)


def _pinned(_: Tree) -> Statement:
    return Statement(Kind.PIN)


def _transaction(body: Tree) -> Statement:
    kind = body["kind"]
    if kind in ("TRANS_STMT_BEGIN", "TRANS_STMT_START"):
        read_only = any(_is_read_only(option) for option in body.get("options", []))
        begin = Kind.BEGIN_READ_ONLY if read_only else Kind.BEGIN
        return Statement(begin, clean=True)
    if kind == "TRANS_STMT_COMMIT":
        return _end(Kind.COMMIT, body)
    if kind == "TRANS_STMT_ROLLBACK":
        return _end(Kind.ROLLBACK, body)
    if "PREPARE" in kind:
        return Statement(Kind.REFUSED, "two-phase commit")
    return Statement(Kind.WRITE, clean=True)


def _end(kind: Kind, body: Tree) -> Statement:
    if body.get("chain"):
        return Statement(Kind.REFUSED, "AND CHAIN")
    return Statement(kind, clean=True)


def _is_read_only(option: Tree) -> bool:
    element = option.get("DefElem", {})
    if element.get("defname") != "transaction_read_only":
        return False
    return _constant(element.get("arg", {})) == "1"


def _set(body: Tree) -> Statement:
    name = body.get("name", "")
    if name.startswith(OWN_PREFIX):
        if body["kind"] != "VAR_SET_VALUE" or len(body.get("args", [])) != 1:
            return Statement(Kind.REFUSED, f"this form of SET {name}")
        return Statement(Kind.SET_OWN, name, _constant(body["args"][0]))
    if body.get("is_local"):
        return Statement(Kind.WRITE, clean=True)
    if body["kind"] in ("VAR_SET_VALUE", "VAR_SET_DEFAULT", "VAR_RESET") and name:
        return Statement(Kind.SET, name)
    return Statement(Kind.PIN)


def _show(body: Tree) -> Statement:
    name = body.get("name", "")
    if name.startswith(OWN_PREFIX):
        return Statement(Kind.SHOW_OWN, name)
    return Statement(Kind.WRITE, clean=True)


def _deallocate(body: Tree) -> Statement:
    return Statement(Kind.DEALLOCATE, body.get("name", ""))


def _discard(body: Tree) -> Statement:
    everything = body.get("target") == "DISCARD_ALL"
    return Statement(Kind.DISCARD if everything else Kind.PIN)


def _explain(body: Tree) -> Statement:
    return _statement(body["query"])._replace(kind=Kind.WRITE)


_HANDLERS: dict[str, Callable[[Tree], Statement]] = {
    "TransactionStmt": _transaction,
    "VariableSetStmt": _set,
    "VariableShowStmt": _show,
    "ExplainStmt": _explain,
    "CopyStmt": _refused("COPY"),
    "ListenStmt": _refused("LISTEN"),
    "UnlistenStmt": _refused("UNLISTEN"),
    "NotifyStmt": _refused("NOTIFY"),
    "PrepareStmt": _pinned,
    "ExecuteStmt": _pinned,
    "DeallocateStmt": _deallocate,
    "DeclareCursorStmt": _pinned,
    "FetchStmt": _pinned,
    "ClosePortalStmt": _pinned,
    "DiscardStmt": _discard,
    "LoadStmt": _pinned,
}


def _constant(node: Tree) -> str:
    constant = node.get("A_Const", {})
    for kind, field in (("sval", "sval"), ("ival", "ival"), ("fval", "fval")):
        if kind in constant:
            return str(constant[kind].get(field, 0))
    return ""


def _makes_temporary(body: Any) -> bool:
    relation = body.get("relation", {})
    into = body.get("into", {}) or body.get("intoClause", {})
    relations = [relation, into.get("rel", {})]
    return any(
        isinstance(r, dict) and r.get("relpersistence") == "t" for r in relations
    )


def _functions(node: Any) -> Iterator[str]:
    """Yield the names of all functions that are called below ``node``."""
    if isinstance(node, list):
        for item in node:
            yield from _functions(item)
        return
    if not isinstance(node, dict):
        return
    if "FuncCall" in node:
        yield _function_name(node["FuncCall"])
    for item in node.values():
        yield from _functions(item)


def _function_name(call: Tree) -> str:
    parts = [part["String"].get("sval", "") for part in call["funcname"]]
    if len(parts) == 2 and parts[0] == "pg_catalog":
        return parts[1]
    return ".".join(parts)


def _only_reads(node: Any, depth: int) -> bool:
    """Whether every node below ``node`` is known to have no effect."""
    if depth > DEEPEST_NESTING:
        return False
    if isinstance(node, list):
        return all(_only_reads(item, depth + 1) for item in node)
    if not isinstance(node, dict):
        return True
    for key, item in node.items():
        if key in ("lockingClause", "intoClause"):
            return False
        if key[0].isupper() and key not in READ_NODES:
            return False
        if key == "FuncCall" and _function_name(item) not in READ_FUNCTIONS:
            return False
        if not _only_reads(item, depth + 1):
            return False
    return True
