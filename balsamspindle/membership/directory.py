"""What this node knows of the fleet's nodes."""

import threading
from enum import StrEnum
from typing import NamedTuple

from balsamspindle.wire import BackendServerRecord, NodeRecord

__all__ = ["Directory", "NodeState", "Placement"]


class NodeState(StrEnum):
    """How a node stands, as others see it."""

    ALIVE = "alive"
    LEAVING = "leaving"


class Placement(NamedTuple):
    """One backend server and the node whose gate stands before it."""

    node: NodeRecord
    backend_server: BackendServerRecord


class Directory:
    """Records of all known nodes; read by every request, so reads are cheap.

    A record replaces an older one of the same node: a higher incarnation
    first, then a higher version.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: dict[str, NodeRecord] = {}
        self._heard_s: dict[str, float] = {}
        self._placements: dict[str, tuple[Placement, ...]] = {}

    def update(self, record: NodeRecord, now_s: float) -> bool:
        """Take a record; return True when it was news."""
        with self._lock:
            known = self._records.get(record.node_id)
            if known is not None and _age(record) <= _age(known):
                return False
            self._records[record.node_id] = record
            self._heard_s.setdefault(record.node_id, now_s)
            self._index()
            return True

    def heard(self, node_id: str, now_s: float) -> None:
        """Note that a node itself was heard."""
        with self._lock:
            self._heard_s[node_id] = now_s

    def remove_silent(self, own_node_id: str, timeout_s: float, now_s: float):
        """Remove nodes that were not heard for a time; return their ids."""
        with self._lock:
            silent = [
                node_id
                for node_id, heard_s in self._heard_s.items()
                if node_id != own_node_id and now_s - heard_s > timeout_s
            ]
            for node_id in silent:
                del self._heard_s[node_id]
                self._records.pop(node_id, None)
            if silent:
                self._index()
            return silent

    def records(self) -> list[NodeRecord]:
        """Return the records of all known nodes."""
        with self._lock:
            return list(self._records.values())

    def placements(self, service: str) -> tuple[Placement, ...]:
        """Return the known backend servers of a service."""
        return self._placements.get(service, ())

    def services(self) -> list[str]:
        """Return the services that have backend servers."""
        return sorted(self._placements)

    def _index(self) -> None:
        placements: dict[str, list[Placement]] = {}
        for record in self._records.values():
            for server in record.backend_servers:
                placements.setdefault(server.service, []).append(
                    Placement(record, server)
                )
        self._placements = {key: tuple(value) for key, value in placements.items()}


def _age(record: NodeRecord) -> tuple[int, int]:
    return record.incarnation, record.version
