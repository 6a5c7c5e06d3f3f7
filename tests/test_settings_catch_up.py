"""When a node reads the store because peers may not deliver a change."""

import random
from itertools import pairwise

from testtools import TestCase

from balsamspindle.settings.catch_up import CatchUpReads
from tests.spreading_fleet import SpreadingFleet

# Time after which each node must have a change that the store has confirmed.
IN_FORCE_MAX_S = 2.5
FLEET_NODES = 5_600
STORE_READS_PER_S = 2_000
TICK_S = 0.1


class CatchUpReadsTests(TestCase):
    def reads(self, node_count: int, behind_since_s: float | None, heard_s: float):
        """Return the times of one node's reads in 30 s."""
        schedule = CatchUpReads(random.Random(node_count))
        times_s = (tick * TICK_S for tick in range(300))
        return [
            now_s
            for now_s in times_s
            if schedule.is_due(behind_since_s, heard_s, node_count, now_s, now_s)
        ]

    def test_a_node_in_touch_with_its_peers_reads_nothing(self):
        schedule = CatchUpReads(random.Random(1))
        for tick in range(300):
            now_s = tick * TICK_S
            self.assertFalse(schedule.is_due(None, now_s - 1.2, 98, now_s, now_s))

    def test_a_node_that_stays_behind_reads_in_time(self):
        self.assertLess(self.reads(98, 0.0, 30.0)[0], IN_FORCE_MAX_S)

    def test_a_node_that_hears_no_peer_reads_in_time_and_again(self):
        reads_s = self.reads(98, None, 0.0)
        self.assertLess(reads_s[0], IN_FORCE_MAX_S)
        self.assertGreater(len(reads_s), 20)

    def test_a_revision_that_the_store_lacks_is_read_ever_less_often(self):
        # The store was restored from a backup; the peers have the lost revision.
        schedule = CatchUpReads(random.Random(1))
        reads = sum(
            schedule.is_due(0.0, tick * TICK_S, 98, tick * TICK_S, tick * TICK_S)
            for tick in range(3_000)
        )
        self.assertLess(reads, 16)
        self.assertGreater(reads, 8)

    def test_reads_that_the_store_does_not_answer_are_repeated_in_time(self):
        # Guards against silence of the store that is taken for a lack of the change.
        schedule = CatchUpReads(random.Random(1))
        reads_s = [
            tick * TICK_S
            for tick in range(300)
            if schedule.is_due(0.0, tick * TICK_S, 98, tick * TICK_S, None)
        ]
        gaps_s = [after - before for before, after in pairwise(reads_s)]
        self.assertLess(max(gaps_s), IN_FORCE_MAX_S)

    def test_a_node_without_live_peers_reads_nothing(self):
        self.assertEqual([], self.reads(1, None, 0.0))

    def test_a_fleet_that_peers_leave_behind_does_not_overload_the_store(self):
        # All nodes hear of a change at once and no peer delivers it. They read the
        # store until it has answered each of them.
        per_second = [0] * 30
        for number in range(FLEET_NODES):
            schedule = CatchUpReads(random.Random(number))
            for tick in range(300):
                now_s = tick * TICK_S
                if schedule.is_due(0.0, 0.0, FLEET_NODES, now_s, now_s):
                    per_second[int(now_s)] += 1
        self.assertLess(max(per_second), STORE_READS_PER_S)
        self.assertGreater(sum(per_second), FLEET_NODES)

    def test_isolated_nodes_of_a_large_fleet_do_not_overload_the_store(self):
        # A node that declares its peers dead one after the other knows few live ones.
        reads = 0
        for number in range(0, FLEET_NODES, 100):
            schedule = CatchUpReads(random.Random(number))
            schedule.is_due(None, 0.0, FLEET_NODES, 0.0, 0.0)
            times_s = (tick * TICK_S for tick in range(300))
            reads += sum(
                schedule.is_due(None, 0.0, 2, now_s, None) for now_s in times_s
            )
        self.assertLess(reads * 100 / 30, STORE_READS_PER_S)


class CatchUpTests(TestCase):
    def test_a_node_that_no_peer_reaches_has_a_change_in_time(self):
        fleet = SpreadingFleet(40, 2)
        fleet.offer(4, {"t/services/s": b"{}"})
        fleet.run_for(2.0)
        cut_off = next(node for node in fleet.nodes if node not in fleet.readers)
        fleet.network.delivers = lambda source, target: (
            cut_off.node
            not in (
                source,
                target,
            )
        )
        fleet.stored = (8, {"t/services/other": b"{}"})
        fleet.offer(*fleet.stored, fleet.readers)
        fleet.run_for(IN_FORCE_MAX_S)
        self.assertEqual([], fleet.nodes_behind(8))

    def test_a_calm_fleet_reads_the_store_at_its_readers_alone(self):
        fleet = SpreadingFleet(98, 5)
        fleet.offer(4, {"t/services/s": b"{}"})
        fleet.run_for(20.0)
        fleet.offer(8, {"t/services/other": b"{}"}, fleet.readers)
        fleet.run_for(5.0)
        self.assertEqual([], fleet.nodes_behind(8))
        self.assertEqual(0, fleet.catch_up_reads)
