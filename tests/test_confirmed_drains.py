"""Drains that a node confirmed, across the end of its process; without a network."""

import io
import json
import time

import pytest
from expression import Error, Ok
from werkzeug.test import Client

from balsamspindle.backend_servers.lifetimes import Lifetimes
from balsamspindle.backend_servers.servers import (
    BackendServerState,
    LocalBackendServers,
)
from balsamspindle.drains import (
    DrainedServer,
    DrainPeers,
    DrainStore,
    OwnDrains,
    own_drains,
)
from balsamspindle.drains.records import DRAINED_MAX
from balsamspindle.membership import Directory
from balsamspindle.platform.announcements import AnnouncementApplication
from balsamspindle.tables import Conflict, Row, TableService, Unknown, Unreachable
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import NodeRecord

URL = "/instances/i-1"
BORN = 1_700_000_000_000


def unix_ms() -> int:
    """Return the present Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class FakeTables(TableService):
    """One table in memory; fails calls, or loses their answers, while it is told to."""

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.is_down = self.loses_answers = False
        self.writes = 0

    def read(self, table, keys):
        if self.is_down:
            return Error(Unreachable("down"))
        return Ok([self.rows.get(key, Row(key, 0)) for key in keys])

    def transact(self, transaction):
        if self.is_down:
            return Error(Unreachable("down"))
        [check], [put] = transaction.checks, transaction.puts
        present = self.rows.get(check.key, Row(check.key, 0))
        if present.version != check.version:
            return Error(Conflict([present]))
        self.writes += 1
        self.rows[put.key] = Row(put.key, self.writes, put.value)
        return Error(Unknown("lost")) if self.loses_answers else Ok(self.writes)


class Node:
    """The parts of a node process that confirm drains; `peers` is the network."""

    def __init__(self, name, incarnation, tables, peers):
        events = EventLog(name, incarnation, HybridClock(), io.StringIO())
        self.servers = LocalBackendServers()
        self.lifetimes = Lifetimes(self.servers, events)
        self.record = NodeRecord(name, incarnation, 1, "r", "z", "-", name, "alive")
        self.directory = Directory()
        self.store = None
        self.drains = OwnDrains(
            name, incarnation, events, self.lifetimes.restore, self.share
        )
        self.peers = DrainPeers(
            self.record,
            self.directory,
            self.drains,
            lambda address, message: peers.send(name, address, message),
        )
        self.store = DrainStore(tables, name, self.drains, events)
        self.client = Client(AnnouncementApplication(self.lifetimes, self.drains))
        peers.add(self)

    def share(self, drains):
        self.peers.share(drains)
        self.store.update()

    def put(self, state="ready", sequence=1, born=BORN):
        body = {
            "address": "10.0.0.1:8080",
            "info": {"service": "a", "slots": 3},
            "status": {"state": state, "sequence": sequence},
            "born": born,
        }
        return self.client.put(URL, data=json.dumps(body)).status_code

    def delete(self, born=None):
        data = b"" if born is None else json.dumps({"born": born})
        return self.client.delete(URL, data=data).status_code

    def is_ready(self):
        return BackendServerState.READY in [one.state for one in self.servers.all()]


class Peers:
    """Delivers messages between nodes at once, except to nodes in `unreachable`."""

    def __init__(self):
        self.nodes = {}
        self.unreachable = set()

    def add(self, node):
        for other in self.nodes.values():
            other.directory.update(node.record, 0.0)
            node.directory.update(other.record, 0.0)
        self.nodes[node.record.node_id] = node

    def send(self, sender, address, message):
        if address in self.unreachable:
            return
        node = self.nodes[address].peers
        if hasattr(message, "drained"):
            node.receive(sender, message)
        else:
            node.record_kept(message)


class Fleet:
    """Nodes "one" and "two" with a store; "one" has a ready backend server."""

    def __init__(self):
        self.tables, self.peers = FakeTables(), Peers()
        self.two = Node("two", 1, self.tables, self.peers)
        self.one = Node("one", 1, self.tables, self.peers)
        self.one.store.update()
        assert self.one.put() == 200

    def restart(self):
        """Start a new process of node "one"."""
        self.one = Node("one", 2, self.tables, self.peers)
        return self.one


@pytest.fixture(autouse=True)
def short_waits(monkeypatch):
    """Shorten the wait for a confirmation that does not come."""
    monkeypatch.setattr(own_drains, "CONFIRM_MAX_S", 0.4)
    monkeypatch.setattr(own_drains, "SHARE_INTERVAL_S", 0.02)


@pytest.mark.parametrize(
    ("leave", "next_born"),
    [
        (Node.delete, None),
        (lambda node: node.delete(BORN), BORN + 5_000),
        (lambda node: node.put("draining", 2), BORN + 5_000),
    ],
)
@pytest.mark.parametrize("is_store_down", [False, True])
def test_a_confirmed_leaving_binds_the_next_process(leave, next_born, is_store_down):
    """Guards against a leaving that only the memory of a killed node contains."""
    fleet = Fleet()
    fleet.tables.is_down = is_store_down
    assert leave(fleet.one) == 200
    restarted = fleet.restart()
    fleet.tables.is_down = False
    restarted.store.update()
    fleet.two.peers.deliver()
    # Late announcements: of the same start, and of an earlier one.
    assert restarted.put(sequence=9) == 200
    assert restarted.put(sequence=9, born=BORN - 5_000) == 200
    assert not restarted.is_ready()
    assert restarted.put(born=next_born or unix_ms() + 1) == 200
    assert restarted.is_ready()


def test_a_late_announcement_that_arrives_before_the_peers_drains_is_undone():
    """Guards against a server that stays in use as its first announcement was late."""
    fleet = Fleet()
    fleet.tables.is_down = True
    assert fleet.one.delete() == 200
    fleet.tables.is_down = False
    restarted = fleet.restart()
    restarted.store.update()
    assert restarted.put(sequence=9) == 200
    fleet.two.peers.deliver()
    assert not restarted.is_ready()


@pytest.mark.parametrize("known_born", [None, BORN - 5_000])
def test_a_leave_without_a_start_covers_starts_that_were_not_announced(known_born):
    """Guards against a late first announcement that undoes a leave without a start."""
    fleet = Fleet()
    restarted = fleet.restart()
    assert restarted.store.update()
    if known_born is not None:
        assert restarted.put(born=known_born) == 200
    assert restarted.delete() == 200
    assert restarted.put(sequence=9) == 200
    assert not restarted.is_ready()
    assert restarted.put(born=unix_ms() + 1) == 200
    assert restarted.is_ready()


@pytest.mark.parametrize("is_store_down", [False, True])
def test_a_leave_without_a_start_binds_the_next_process(is_store_down):
    """Guards against a leave that is restored without the starts that it covers."""
    fleet = Fleet()
    fleet.one = Node("one", 2, fleet.tables, fleet.peers)
    assert fleet.one.store.update()
    fleet.tables.is_down = is_store_down
    assert fleet.one.delete() == 200
    fleet.tables.is_down = False
    restarted = Node("one", 3, fleet.tables, fleet.peers)
    assert restarted.store.update()
    assert restarted.put(sequence=9) == 200
    fleet.two.peers.deliver()
    assert restarted.put(sequence=10) == 200
    assert not restarted.is_ready()


def test_a_leaving_that_nothing_else_keeps_is_not_confirmed():
    """Guards against a confirmation that ends with the node's process."""
    fleet = Fleet()
    fleet.tables.is_down = True
    fleet.peers.unreachable.add("two")
    assert fleet.one.delete() == 503
    assert not fleet.one.is_ready()
    fleet.tables.is_down = False
    assert fleet.one.delete() == 200


