"""Drains that only peers keep, across restarts; without a network."""

from balsamspindle.drains import DrainedServer
from tests.test_confirmed_drains import (
    Fleet,
    Node,
    short_waits,  # noqa: F401
)


def test_a_drain_of_a_restarted_node_does_not_replace_those_not_yet_delivered():
    """Guards against a peer that forgets drains before their node has them back."""
    fleet = Fleet()
    fleet.tables.is_down = True
    assert fleet.one.delete() == 200
    restarted = fleet.restart()
    assert restarted.drains.add(DrainedServer("i-2", "i-2@7", 7))
    fleet.two.peers.deliver()
    fleet.tables.is_down = False
    restarted.store.update()
    assert restarted.put(sequence=9) == 200
    assert not restarted.is_ready()


def test_a_drain_kept_under_a_lower_incarnation_is_kept_again():
    """Guards against a confirmed drain that is lost after a clock was set back."""
    fleet = Fleet()
    fleet.tables.is_down = True
    fleet.one = Node("one", 5, fleet.tables, fleet.peers)
    fleet.peers.unreachable.add("three")
    three = Node("three", 1, fleet.tables, fleet.peers)
    assert fleet.one.drains.add(DrainedServer("a", "boot"))
    replaced = Node("one", 2, fleet.tables, fleet.peers)
    fleet.peers.unreachable = {"two"}
    assert replaced.drains.add(DrainedServer("b", "boot"))
    fleet.peers.unreachable = set()
    fleet.two.peers.deliver()
    replaced.drains.restore(fleet.two.peers._kept["one"].drains)
    third = Node("one", 9, fleet.tables, fleet.peers)
    fleet.two.peers.deliver()
    three.peers.deliver()
    drained = third.drains.current().drained
    assert {one.backend_server_id for one in drained} == {"a", "b"}
