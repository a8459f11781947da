"""Imports trio without starting another process.

To name its threads, trio looks up the thread library while it is imported, with
`ctypes.util.find_library`. That function runs ``ldconfig`` and, where this finds
nothing, a compiler and a linker. Until trio is imported, the dynamic linker answers
instead.
"""

import ctypes
import ctypes.util


def _find_library(name: str) -> str | None:
    """Return the file name of a library if the dynamic linker can load it."""
    file_name = f"lib{name}.so.0"
    try:
        ctypes.CDLL(file_name)
    except OSError:
        return None
    return file_name


_original = ctypes.util.find_library
ctypes.util.find_library = _find_library
try:
    import trio  # noqa: F401
finally:
    ctypes.util.find_library = _original
