"""Synthetic records and settings documents of a fleet of a given size.

Records are encoded and then decoded, so that they contain as many separate string
objects as the records that a node receives. Therefore they take the same memory.
"""

import uuid
from collections.abc import Iterator
from random import Random

import msgspec

from balsamspindle.wire import BackendServerRecord, NodeNews, NodeRecord, ServerEntry
from bench.capacity.sizes import FleetSize

__all__ = [
    "TEAMS",
    "documents",
    "entry_news",
    "node_record",
    "node_records",
    "service_name",
]

TEAMS = 130
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(NodeRecord)


def service_name(number: int) -> str:
    """Return the name of a service, with one of `TEAMS` teams as its owner.

    At the long-run size, each team owns fifty services.
    """
    return f"team-{number % TEAMS:03d}/service-{number:04d}"


def node_record(number: int, size: FleetSize, version: int = 1) -> NodeRecord:
    """Return the record of one node, with its backend servers.

    The same number and size result in the same record.
    """
    rng = Random(number)
    zone = number % size.availability_zones
    address = f"10.{zone}.{number // 250 % 250}.{number % 250}"
    per_node = size.backend_servers // size.nodes
    servers = tuple(
        BackendServerRecord(
            backend_server_id=f"server-{number:05d}-{index:02d}",
            service=service_name((number * per_node + index) % size.services),
            boot_id=uuid.UUID(int=rng.getrandbits(128)).hex,
            slots=6,
            state="ready",
        )
        for index in range(per_node)
    )
    record = NodeRecord(
        node_id=f"node-{zone:02d}-{number:05d}",
        incarnation=1_790_000_000_000 + number,
        version=version,
        region=f"region-{zone % size.regions}",
        availability_zone=f"zone-{zone:02d}",
        link_address=f"{address}:7001",
        member_address=f"{address}:7002",
        state="alive",
        backend_servers=servers,
    )
    return _decoder.decode(_encoder.encode(record))


def node_records(size: FleetSize) -> Iterator[NodeRecord]:
    """Yield the records of all nodes, by ascending number."""
    for number in range(size.nodes):
        yield node_record(number, size)


def entry_news(node_id: str, incarnation: int, entry: ServerEntry) -> NodeNews:
    """Return the news that one backend server of a node has changed."""
    return NodeNews(node_id, incarnation, servers=[entry])


def documents(size: FleetSize) -> dict[str, bytes]:
    """Return the settings documents of all services and routes: JSON, by path."""
    encoded: dict[str, bytes] = {}
    for number in range(size.services):
        team, _, name = service_name(number).partition("/")
        encoded[f"{team}/services/{name}"] = msgspec.json.encode(
            {"floor_fraction": 0.6, "queue_max": 32}
        )
    for number in range(size.routes):
        service = service_name(number % size.services)
        team = service.partition("/")[0]
        encoded[f"{team}/routes/route-{number:05d}"] = msgspec.json.encode(
            {
                "service": service,
                "execution": "idempotent" if number % 4 else "non_idempotent",
                "host": f"host-{number // 50:04d}.example",
                "path_prefix": f"/part-{number % 50}/items",
                "methods": ["GET"] if number % 4 else ["POST"],
                "timeout_ms": 2000.0,
            }
        )
    return encoded
