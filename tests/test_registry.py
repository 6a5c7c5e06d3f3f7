"""Discovery of first peers through the platform's table."""

from expression import Error, Ok
from testtools import TestCase

from balsamspindle.membership.registry import SLOTS_PER_ZONE, Registry
from balsamspindle.tables import Conflict, Row, TableService, Unreachable
from tests.member_network import MemberNetwork
from tests.utils import Fleet, wait_until


class CountingTables(TableService):
    """A table in memory that counts calls and can be made unavailable."""

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.is_down = False
        self.reads = self.writes = 0

    def read(self, table, keys):
        self.reads += 1
        rows = [self.rows.get(key, Row(key, 0)) for key in keys]
        return Error(Unreachable("down")) if self.is_down else Ok(rows)

    def scan(self, table):
        self.reads += 1
        rows = list(self.rows.values())
        return Error(Unreachable("down")) if self.is_down else Ok(rows)

    def transact(self, transaction):
        self.writes += 1
        for check in transaction.checks:
            known = self.rows.get(check.key, Row(check.key, 0))
            if known.version != check.version:
                return Error(Conflict([known]))
        for put in transaction.puts:
            version = self.rows.get(put.key, Row(put.key, 0)).version + 1
            self.rows[put.key] = Row(put.key, version, put.value)
        return Ok(self.writes)


class RegistryTests(TestCase):
    def add_nodes(self, count, zones):
        self.network = MemberNetwork()
        self.tables = CountingTables()
        nodes = []
        for number in range(count):
            nodes.append(self.network.add(number, f"zone-{number % zones}"))
        return nodes

    def build_registry(self, node):
        return Registry(
            self.tables,
            node.settings.own_record(1),
            node.directory,
            node.member.set_contacts,
            lambda: node.member.isolated,
            node.events,
        )

    def test_nodes_without_seeds_find_each_other_through_the_table(self):
        nodes = self.add_nodes(9, zones=3)
        for node in nodes:
            registry = self.build_registry(node)
            registry.find_peers()
            registry.update_rows()
            while not node.member.channel._calls.empty():
                node.member.channel._calls.get()()
        connected = self.network.run(
            30, lambda: all(len(node.alive()) == len(nodes) for node in nodes)
        )
        self.assertTrue(connected)

    def test_nodes_that_start_together_write_few_rows(self):
        # Guards against too many writes, as when each starting node writes all rows of
        # its zone.
        nodes = self.add_nodes(60, zones=3)
        registries = [self.build_registry(node) for node in nodes]
        for registry in registries:
            registry.run_round()
        self.assertLessEqual(self.tables.writes, 3)
        for node in nodes:
            while not node.member.channel._calls.empty():
                node.member.channel._calls.get()()
        connected = self.network.run(
            30, lambda: all(len(node.alive()) == len(nodes) for node in nodes)
        )
        self.assertTrue(connected)
        for registry in registries:
            registry.run_round()
        self.assertEqual(3 * SLOTS_PER_ZONE, len(self.tables.rows))
        self.assertLessEqual(self.tables.writes, 3 + 3 * SLOTS_PER_ZONE)

    def test_a_node_writes_rows_when_the_peers_in_the_table_do_not_answer(self):
        # Guards against rows that are never replaced although their nodes no longer
        # exist.
        nodes = self.add_nodes(2, zones=1)
        self.build_registry(nodes[0]).update_rows()
        isolated = self.build_registry(nodes[1])
        for _ in range(2):
            isolated.run_round()
            self.assertEqual(1, self.tables.writes)
        isolated.run_round()
        self.assertEqual(2, self.tables.writes)

    def test_rows_and_writes_are_bounded_by_zones_not_nodes(self):
        # Guards against a heartbeat row for each node: a large fleet would write more
        # rows than the platform allows.
        nodes = self.add_nodes(60, zones=3)
        self.network.introduce(nodes)
        for _ in range(3):
            for node in nodes:
                self.build_registry(node).update_rows()
        self.assertEqual(3 * SLOTS_PER_ZONE, len(self.tables.rows))
        self.assertLessEqual(self.tables.writes, 3 * SLOTS_PER_ZONE)
        self.assertLessEqual(self.tables.reads, 3 * 3 * SLOTS_PER_ZONE)

    def test_a_table_that_is_down_or_damaged_is_written_again(self):
        first, second = self.add_nodes(2, zones=1)
        self.network.introduce([first, second])
        self.tables.is_down = True
        self.build_registry(first).find_peers()
        self.build_registry(first).update_rows()
        self.tables.is_down = False
        self.tables.rows["zone-0/0"] = Row("zone-0/0", 5, {"node_id": 7})
        for node in (first, second):
            self.build_registry(node).find_peers()
            self.build_registry(node).update_rows()
        values = [row.value for row in self.tables.rows.values()]
        self.assertEqual(SLOTS_PER_ZONE, len(values))
        self.assertTrue(
            all(value["node_id"] in ("node-00000", "node-00001") for value in values)
        )
        self.assertEqual({"node-00000", "node-00001"}, first.alive())


class RegistryOfProcessesTests(TestCase):
    def test_processes_without_seeds_find_each_other_through_the_platform(self):
        with Fleet() as fleet:
            fleet.start_platform()
            nodes = [
                fleet.start_node(f"node-{number}", f"zone-{number}", seed_addresses=[])
                for number in range(3)
            ]
            for node in nodes:
                wait_until(
                    lambda node=node: (
                        len((node.status() or {"nodes": []})["nodes"]) == len(nodes)
                    ),
                    f"{node.settings['node_id']} knows all nodes",
                    30,
                )
