"""Selects the nodes of each availability zone that read the settings at the store.

The selection needs no agreement: each node computes it from the nodes that it knows.
"""

from collections.abc import Iterable
from functools import lru_cache
from typing import NamedTuple

import xxhash

from balsamspindle.wire import NodeRecord

__all__ = [
    "READERS_PER_ZONE",
    "ReaderPosition",
    "find_reader_position",
    "is_reader",
    "select_readers",
    "selection_hash",
]

READERS_PER_ZONE = 2
# Node ids whose hashes are stored; more than a fleet has nodes.
HASHES_MAX = 8192


class ReaderPosition(NamedTuple):
    """A reader's place among the readers of the fleet.

    Attributes
    ----------
    index : int
        From 0 to `count` - 1; the same order at all nodes that know the same nodes.
    """

    index: int
    count: int


def is_reader(
    own: NodeRecord,
    records: Iterable[NodeRecord],
    per_zone: int = READERS_PER_ZONE,
) -> bool:
    """Return whether `own` is one of the nodes of its zone that poll often."""
    zone_nodes = [record for record in (*records, own) if _zone(record) == _zone(own)]
    readers = select_readers(zone_nodes, per_zone)
    return any(record.node_id == own.node_id for record in readers)


def find_reader_position(
    own: NodeRecord, records: Iterable[NodeRecord], per_zone: int
) -> ReaderPosition | None:
    """Return the place of `own` among all readers; None if it is not a reader."""
    nodes = [*records, own]
    if not is_reader(own, nodes, per_zone):
        return None
    zones: dict[tuple[str, str], list[NodeRecord]] = {}
    for record in nodes:
        zones.setdefault(_zone(record), []).append(record)
    node_ids = [
        reader.node_id
        for zone_nodes in zones.values()
        for reader in select_readers(zone_nodes, per_zone)
    ]
    return ReaderPosition(sorted(node_ids).index(own.node_id), len(node_ids))


def select_readers(zone_nodes: Iterable[NodeRecord], per_zone: int) -> list[NodeRecord]:
    """Return the readers of a zone: the `per_zone` nodes with the lowest hashes."""
    by_id = {record.node_id: record for record in zone_nodes}
    order = sorted(by_id, key=lambda node_id: (selection_hash(node_id), node_id))
    return [by_id[node_id] for node_id in order[:per_zone]]


@lru_cache(HASHES_MAX)
def selection_hash(node_id: str) -> int:
    """Return the hash by which the nodes of a zone are ordered."""
    return xxhash.xxh3_64_intdigest(f"settings/{node_id}".encode())


def _zone(record: NodeRecord) -> tuple[str, str]:
    return record.region, record.availability_zone
