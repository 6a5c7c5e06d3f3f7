"""Rows of other writers that can't be decoded, with real processes."""

import pytest

from tests.odd_inputs import ODD_BODIES, put_raw_rows
from tests.platform_fleet import PlatformFleet
from tests.settings_probes import configuration
from tests.utils import wait_until

NODES = 2
ALL_TABLES = ("members", "quarantines", "drains", "claims", "claim-eras", "changes")


def is_settled(nodes, count, revision) -> bool:
    return all(
        node.process.poll() is None
        and node.known_node_count() == count
        and node.revision() >= revision
        for node in nodes
    )


@pytest.mark.parametrize("table", ["members", "quarantines", "drains", "all tables"])
def test_a_node_starts_beside_rows_that_it_cannot_decode(table):
    """Guards against one odd row that ends each node that starts."""
    tables = ALL_TABLES if table == "all tables" else (table,)
    with PlatformFleet() as fleet:
        fleet.put_configuration(configuration(1, 1))
        nodes = fleet.start_nodes(NODES)
        wait_until(lambda: is_settled(nodes, NODES, 1), "both nodes serve")
        names = ODD_BODIES if table == "all tables" else ["nested 3,000"]
        rows = {
            (one, f"odd/{name}"): ODD_BODIES[name] for one in tables for name in names
        }
        # The row that the restarted node itself keeps its drains in.
        rows["drains", "n0"] = ODD_BODIES["nested 3,000"]
        put_raw_rows(fleet.store.address, rows)
        nodes[0].kill()
        nodes[0].start()
        nodes.append(fleet.start_node_at(fleet.store.address, "n-new", "here", ()))
        wait_until(lambda: is_settled(nodes, NODES + 1, 1), "all three nodes serve")
        fleet.put_configuration(configuration(2, 1))
        wait_until(lambda: is_settled(nodes, NODES + 1, 2), "all follow revision 2")
        logs = [node.log_path.read_text() for node in nodes]
        assert not any("Traceback" in log for log in logs)
        assert "event=row_unreadable table=drains key=n0 " in logs[0]
        # The new node finds its peers through the table; the restarted one may be
        # found by them first.
        for one in {"members", "quarantines"}.intersection(tables):
            assert f"event=row_unreadable table={one} " in logs[2]