def test_no_announcement_counts_before_the_earlier_drains_are_known():
    """Guards against a first announcement that is accepted before the row is read."""
    fleet = Fleet()
    assert fleet.one.delete() == 200
    restarted = fleet.restart()
    assert restarted.put(sequence=9) == 503
    assert not restarted.is_ready()
    restarted.store.update()
    assert restarted.put(sequence=9) == 200
    assert not restarted.is_ready()


def test_a_node_that_cannot_reach_the_store_accepts_announcements_after_a_while():
    now_s = 0.0
    drains = OwnDrains("one", 2, _NoEvents(), clock=lambda: now_s)
    assert not drains.wait_restored()
    now_s = own_drains.RESTORE_MAX_S
    assert drains.wait_restored()


def test_a_write_whose_answer_was_lost_counts_once_it_is_read_again():
    fleet = Fleet()
    fleet.peers.unreachable.add("two")
    fleet.tables.loses_answers = True
    assert fleet.one.delete() == 503
    fleet.tables.loses_answers = False
    assert fleet.one.delete() == 200
    assert not _left_restarted(fleet).is_ready()


def test_drains_are_written_again_after_the_store_lost_them():
    """Guards against drains that a store restored from an older copy has forgotten."""
    fleet = Fleet()
    fleet.peers.unreachable.add("two")
    assert fleet.one.delete() == 200
    fleet.tables.rows.clear()
    fleet.one.store.write_again()
    assert fleet.one.store.update()
    assert not _left_restarted(fleet).is_ready()


