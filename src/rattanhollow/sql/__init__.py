"""What a piece of SQL may do: only certain reads leave the primary."""

from rattanhollow.sql._classify import (
    Kind,
    Statement,
    classifier,
    classify,
    together,
)

__all__ = ["Kind", "Statement", "classifier", "classify", "together"]
