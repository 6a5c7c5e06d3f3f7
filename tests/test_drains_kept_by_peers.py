"""Drains that only peers keep, across restarts; without a network."""

from balsamspindle.drains import DrainedServer
from tests.test_confirmed_drains import (
    Fleet,
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
