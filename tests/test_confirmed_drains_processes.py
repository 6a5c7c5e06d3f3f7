"""Drains that a node confirmed before it was killed, with real processes."""

import json
import time

import msgspec
import pytest

from balsamspindle.wire import BackendServerRecord
from tests.platform_fleet import PlatformFleet, PlatformNode
from tests.settings_probes import configuration
from tests.utils import call, wait_until

BORN = 1_700_000_000_000
NODES = 3
# After this time without disturbance the bounds hold.
STABILITY_S = 3.0


def announce(node: PlatformNode, name: str, state: str, sequence: int, born=BORN):
    """Send an announcement to a node; return the status of its answer."""
    body = {
        "address": "127.0.0.1:9",
        "info": {"service": "crew", "slots": 3},
        "status": {"state": state, "sequence": sequence},
        "born": born,
    }
    data = json.dumps(body).encode()
    return call(node.announce_address, f"/instances/{name}", "PUT", data).status


def ready_servers(node: PlatformNode) -> set[str]:
    """Return the ids of all backend servers that a node takes for ready."""
    records = [
        msgspec.convert(server, BackendServerRecord)
        for peer in call(node.admin_address, "/status").json()["nodes"]
        for server in peer["backend_servers"]
    ]
    return {one.backend_server_id for one in records if one.state == "ready"}


def has_left(node: PlatformNode, name: str) -> bool:
    """Send a leave without a body; return whether the node confirmed it."""
    try:
        return call(node.announce_address, f"/instances/{name}", "DELETE").status == 200
    except OSError:
        return False


def start_with_ready_servers(fleet: PlatformFleet) -> list[PlatformNode]:
    """Start nodes; return them when each has a backend server, "i-NUMBER"."""
    fleet.put_configuration(configuration(1, 1))
    nodes = fleet.start_nodes(NODES)
    for node in nodes:
        wait_until(
            lambda node=node: node.known_node_count() == NODES and node.revision() >= 1,
            "the node knows all nodes and has settings",
        )
    for number, node in enumerate(nodes):
        assert announce(node, f"i-{number}", "ready", 1) == 200
    wait_until(lambda: len(ready_servers(nodes[2])) == NODES, "all ready")
    return nodes


@pytest.mark.parametrize("is_store_down", [False, True])
def test_a_confirmed_leaving_holds_after_its_node_is_killed(is_store_down):
    """Guards against a late announcement that brings a server back after a kill."""
    with PlatformFleet() as fleet:
        nodes = start_with_ready_servers(fleet)
        if is_store_down:
            fleet.store.set_fault(mode="down")
        assert announce(nodes[0], "i-0", "draining", 2) == 200
        left = call(nodes[1].announce_address, "/instances/i-1", "DELETE")
        assert left.status == 200
        for node in nodes[:2]:
            node.kill()
            node.start()
        wait_until(
            lambda: nodes[0].known_node_count() == nodes[1].known_node_count() == NODES,
            "the restarted nodes know all nodes",
        )
        time.sleep(STABILITY_S)
        for number, node in enumerate(nodes[:2]):
            announce(node, f"i-{number}", "ready", 9)
            announce(node, f"i-{number}", "ready", 9, BORN - 5_000)
        announce(nodes[2], "i-2", "ready", 2)
        # Long enough for news to reach the other nodes.
        time.sleep(1.5)
        assert ready_servers(nodes[2]) == {"i-2"}


def test_a_leave_that_is_a_new_process_first_message_holds():
    """Guards against a late announcement that undoes a leave without a start."""
    with PlatformFleet() as fleet:
        nodes = start_with_ready_servers(fleet)
        for node in nodes[:2]:
            node.kill()
            node.start()
        for number, node in enumerate(nodes[:2]):
            wait_until(
                lambda number=number, node=node: has_left(node, f"i-{number}"),
                "the restarted node confirms the leave",
            )
        # The second node is killed once more, after its confirmation.
        nodes[1].kill()
        nodes[1].start()
        wait_until(
            lambda: nodes[0].known_node_count() == nodes[1].known_node_count() == NODES,
            "the restarted nodes know all nodes",
        )
        time.sleep(STABILITY_S)
        for number, node in enumerate(nodes[:2]):
            assert announce(node, f"i-{number}", "ready", 9) == 200
        announce(nodes[2], "i-2", "ready", 2)
        # Long enough for news to reach the other nodes.
        time.sleep(1.5)
        assert ready_servers(nodes[2]) == {"i-2"}


def test_a_leaving_that_peers_alone_keep_holds_after_all_nodes_are_killed():
    """Guards against a drain that is confirmed, and known to no process any more."""
    with PlatformFleet() as fleet:
        nodes = start_with_ready_servers(fleet)
        fleet.store.set_fault(mode="down")
        assert announce(nodes[0], "i-0", "draining", 2) == 200
        assert has_left(nodes[1], "i-1")
        for node in nodes:
            node.kill()
        for node in nodes:
            node.start()
        fleet.store.set_fault(mode="none")
        for node in nodes:
            wait_until(
                lambda node=node: (
                    node.known_node_count() == NODES and node.revision() >= 1
                ),
                "the restarted node knows all nodes and has settings",
            )
        for number, node in enumerate(nodes[:2]):
            announce(node, f"i-{number}", "ready", 9)
        announce(nodes[2], "i-2", "ready", 2)
        # Long enough for news to reach the other nodes.
        time.sleep(1.5)
        assert ready_servers(nodes[2]) == {"i-2"}
