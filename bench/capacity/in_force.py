"""How soon an accepted change is in force on all nodes, by their number.

Two parts. Real processes, as many as the machine honestly carries, give the
time of polls and hops. The gossip tasks of a whole fleet, joined by queues in
one process, give the number of hops: how many rounds of 0.1 s pass until all
nodes have a change that every zone's readers have.
"""

import random

from balsamspindle.settings.reader import JITTER, POLL_INTERVAL_S, READERS_PER_ZONE
from bench.capacity.sizes import LONG_RUN
from bench.settings import spread
from tests.test_settings_gossip import History, Network

__all__ = ["measure"]

PROCESSES = (4, 12, 24)
NODES = (350, 1400, 5600)
ROUND_S = 0.1
ROUNDS_MAX = 100
# Messages between members that a node gets a second: a probe and an answer at
# least, some fifteen with an ordinary day's news (see `bench.capacity.members`).
QUIET_MESSAGES_PER_S = 2.0
ORDINARY_MESSAGES_PER_S = 15.0


def measure() -> dict[str, float]:
    """Return times from acceptance to in force."""
    figures: dict[str, float] = {"processes": PROCESSES[-1]}
    for count in PROCESSES:
        report = spread(count)
        last = report["polled"]["last_node"]
        figures["changes"] = last["count"]
        figures[f"last_of_{count}_p50_ms"] = last["p50_ms"]
        figures[f"last_of_{count}_p99_ms"] = last["p99_ms"]
        reads = report["idle"]["platform_reads_per_s"]
        figures[f"idle_reads_per_s_of_{count}"] = reads
    for nodes in NODES:
        most, last = _rounds(nodes, QUIET_MESSAGES_PER_S)
        figures[f"spread_to_99_percent_of_{nodes}_s"] = most * ROUND_S
        figures[f"spread_to_all_{nodes}_quiet_s"] = last * ROUND_S
        _, last = _rounds(nodes, ORDINARY_MESSAGES_PER_S)
        figures[f"spread_to_all_{nodes}_s"] = last * ROUND_S
    figures["slowest_poll_s"] = POLL_INTERVAL_S * (1 + JITTER)
    return figures


def _rounds(nodes: int, messages_per_s: float) -> tuple[int, int]:
    """Return the rounds until 99 of 100 nodes, and all, have a change."""
    network = Network(nodes, LONG_RUN.availability_zones)
    for configuration in network.configurations:
        configuration.offer(0, {})
    network.run()
    network.sent.clear()
    change = History().change({"team/services/one": b"{}"})
    # The lowest numbers are spread over all zones.
    for number in range(READERS_PER_ZONE * LONG_RUN.availability_zones):
        network.configurations[number].apply([change])
    rng = random.Random(nodes)
    most = 0
    for rounds in range(1, ROUNDS_MAX):
        network.run()
        _member_messages(network, rng, messages_per_s)
        lacking = sum(one.revision < 1 for one in network.configurations)
        if not most and lacking <= nodes / 100:
            most = rounds
        if not lacking:
            return most, rounds
    raise TimeoutError(f"{lacking} nodes never had the change")


def _member_messages(network: Network, rng: random.Random, per_s: float) -> None:
    """Let nodes hear peers' revisions on messages between members."""
    for node in network.nodes:
        # A node at one message in a round at most: the first one is enough.
        if rng.random() < per_s * ROUND_S:
            peer = rng.randrange(len(network.nodes))
            node.receive_revision(f"n{peer}", network.configurations[peer].revision)
        while not node._inbox.empty():
            node.handle(node._inbox.get(), network.now_s)
