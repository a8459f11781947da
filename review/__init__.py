"""What the scripts of the review share: a small fleet, callers, and the record."""
