"""A stand-in for the platform's object store."""

from rattanhollow_standins.store._local import local_store
from rattanhollow_standins.store._objects import ObjectTable, StoreFaults
from rattanhollow_standins.store._server import serve_store

__all__ = ["ObjectTable", "StoreFaults", "local_store", "serve_store"]
