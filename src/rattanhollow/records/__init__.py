"""Named tuples as plain data, for the store and for messages between hosts."""

from rattanhollow.records._records import RecordError, from_spec, to_spec

__all__ = ["RecordError", "from_spec", "to_spec"]
