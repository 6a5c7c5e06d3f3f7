"""Settings while the store loses answers, judged by what requests get."""

import time

import pytest

from tests.platform_fleet import PlatformFleet, PlatformNode
from tests.settings_probes import HOST, configuration
from tests.utils import wait_until

# Times of the platform: within the first, a confirmed change is in force; after the
# second without disturbance the bound holds.
IN_FORCE_MAX_S, STABILITY_S = 2.0, 3.0
ROUTES = 20


def start_fleet(fleet: PlatformFleet, zones: tuple[str, ...]) -> list[PlatformNode]:
    """Start a node for each zone name; wait until they wait at the store."""
    fleet.put_configuration(configuration(1, ROUTES))
    nodes = [
        fleet.start_node_at(fleet.store.address, f"n{number}", zone, ())
        for number, zone in enumerate(zones)
    ]
    for node in nodes:
        wait_until(
            lambda node=node: (
                node.known_node_count() == len(zones) and node.revision() >= 1
            ),
            "the node knows all nodes and has settings",
            60.0,
        )
    time.sleep(1.0)
    return nodes


def nodes_behind(nodes: list[PlatformNode], version: int) -> list[int]:
    """Return the numbers of the nodes that refuse the route that a version added."""
    target = f"/added-{version:x}/1"
    return [
        number
        for number, node in enumerate(nodes)
        if node.status_of(HOST, target) == 404
    ]


@pytest.mark.parametrize("zones", [("a",), ("a",) * 3 + ("b",) * 3 + ("c",) * 3])
@pytest.mark.parametrize("lost_s", [0.5, 2.0, 4.0])
def test_a_change_is_in_force_after_its_answers_were_lost(zones, lost_s):
    """Guards against waits at the store that go on after their answers were lost."""
    with PlatformFleet() as fleet:
        nodes = start_fleet(fleet, zones)
        fleet.store.set_fault(mode="lost_reply")
        time.sleep(lost_s / 2)
        fleet.put_configuration(configuration(2, ROUTES))
        time.sleep(lost_s / 2)
        fleet.store.set_fault(mode="none")
        time.sleep(STABILITY_S)
        assert nodes_behind(nodes, 2) == []


@pytest.mark.parametrize("zones", [("a",), ("a",) * 3 + ("b",) * 3 + ("c",) * 3])
def test_the_next_change_is_in_force_after_answers_were_lost(zones):
    """Guards against nodes that get one change from elsewhere and wait on in vain."""
    with PlatformFleet() as fleet:
        nodes = start_fleet(fleet, zones)
        fleet.store.set_fault(mode="lost_reply")
        fleet.put_configuration(configuration(2, ROUTES))
        time.sleep(0.5)
        fleet.store.set_fault(mode="none")
        time.sleep(STABILITY_S)
        fleet.put_configuration(configuration(3, ROUTES))
        time.sleep(IN_FORCE_MAX_S)
        assert nodes_behind(nodes, 3) == []
