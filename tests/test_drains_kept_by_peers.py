"""Confirmed drains across restarts, kept by peers or in other odd cases."""

from balsamspindle.drains import DrainedServer
from tests.test_confirmed_drains import (
    BORN,
    Fleet,
    Node,
    short_waits,  # noqa: F401
    unix_ms,
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


def test_a_leaving_kept_by_one_peer_survives_the_end_of_that_peer_too():
    """Guards against a confirmation that ends with two processes killed at once."""
    fleet = Fleet()
    fleet.tables.is_down = True
    Node("three", 1, fleet.tables, fleet.peers)
    fleet.peers.unreachable.add("three")
    assert fleet.one.delete() == 200
    fleet.peers.unreachable.clear()
    fleet.two = Node("two", 2, fleet.tables, fleet.peers)
    restarted = fleet.restart()
    fleet.tables.is_down = False
    restarted.store.update()
    assert restarted.put(sequence=9) == 200
    assert not restarted.is_ready()


def test_a_leave_of_a_former_release_covers_the_starts_before_it():
    """Guards against a row without a start that a late announcement undoes."""
    fleet = Fleet()
    restarted = Node("one", unix_ms(), fleet.tables, fleet.peers)
    restarted.drains.restore(
        fleet.one.drains.current().__class__(
            "one", unix_ms() - 10, 1, (DrainedServer("i-1", "i-1"),)
        ),
        from_store=True,
    )
    assert restarted.put(sequence=9) == 200
    assert not restarted.is_ready()


def test_an_operator_does_not_end_a_drain_that_the_server_announced():
    """Guards against requests to a leaving server after an operator's command."""
    fleet = Fleet()
    assert fleet.one.delete() == 200
    fleet.one.servers.undrain("i-1")
    assert not fleet.one.is_ready()


def test_a_drain_survives_many_leaves_of_unknown_servers():
    """Guards against foreign writers that push a confirmed drain out of the record."""
    fleet = Fleet()
    assert fleet.one.delete() == 200
    for number in range(120):
        fleet.one.client.delete(f"/instances/x-{number}")
    restarted = fleet.restart()
    restarted.store.update()
    assert restarted.put(sequence=9, born=BORN) == 200
    assert not restarted.is_ready()
