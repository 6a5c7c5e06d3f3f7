"""First peers through the platform's table."""

from expression import Error, Ok
from testtools import TestCase

from balsamspindle.membership.registry import SLOTS, Registry
from balsamspindle.tables import Conflict, Row, TableService, Unreachable
from tests.member_network import MemberNetwork
from tests.utils import Fleet, wait_until


class CountedTables(TableService):
    """One table in memory that counts calls and can be down."""

    def __init__(self):
        self.rows: dict[str, Row] = {}
        self.down = False
        self.reads = self.writes = 0

    def read(self, table, keys):
        self.reads += 1
        rows = [self.rows.get(key, Row(key, 0)) for key in keys]
        return Error(Unreachable("down")) if self.down else Ok(rows)

    def scan(self, table):
        self.reads += 1
        rows = list(self.rows.values())
        return Error(Unreachable("down")) if self.down else Ok(rows)

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
    def start(self, count, zones):
        self.network = MemberNetwork()
        self.tables = CountedTables()
        nodes = []
        for number in range(count):
            nodes.append(self.network.add(number, f"zone-{number % zones}"))
        return nodes

    def registry(self, node):
        return Registry(
            self.tables,
            node.settings.own_record(1),
            node.directory,
            node.member.set_contacts,
            lambda: node.member.isolated,
            node.events,
        )

    def test_nodes_without_seeds_find_each_other_through_the_table(self):
        nodes = self.start(9, zones=3)
        for node in nodes:
            registry = self.registry(node)
            registry.find_peers()
            registry.keep_rows()
            while not node.member.channel._calls.empty():
                node.member.channel._calls.get()()
        met = self.network.run(
            30, lambda: all(len(node.alive()) == len(nodes) for node in nodes)
        )
        self.assertTrue(met)

    def test_a_fleet_that_starts_at_once_writes_few_rows(self):
        # Guards against each node that writes the rows of its zone anew.
        nodes = self.start(60, zones=3)
        registries = [self.registry(node) for node in nodes]
        for registry in registries:
            registry.look()
        self.assertLessEqual(self.tables.writes, 3)
        for node in nodes:
            while not node.member.channel._calls.empty():
                node.member.channel._calls.get()()
        met = self.network.run(
            30, lambda: all(len(node.alive()) == len(nodes) for node in nodes)
        )
        self.assertTrue(met)
        for registry in registries:
            registry.look()
        self.assertEqual(3 * SLOTS, len(self.tables.rows))
        self.assertLessEqual(self.tables.writes, 3 + 3 * SLOTS)

    def test_a_node_whose_named_peers_do_not_answer_writes_its_rows(self):
        # Guards against rows of nodes that are gone, which nobody replaces.
        nodes = self.start(2, zones=1)
        self.registry(nodes[0]).keep_rows()
        left = self.registry(nodes[1])
        for _ in range(2):
            left.look()
            self.assertEqual(1, self.tables.writes)
        left.look()
        self.assertEqual(2, self.tables.writes)

    def test_rows_and_writes_are_bounded_by_zones_not_nodes(self):
        # Each of many nodes writing its own heartbeat would take more writes
        # than the platform gives to all.
        nodes = self.start(60, zones=3)
        self.network.introduce(nodes)
        for _ in range(3):
            for node in nodes:
                self.registry(node).keep_rows()
        self.assertEqual(3 * SLOTS, len(self.tables.rows))
        self.assertLessEqual(self.tables.writes, 3 * SLOTS)
        self.assertLessEqual(self.tables.reads, 3 * 3 * SLOTS)

    def test_a_table_that_is_down_garbled_or_lost_costs_rediscovery_only(self):
        first, second = self.start(2, zones=1)
        self.network.introduce([first, second])
        self.tables.down = True
        self.registry(first).find_peers()
        self.registry(first).keep_rows()
        self.tables.down = False
        self.tables.rows["zone-0/0"] = Row("zone-0/0", 5, {"node_id": 7})
        for node in (first, second):
            self.registry(node).find_peers()
            self.registry(node).keep_rows()
        values = [row.value for row in self.tables.rows.values()]
        self.assertEqual(SLOTS, len(values))
        self.assertTrue(
            all(value["node_id"] in ("node-00000", "node-00001") for value in values)
        )
        self.assertEqual({"node-00000", "node-00001"}, first.alive())


class RegistryOfProcessesTests(TestCase):
    def test_real_nodes_without_seeds_meet_through_the_platform(self):
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
                    f"{node.settings['node_id']} sees all",
                    30,
                )
