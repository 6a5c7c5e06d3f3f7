"""Memory and CPU of one directory of a full-size fleet, for `bench.membership`."""

import gc
import resource
import time

import msgspec

from balsamspindle.membership.directory import Directory
from balsamspindle.wire import (
    BackendServerRecord,
    NodeHeader,
    NodeNews,
    ServerEntry,
)

TARGET_SERVERS_PER_NODE = 25
TARGET_SERVICES = 6_500


def node_news(number: int, servers: int, services: int) -> NodeNews:
    """Return the news of a synthetic node and its backend servers."""
    address = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    header = NodeHeader(
        f"region-{number % 7}",
        f"zone-{number % 23}",
        f"{address}:7001",
        f"{address}:7002",
        "alive",
    )
    entries = []
    for index in range(servers):
        service = (number * servers + index) % services
        record = BackendServerRecord(
            f"server-{number:05d}-{index:02d}",
            f"team-{service % 40}/service-{service:05d}",
            f"{number:08x}{index:02x}",
            6,
            "ready",
        )
        entries.append(ServerEntry(1, record))
    return NodeNews(f"node-{number:05d}", 1_764_700_000_000, 1, header, entries)


def measure_directory(nodes: int, retained: list[Directory]) -> dict:
    """Return memory and CPU of a directory of this number of nodes.

    The directory is appended to `retained`, so that its memory is not freed. Otherwise
    the next directory would reuse the memory and seem smaller than it is.
    """
    gc.collect()
    before_kb = _resident_kb()
    directory = Directory()
    retained.append(directory)
    started_s = time.process_time()
    for number in range(nodes):
        news = node_news(number, TARGET_SERVERS_PER_NODE, TARGET_SERVICES)
        frame = msgspec.msgpack.encode(news)
        directory.apply(msgspec.msgpack.decode(frame, type=NodeNews), 0.0)
    load_s = time.process_time() - started_s
    for service in directory.services():
        directory.placements(service)
    gc.collect()
    memory_mb = (_resident_kb() - before_kb) / 1024
    sample = range(0, nodes, max(1, nodes // 1000))
    updates_s = _time_updates(directory, sample)
    reads_s = _time_updates(directory, sample, with_read=True)
    return {
        "nodes": nodes,
        "servers": nodes * TARGET_SERVERS_PER_NODE,
        "services": len(directory.services()),
        "memory_mb": memory_mb,
        "load_s": load_s,
        "update_us": 1e6 * updates_s / len(sample),
        "update_and_index_us": 1e6 * reads_s / len(sample),
        "read_us": 1e6 * _time_reads(directory),
        "digests_us": 1e6 * _time_digests(directory),
    }


def measure_directories(sizes) -> list[dict]:
    """Return `measure_directory` of each size, in the given order."""
    retained: list[Directory] = []
    return [measure_directory(nodes, retained) for nodes in sizes]


def _time_updates(directory: Directory, sample, with_read: bool = False) -> float:
    version = 2 + with_read
    started_s = time.process_time()
    for number in sample:
        known = directory.view(f"node-{number:05d}").entries
        record = next(iter(known.values())).record._replace(boot_id=str(version))
        news = NodeNews(
            f"node-{number:05d}",
            1_764_700_000_000,
            servers=[ServerEntry(version, record)],
        )
        directory.apply(news, 0.0)
        if with_read:
            directory.placements(record.service)
    return time.process_time() - started_s


def _time_reads(directory: Directory) -> float:
    services = directory.services()
    started_s = time.process_time()
    for service in services:
        directory.placements(service)
    return (time.process_time() - started_s) / len(services)


def _time_digests(directory: Directory) -> float:
    started_s = time.process_time()
    for _ in range(100):
        directory.differing_buckets(directory.digests())
    return (time.process_time() - started_s) / 100


def _resident_kb() -> int:
    with open("/proc/self/statm", encoding="ascii") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize() // 1024
