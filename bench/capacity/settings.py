"""Costs at one node of an accepted settings change, by number of routes.

A node applies the change, sends notices of it to several peers, and pulls it once. On
average, one other node pulls the change from this node.
"""

import time
from typing import Any

import msgspec

from balsamspindle.membership.transport import (
    CONNECT_OVERHEAD_BYTES,
    MESSAGE_OVERHEAD_BYTES,
)
from balsamspindle.settings.configuration import ApplyResult, CurrentConfiguration
from balsamspindle.settings.gossip import (
    FANOUT_OTHER_ZONES,
    FANOUT_ZONE,
    SettingsGossip,
)
from balsamspindle.settings.pages import pages_of_documents
from balsamspindle.settings.reader import PollPlan
from balsamspindle.settings.rows import SubtreeRow
from balsamspindle.wire import Sender, encode_member
from balsamspindle.wire.settings_messages import (
    SettingsDelta,
    SettingsDeltas,
    SettingsNotice,
    SettingsPull,
)
from bench.capacity import synthetic
from bench.capacity.sizes import LONG_RUN, FleetSize
from bench.capacity.slopes import fit_line

__all__ = ["measure"]

SIZE_FRACTIONS = (0.25, 0.5, 1.0)
CHANGES = 20
CALLS = 20
ADDRESS = "10.12.113.114:7002"
CHAIN = "0123456789abcdef" * 2


def measure() -> dict[str, float]:
    """Return the costs of a change of one route, and sizes of pages and rows.

    The costs are processor times in milliseconds, and bytes sent.
    """
    cpu_points = [
        (size.routes, _change_cpu_ms(synthetic.documents(size)))
        for size in (
            LONG_RUN.scaled(round(LONG_RUN.nodes * fraction))
            for fraction in SIZE_FRACTIONS
        )
    ]
    documents = synthetic.documents(LONG_RUN)
    pages = pages_of_documents(documents)
    notices_ms, plan_ms = _gossip_cpu_ms(LONG_RUN)
    return {
        "measured_routes": cpu_points[-1][0],
        "change_cpu_ms": cpu_points[-1][1],
        "change_cpu_ms_per_1000_routes": fit_line(cpu_points).slope * 1000,
        "choose_peers_cpu_ms": notices_ms,
        "poll_wait_cpu_ms": plan_ms,
        "change_sent_bytes": _change_sent_bytes(documents),
        "all_pages": len(pages),
        "all_pages_bytes": sum(map(len, pages)),
        "largest_page_bytes": max(map(len, pages)),
        "subtree_row_bytes": _largest_row_bytes(documents),
    }


def _change_cpu_ms(documents: dict[str, bytes]) -> float:
    """Return the processor time to apply one changed document, in milliseconds."""
    configuration = CurrentConfiguration()
    assert configuration.offer(1, documents, CHAIN) is ApplyResult.IN_FORCE
    paths = [path for path in documents if "/routes/" in path][:CHANGES]
    deltas = [
        SettingsDelta(2 + number, CHAIN, CHAIN, {path: documents[path]}, 1)
        for number, path in enumerate(paths)
    ]
    started_s = time.process_time()
    for delta in deltas:
        assert configuration.apply([delta]) is ApplyResult.IN_FORCE
    return (time.process_time() - started_s) / CHANGES * 1000


def _gossip_cpu_ms(size: FleetSize) -> tuple[float, float]:
    """Return the processor times of notices of one change and of planning a poll.

    The first includes the choice of the peers that receive the notices. Both times are
    in milliseconds.
    """
    headers = list(synthetic.node_records(size._replace(backend_servers=0)))
    sent: list[Any] = []
    configuration = CurrentConfiguration()
    configuration.offer(1, {}, CHAIN)
    gossip = SettingsGossip(
        headers[0],
        lambda: headers,
        lambda address, message: sent.append(message),
        configuration,
        None,
    )
    started_s = time.process_time()
    for number in range(CALLS):
        configuration.offer(2 + number, {}, CHAIN)
        gossip.tick(float(number))
    notices_cpu_s = time.process_time() - started_s
    assert len(sent) == CALLS * (FANOUT_ZONE + FANOUT_OTHER_ZONES)
    plan = PollPlan(headers[0], lambda: headers)
    started_s = time.process_time()
    for _ in range(CALLS):
        plan.next_wait_s(True)
    return notices_cpu_s / CALLS * 1000, (
        time.process_time() - started_s
    ) / CALLS * 1000


def _change_sent_bytes(documents: dict[str, bytes]) -> float:
    """Return the bytes that a node sends per change.

    Each message is assumed to need a new connection, whose bytes are counted.
    """
    path = next(path for path in documents if "/routes/" in path)
    delta = SettingsDelta(50_000, CHAIN, CHAIN, {path: documents[path]}, 1)
    notices = FANOUT_ZONE + FANOUT_OTHER_ZONES
    return (
        notices * _sent_bytes("settings_notice", SettingsNotice(ADDRESS, 50_000))
        + _sent_bytes("settings_pull", SettingsPull(ADDRESS, 49_999))
        + _sent_bytes("settings_deltas", SettingsDeltas(ADDRESS, 50_000, [delta]))
    )


def _sent_bytes(kind: str, message: Any) -> int:
    frame = encode_member(kind, Sender("node-00-00000", 1, ADDRESS), message)
    return len(frame) + MESSAGE_OVERHEAD_BYTES + CONNECT_OVERHEAD_BYTES


def _largest_row_bytes(documents: dict[str, bytes]) -> int:
    """Return the size of the largest row of a team in the platform's table.

    Each edit reads the row of its team and replaces it.
    """
    teams: dict[str, dict[str, Any]] = {}
    for path, document in documents.items():
        team = path.partition("/")[0]
        teams.setdefault(team, {})[path] = msgspec.json.decode(document)
    rows = (msgspec.json.encode(SubtreeRow(t)) for t in teams.values())
    return max(map(len, rows))
