"""The platform: a transactional table service and an object store.

Start with `protocol.py`, the interface; `http.py` carries it out, and
`guard.py` bounds how often a node asks and how long it waits.
"""

from balsamspindle.platform.guard import (
    GuardedObjectStore,
    GuardedTableService,
    PlatformGuard,
)
from balsamspindle.platform.http import HttpObjectStore, HttpTableService
from balsamspindle.platform.protocol import (
    Check,
    Conflict,
    ObjectStore,
    PlatformError,
    Put,
    Row,
    TableService,
    Transaction,
    Unknown,
    Unreachable,
)

__all__ = [
    "Check",
    "Conflict",
    "GuardedObjectStore",
    "GuardedTableService",
    "HttpObjectStore",
    "HttpTableService",
    "ObjectStore",
    "PlatformError",
    "PlatformGuard",
    "Put",
    "Row",
    "TableService",
    "Transaction",
    "Unknown",
    "Unreachable",
]
