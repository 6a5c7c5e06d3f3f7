"""How a change reaches every node although messages are lost or peers have ended."""

import random

from testtools import TestCase

from balsamspindle.wire.settings_messages import SettingsDeltas, SettingsPull
from tests.settings_network import History, Network
from tests.spreading_fleet import SpreadingFleet

# Time after which the last node must have a change that the store has confirmed.
IN_FORCE_MAX_S = 2.5
ROUNDS_PER_S = 10
NODES, ZONES = 98, 5
LOST_FRACTION = 0.1
SEEDS = (0, 11, 20, 33, 36)


class LostMessageTests(TestCase):
    def start(self, count: int) -> Network:
        """Return nodes of one zone that have revision 0; node 1 has revision 1."""
        network, history = Network(count, zones=1), History()
        for configuration in network.configurations:
            configuration.offer(0, {})
        network.run(2)
        network.configurations[1].apply([history.change({"t/services/s": b"{}"})])
        return network

    def lose_first(self, network: Network, message_type: type) -> None:
        lost = []

        def is_lost(message):
            if isinstance(message, message_type) and not lost:
                lost.append(message)
                return True
            return False

        network.is_lost = is_lost

    def test_a_lost_pull_is_repeated(self):
        network = self.start(2)
        self.lose_first(network, SettingsPull)
        network.run(round(IN_FORCE_MAX_S * ROUNDS_PER_S))
        self.assertEqual({1}, network.revisions())

    def test_a_lost_answer_is_requested_again(self):
        network = self.start(2)
        self.lose_first(network, SettingsDeltas)
        network.run(round(IN_FORCE_MAX_S * ROUNDS_PER_S))
        self.assertEqual({1}, network.revisions())

    def test_another_peer_is_asked_if_the_announcing_peer_was_killed(self):
        # Nodes 1 and 2 have the change and announce it. Node 1 ends before it answers.
        network = self.start(3)
        network.configurations[2].apply(network.configurations[1].changes_above(0))
        network.nodes[2]._notified_revision = 1
        for sender in (2, 1):
            network.announce(0, sender)
        network.unreachable = {"n1"}
        network.run(round(IN_FORCE_MAX_S * ROUNDS_PER_S))
        self.assertEqual(1, network.configurations[0].revision)

    def test_a_peer_that_announced_nothing_is_asked_if_no_other_answers(self):
        network = self.start(4)
        network.configurations[2].apply(network.configurations[1].changes_above(0))
        for number in (1, 2):
            network.nodes[number]._notified_revision = 1
        network.announce(0, 1)
        network.unreachable = {"n1"}
        network.run(round(IN_FORCE_MAX_S * ROUNDS_PER_S))
        self.assertEqual(1, network.configurations[0].revision)


class LossyFleetTests(TestCase):
    def test_a_change_is_in_force_everywhere_in_time_although_messages_are_lost(self):
        behind = {}
        for seed in SEEDS:
            fleet = SpreadingFleet(NODES, ZONES)
            fleet.offer(4, {"t/services/s": b"{}"})
            # Members probe each other once a second, so the time of the change within
            # this interval counts.
            fleet.run_for(1.0 + seed % 10 / 10)
            rng = random.Random(seed)
            fleet.network.delivers = lambda source, target, rng=rng: (
                rng.random() > LOST_FRACTION
            )
            fleet.offer(8, {"t/services/other": b"{}"}, fleet.readers)
            fleet.run_for(IN_FORCE_MAX_S)
            behind[seed] = fleet.nodes_behind(8)
        self.assertEqual({seed: [] for seed in SEEDS}, behind)
