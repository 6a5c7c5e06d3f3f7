"""Time until an accepted settings change is in force on all nodes, by fleet size.

The bench has two parts:

- The first part starts node processes, as many as the machine can run without overload.
  It measures the time from the acceptance of a change until the change is in force on
  the last node.
- The second part connects the settings gossip of all nodes of a fleet by queues in one
  process. At the start, only the settings readers of every zone have a change. The
  bench counts the rounds of 0.1 s until all nodes have the change.
"""

import random

from balsamspindle.settings.reader import JITTER, POLL_INTERVAL_S
from balsamspindle.settings.reader_selection import READERS_PER_ZONE
from bench.capacity.sizes import LONG_RUN
from bench.settings import spread
from tests.test_settings_gossip import History, Network

__all__ = ["measure"]

PROCESS_COUNTS = (4, 12, 24)
NODE_COUNTS = (350, 1400, 5600)
ROUND_S = 0.1
ROUNDS_MAX = 100
# Membership messages that a node receives per second. While no node changes, these are
# at least a probe and an ack. With the changes of an ordinary day, there are about
# fifteen (see `bench.capacity.members`).
NO_CHANGE_MESSAGES_PER_S = 2.0
ORDINARY_MESSAGES_PER_S = 15.0


def measure() -> dict[str, float]:
    """Return the times until a change is in force, and platform reads per second.

    The reads are those of all nodes together while no setting changes.
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
        most_rounds, all_rounds = _count_rounds(nodes, NO_CHANGE_MESSAGES_PER_S)
        figures[f"spread_to_99_percent_of_{nodes}_s"] = most_rounds * ROUND_S
        figures[f"spread_to_all_{nodes}_quiet_s"] = all_rounds * ROUND_S
        _, all_rounds = _count_rounds(nodes, ORDINARY_MESSAGES_PER_S)
        figures[f"spread_to_all_{nodes}_s"] = all_rounds * ROUND_S
    figures["slowest_poll_s"] = POLL_INTERVAL_S * (1 + JITTER)
    return figures


def _count_rounds(nodes: int, messages_per_s: float) -> tuple[int, int]:
    """Return the rounds until 99 % of the nodes have a change, and until all have it.

    Raises
    ------
    TimeoutError
        When some nodes don't have the change after `ROUNDS_MAX` rounds.
    """
    network = Network(nodes, LONG_RUN.availability_zones)
    for configuration in network.configurations:
        configuration.offer(0, {})
    network.run()
    network.sent.clear()
    change = History().change({"team/services/one": b"{}"})
    # Nodes are assigned to zones in turn. Therefore, these first nodes include
    # `READERS_PER_ZONE` nodes of each zone.
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
    raise TimeoutError(
        f"{outdated} nodes did not receive the change in the maximum of rounds"
    )


def _deliver_member_messages(
    network: Network, rng: random.Random, per_s: float
) -> None:
    """Deliver the settings revisions of random peers to nodes.

    Each membership message reports the settings revision of its sender. `per_s` is the
    number of messages that a node receives per second.
    """
    for number in range(len(network.nodes)):
        # A node receives at most one message per round, even if `per_s` exceeds the
        # number of rounds per second. One message is enough to report a new revision.
        if rng.random() < per_s * ROUND_S:
            network.announce(number, rng.randrange(len(network.nodes)))