def test_drains_survive_several_restarts_without_the_store():
    """Guards against a peer's drains that end with the process that received them."""
    fleet = Fleet()
    fleet.tables.is_down = True
    assert fleet.one.delete() == 200
    for incarnation in (2, 3):
        fleet.one = Node("one", incarnation, fleet.tables, fleet.peers)
        fleet.two.peers.deliver()
    fleet.tables.is_down = False
    assert fleet.one.store.update()
    assert fleet.tables.rows["one"].value is not None
    assert fleet.one.put(sequence=9) == 200
    assert not fleet.one.is_ready()


def test_a_peer_that_keeps_later_drains_confirms_no_earlier_ones():
    """Guards against a false confirmation after a wall clock was set back."""
    fleet = Fleet()
    fleet.tables.is_down = True
    fleet.one = Node("one", 5, fleet.tables, fleet.peers)
    replaced = Node("one", 2, fleet.tables, fleet.peers)
    fleet.peers.nodes["one"] = fleet.one
    assert fleet.one.drains.add(DrainedServer("a", "boot"))
    fleet.peers.nodes["one"] = replaced
    assert replaced.drains.add(DrainedServer("b", "boot"))
    third = Node("one", 9, fleet.tables, fleet.peers)
    fleet.two.peers.deliver()
    drained = third.drains.current().drained
    assert {one.backend_server_id for one in drained} == {"a", "b"}


def test_a_drain_that_an_operator_ended_is_not_restored():
    drains = OwnDrains("one", 1, _NoEvents())
    drains.restore(None, from_store=True)
    drains.record_kept(drains.current().version._replace(number=100))
    drains.add(DrainedServer("a", "boot", has_announced=False))
    drains.add(DrainedServer("b", "boot", has_announced=False))
    drains.remove("a")
    restored = []
    later = OwnDrains("one", 2, _NoEvents(), lambda server, _: restored.append(server))
    later.restore(drains.current(), from_store=True)
    assert [one.backend_server_id for one in restored] == ["b"]
    later.record_kept(later.current().version._replace(number=100))
    later.remove("b")
    assert later.current().drained == ()


def test_the_record_of_drains_is_bounded():
    drains = OwnDrains("one", 1, _NoEvents())
    drains.record_kept(drains.current().version._replace(number=1_000))
    for number in range(DRAINED_MAX + 20):
        drains.add(DrainedServer(f"s-{number}", "boot"))
    assert len(drains.current().drained) == DRAINED_MAX
    assert drains.current().drained[-1].backend_server_id == f"s-{DRAINED_MAX + 19}"


def test_a_process_whose_clock_is_behind_takes_over_the_drains():
    restored = []
    drains = OwnDrains("one", 5, _NoEvents(), lambda server, _: restored.append(server))
    earlier = OwnDrains("one", 9, _NoEvents())
    earlier.record_kept(earlier.current().version._replace(number=100))
    earlier.add(DrainedServer("a", "boot"))
    drains.restore(earlier.current())
    assert len(restored) == 1
    assert drains.current().version > earlier.current().version


class _NoEvents:
    def emit(self, event, **fields):
        return 0


def _left_restarted(fleet):
    """Return a new process of node "one" that got a late announcement."""
    restarted = fleet.restart()
    assert restarted.store.update()
    assert restarted.put(sequence=9) == 200
    return restarted
