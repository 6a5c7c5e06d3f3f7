"""The platform: a transactional table service and an object store."""

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
    "HttpObjectStore",
    "HttpTableService",
    "ObjectStore",
    "PlatformError",
    "Put",
    "Row",
    "TableService",
    "Transaction",
    "Unknown",
    "Unreachable",
]
