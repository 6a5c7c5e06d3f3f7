"""Time until an accepted settings change is in force on all nodes, by fleet size.

The bench has two parts. The first starts real nodes, as many as the machine runs
without overload, and measures the delay from a change to its use on the last node.
The second connects the gossip tasks of a whole fleet by queues in one process. It
counts the rounds of 0.1 s from when the settings readers of every zone have a
change until all nodes have it.
"""

import random

from balsamspindle.settings.reader import JITTER, POLL_INTERVAL_S, READERS_PER_ZONE
from bench.capacity.sizes import LONG_RUN
from bench.settings import spread
from tests.test_settings_gossip import History, Network

__all__ = ["measure"]

PROCESS_COUNTS = (4, 12, 24)
NODE_COUNTS = (350, 1400, 5600)
ROUND_S = 0.1
ROUNDS_MAX = 100
# Membership messages that a node receives per second: at least a probe and an ack
# while no node changes, about fifteen messages with the changes of an ordinary day (see
# `bench.capacity.members`).
QUIET_MESSAGES_PER_S = 2.0
ORDINARY_MESSAGES_PER_S = 15.0


def measure() -> dict[str, float]:
    """Return the times until a change is in force, and the reads of an idle fleet.

    The reads are those that the nodes send to the platform while no setting changes.
    """
    figures: dict[str, float] = {"processes": PROCESS_COUNTS[-1]}
    for count in PROCESS_COUNTS:
        report = spread(count)
        last_node = report["polled"]["last_node"]
        figures["changes"] = last_node["count"]
        figures[f"last_of_{count}_p50_ms"] = last_node["p50_ms"]
        figures[f"last_of_{count}_p99_ms"] = last_node["p99_ms"]
        reads = report["idle"]["platform_reads_per_s"]
        figures[f"idle_reads_per_s_of_{count}"] = reads
    for nodes in NODE_COUNTS:
        most_rounds, all_rounds = _count_rounds(nodes, QUIET_MESSAGES_PER_S)
        figures[f"spread_to_99_percent_of_{nodes}_s"] = most_rounds * ROUND_S
        figures[f"spread_to_all_{nodes}_quiet_s"] = all_rounds * ROUND_S
        _, all_rounds = _count_rounds(nodes, ORDINARY_MESSAGES_PER_S)
        figures[f"spread_to_all_{nodes}_s"] = all_rounds * ROUND_S
    figures["slowest_poll_s"] = POLL_INTERVAL_S * (1 + JITTER)
    return figures


def _count_rounds(nodes: int, messages_per_s: float) -> tuple[int, int]:
    """Return the rounds until 99 % of the nodes have a change, and until all have."""
    network = Network(nodes, LONG_RUN.availability_zones)
    for configuration in network.configurations:
        configuration.offer(0, {})
    network.run()
    network.sent.clear()
    change = History().change({"team/services/one": b"{}"})
    # Node numbers are assigned to zones in turn, so these nodes cover all zones.
    for number in range(READERS_PER_ZONE * LONG_RUN.availability_zones):
        network.configurations[number].apply([change])
    rng = random.Random(nodes)
    most_rounds = 0
    for rounds in range(1, ROUNDS_MAX):
        network.run()
        _deliver_member_messages(network, rng, messages_per_s)
        outdated = sum(c.revision < 1 for c in network.configurations)
        if not most_rounds and outdated <= nodes / 100:
            most_rounds = rounds
        if not outdated:
            return most_rounds, rounds
    raise TimeoutError(f"{outdated} nodes did not receive the change within the rounds")


def _deliver_member_messages(
    network: Network, rng: random.Random, per_s: float
) -> None:
    """Let nodes receive a random peer's settings revision, as in member messages."""
    for node in network.nodes:
        # At most one message per node and round, also above 10 messages/s: one is
        # enough to report a revision.
        if rng.random() < per_s * ROUND_S:
            peer = rng.randrange(len(network.nodes))
            node.receive_revision(f"n{peer}", network.configurations[peer].revision)
        while not node._inbox.empty():
            node.handle(node._inbox.get(), network.now_s)
