"""Interfaces to the platform's transactional table service and object store.

`protocol.py` defines the interfaces that a deployment's store implements. `guard.py`
adds rate limits and a circuit breaker to a node's calls of the store. `eras.py` makes
row versions rise even when the store is restored from an older copy.
"""

from balsamspindle.tables.eras import StoreEras
from balsamspindle.tables.guard import (
    GuardedObjectStore,
    GuardedTableService,
    PlatformGuard,
)
from balsamspindle.tables.protocol import (
    Changes,
    Check,
    Conflict,
    HistoryLost,
    ObjectStore,
    PlatformError,
    Put,
    Row,
    TableService,
    Transaction,
    Unknown,
    Unreachable,
)
from balsamspindle.tables.row_decoder import RowDecoder

__all__ = [
    "Changes",
    "Check",
    "Conflict",
    "GuardedObjectStore",
    "GuardedTableService",
    "HistoryLost",
    "ObjectStore",
    "PlatformError",
    "PlatformGuard",
    "Put",
    "Row",
    "RowDecoder",
    "StoreEras",
    "TableService",
    "Transaction",
    "Unknown",
    "Unreachable",
]
