"""Cost of membership for different numbers of nodes, and of a full-size directory.

    python -m bench.membership             # a table
    python -m bench.membership --json      # growth of costs, for docs/CAPACITY.md
    python -m bench.membership --quick     # small sizes, for CI

The bench runs the production code of members with an in-memory transport and a virtual
clock. Bytes, messages and seconds of protocol time therefore do not depend on the
machine. CPU figures do: they are the processor time of this process.
"""

import json
import math
import sys
import time
from collections.abc import Callable

import typer

from bench.membership_directory import (
    TARGET_SERVERS_PER_NODE,
    TARGET_SERVICES,
    measure_directories,
    node_news,
)
from bench.membership_sockets import measure_zmq, new_keys
from tests.member_network import FakeNode, MemberNetwork

SIZES = (30, 60, 120, 240)
QUICK_SIZES = (10, 20)
SERVERS_PER_NODE = 5
IDLE_S = 60.0
# Changes of backend servers per second, the same for all fleet sizes: each day, 45,000
# backend servers leave and return, which makes two changes for each of them.
CHANGES_PER_S = 2 * 45_000 / 86_400
TARGET_NODES = 5_600
DIRECTORY_NODES = (1_400, 2_800, TARGET_NODES)
BURST_NODES_FRACTION = 0.1
ANSWERING_NODES = 8


def start_fleet(size: int) -> tuple[MemberNetwork, list[FakeNode]]:
    """Return a network and its nodes; each node knows all nodes and backend servers."""
    network = MemberNetwork()
    nodes = [network.add(number, f"zone-{number % 3}") for number in range(size)]
    for node in nodes:
        node.set_servers(SERVERS_PER_NODE, services=max(1, size // 4))
        node.member.state.update_servers(node.servers, network.now_s)
    network.introduce(nodes)
    network.run(30)
    return network, nodes


def measure_rate(network: MemberNetwork, nodes, seconds: float, on_second=None) -> dict:
    """Return the mean bytes, messages and CPU time of one node per second.

    Parameters
    ----------
    on_second : callable or None
        Called before each simulated second, with the number of the second.
    """
    sent = sum(node.member.budget.spent_bytes for node in nodes)
    received = sum(node.transport.received_bytes for node in nodes)
    frames = network.frames
    started_s = time.process_time()
    for second in range(int(seconds)):
        if on_second is not None:
            on_second(second)
        network.run(1.0)
    node_seconds = len(nodes) * seconds
    cpu_s = time.process_time() - started_s
    sent = sum(node.member.budget.spent_bytes for node in nodes) - sent
    received = sum(node.transport.received_bytes for node in nodes) - received
    return {
        "sent_bytes_per_s": sent / node_seconds,
        "received_bytes_per_s": received / node_seconds,
        "messages_per_s": (network.frames - frames) / node_seconds,
        "cpu_fraction": cpu_s / node_seconds,
    }


def churn(nodes) -> Callable[[int], None]:
    """Return a function that restarts backend servers at `CHANGES_PER_S`.

    The function is to be called once a second, with the number of the second.
    """
    due_restarts = [0.0]

    def restart(second: int) -> None:
        due_restarts[0] += CHANGES_PER_S
        while due_restarts[0] >= 1:
            due_restarts[0] -= 1
            node = nodes[(second * 7919) % len(nodes)]
            first, *others = node.servers
            node.servers = (first._replace(boot_id=str(second)), *others)

    return restart


def measure_news_delay(network, nodes) -> float:
    """Drain a backend server; return the seconds until all nodes know of the drain.

    Infinite if a node does not know of the drain after 120 s.
    """
    source = nodes[len(nodes) // 2]
    first, *others = source.servers
    source.servers = (first._replace(state="draining"), *others)
    started_s = network.now_s

    def is_known_by_all() -> bool:
        return all(
            node.directory.view(source.node_id)
            .entries[first.backend_server_id]
            .record.state
            == "draining"
            for node in nodes
        )

    return network.now_s - started_s if network.run(120, is_known_by_all) else math.inf


def measure_death_delay(network, nodes) -> float:
    """Crash a node; return the seconds until all other nodes have removed it.

    Infinite if a node has not removed it after 120 s.
    """
    victim, *others = nodes
    network.kill(victim)
    started_s = network.now_s
    removed = network.run(
        120, lambda: all(victim.node_id not in node.alive() for node in others)
    )
    return network.now_s - started_s if removed else math.inf


def measure_join(network, nodes) -> dict:
    """Return the seconds until a joining node knows all backend servers.

    Infinite if the node does not know all of them after 240 s. Also returns the bytes
    that the joining node receives for each backend server.
    """
    joiner = network.add(len(nodes) + 1, "zone-0", seeds=nodes[1:3])
    started_s = network.now_s
    expected = len(nodes) * SERVERS_PER_NODE

    def known() -> int:
        records = joiner.directory.records()
        return sum(len(record.backend_servers) for record in records)

    done = network.run(240, lambda: known() >= expected)
    return {
        "s": network.now_s - started_s if done else math.inf,
        "received_bytes_per_server": joiner.transport.received_bytes / expected,
    }


def measure_burst(size: int) -> dict:
    """Return the cost for the remaining nodes when many crashed nodes return at once.

    `BURST_NODES_FRACTION` of all nodes crash and return. The result includes how
    often a remaining node falsely declared another remaining node dead.
    """
    network, nodes = start_fleet(size)
    count = int(size * BURST_NODES_FRACTION)
    for node in nodes[-count:]:
        network.kill(node)
    network.run(30)
    returned = []
    for node in nodes[-count:]:
        new = network.add(node.number, "zone-0", seeds=nodes[:3], incarnation=5_000)
        new.set_servers(TARGET_SERVERS_PER_NODE, boot_id="2")
        returned.append(new)
    remaining = nodes[:-count]
    before = [node.member.budget.spent_bytes for node in remaining]
    started_s = network.now_s
    done = network.run(
        300,
        lambda: all(
            node.knows_servers("2", peer) for node in remaining for peer in returned
        ),
    )
    took_s = network.now_s - started_s
    spent = [
        node.member.budget.spent_bytes - spent_before
        for node, spent_before in zip(remaining, before, strict=True)
    ]
    return {
        "nodes": size,
        "servers_changed": count * TARGET_SERVERS_PER_NODE,
        "s": took_s if done else math.inf,
        "sent_bytes_per_s_max": max(spent) / took_s,
        "false_deaths": sum(
            fields["peer"] in {node.node_id for node in remaining}
            for node in remaining
            for event, fields in node.events.emitted
            if event == "node_dead"
        ),
    }


def measure_size(size: int) -> dict:
    """Return all figures of one fleet size."""
    network, nodes = start_fleet(size)
    idle = measure_rate(network, nodes, IDLE_S)
    with_churn = measure_rate(network, nodes, IDLE_S, churn(nodes))
    network.run(20)
    news_s = measure_news_delay(network, nodes)
    join_figures = measure_join(network, nodes)
    death_s = measure_death_delay(network, nodes)
    return {
        "nodes": size,
        "idle": idle,
        "churn": with_churn,
        "news_s": news_s,
        "death_s": death_s,
        "join": join_figures,
    }


def measure_member_at_size(nodes: int) -> dict:
    """Return the CPU of one member with this number of nodes in its directory.

    No other node answers. So each probe fails, and the member also requests indirect
    probes from other nodes. The figures therefore are upper bounds of the work that
    grows with the directory.
    """
    network = MemberNetwork()
    member = network.add(nodes + 1, "zone-0", "region-0")
    for number in range(nodes):
        news = node_news(number, TARGET_SERVERS_PER_NODE, TARGET_SERVICES)
        member.directory.apply(news, network.now_s)
    network.run(5)
    started_s = time.process_time()
    network.run(IDLE_S)
    idle_fraction = (time.process_time() - started_s) / IDLE_S
    started_s = time.process_time()
    for second in range(int(IDLE_S)):
        # A node joins in each second, so that the CPU includes the time in which the
        # member rebuilds its lists of nodes.
        news = node_news(nodes + 10 + second, 1, TARGET_SERVICES)
        member.directory.apply(news, network.now_s)
        network.run(1)
    fraction_with_joins = (time.process_time() - started_s) / IDLE_S
    return {
        "nodes": nodes,
        "cpu_fraction": idle_fraction,
        "cpu_fraction_join_each_s": fraction_with_joins,
    }


def measure_join_at_size(nodes: int) -> dict:
    """Return the bytes and durations of a node's join to a fleet of this size.

    The durations are the seconds until the joining node knows 50 %, 90 %, 99 % and all
    of the nodes. A duration is infinite if the node takes over 600 s for its last step,
    as from 50 % to 90 %. The bytes are those that the node receives and sends.

    `ANSWERING_NODES` members have all nodes of a synthetic fleet in their directories.
    Messages to any address of the fleet reach one of these members. Each answers within
    its byte budget. No member sends probes.
    """
    network = MemberNetwork()
    known = [node_news(number, 25, TARGET_SERVICES) for number in range(nodes)]
    answering = []
    for number in range(ANSWERING_NODES):
        member = network.add(nodes + number, "zone-0", "region-0")
        for news in known:
            member.directory.apply(news, network.now_s)
        answering.append(member)
    for number, news in enumerate(known):
        network.nodes[news.header.member_address] = answering[number % ANSWERING_NODES]
    joiner = network.add(nodes + ANSWERING_NODES, "zone-0", "region-0", answering[:1])
    for node in (*answering, joiner):
        node.member._prober.tick = lambda now_s: None
    joiner.directory.apply(answering[0].member.state.own.full_news(), network.now_s)
    started_s = network.now_s
    fraction_times_s = {}
    for fraction in (0.5, 0.9, 0.99, 1.0):
        done = network.run(
            600, lambda fraction=fraction: len(joiner.alive()) >= fraction * nodes
        )
        fraction_times_s[str(fraction)] = (
            network.now_s - started_s if done else math.inf
        )
    return {
        "nodes": nodes,
        "answering_nodes": ANSWERING_NODES,
        "s_until_share": fraction_times_s,
        "received_bytes": joiner.transport.received_bytes,
        "sent_bytes": joiner.member.budget.spent_bytes,
    }


def slope_per_decade(sizes: list[int], values: list[float]) -> float:
    """Return how much a value grows per tenfold number of nodes, by least squares."""
    xs = [math.log10(size) for size in sizes]
    mean_x, mean_y = sum(xs) / len(xs), sum(values) / len(values)
    covariance = sum(
        (x - mean_x) * (y - mean_y) for x, y in zip(xs, values, strict=True)
    )
    return covariance / sum((x - mean_x) ** 2 for x in xs)


def extrapolate(sizes: list[int], values: list[float]) -> dict:
    """Return a value's growth per tenfold number of nodes, and at `TARGET_NODES`."""
    slope = slope_per_decade(sizes, values)
    last = values[-1] + slope * math.log10(TARGET_NODES / sizes[-1])
    return {
        "measured": dict(zip(sizes, values, strict=True)),
        "per_decade": slope,
        "at_target": last,
    }


def summarize(rows: list[dict]) -> dict:
    """Return the `extrapolate` result of each figure."""
    sizes = [row["nodes"] for row in rows]
    measures = {
        "idle_sent_bytes_per_s": [row["idle"]["sent_bytes_per_s"] for row in rows],
        "churn_sent_bytes_per_s": [row["churn"]["sent_bytes_per_s"] for row in rows],
        "churn_messages_per_s": [row["churn"]["messages_per_s"] for row in rows],
        "churn_cpu_fraction": [row["churn"]["cpu_fraction"] for row in rows],
        "news_s": [row["news_s"] for row in rows],
        "death_s": [row["death_s"] for row in rows],
    }
    return {name: extrapolate(sizes, values) for name, values in measures.items()}


def main(
    as_json: bool = typer.Option(False, "--json", help="Print JSON."),
    quick: bool = typer.Option(False, help="Measure small sizes only."),
) -> None:
    """Measure membership and print the figures."""
    sizes = QUICK_SIZES if quick else SIZES
    # The directories are measured before the fleets. Otherwise a directory would reuse
    # memory that a fleet has freed, and seem smaller than it is.
    directories = measure_directories(QUICK_SIZES if quick else DIRECTORY_NODES)
    rows = []
    for size in sizes:
        rows.append(measure_size(size))
        print(f"measured {size} nodes", file=sys.stderr)
    result = {
        "sizes": rows,
        "slopes": summarize(rows),
        "burst": [measure_burst(size) for size in sizes[-2:]],
        "directory": directories,
        "member": [
            measure_member_at_size(nodes)
            for nodes in (QUICK_SIZES if quick else DIRECTORY_NODES)
        ],
        "join_at_size": measure_join_at_size(200 if quick else TARGET_NODES),
        "zmq": measure_zmq(),
        "zmq_curve": measure_zmq(new_keys()),
    }
    if as_json:
        print(json.dumps(result, indent=1))
        return
    _print_table(result)


def _print_table(result: dict) -> None:
    print("nodes  idle B/s  churn B/s  msgs/s  CPU %  news s  death s  join s")
    for row in result["sizes"]:
        print(
            f"{row['nodes']:5d} {row['idle']['sent_bytes_per_s']:9.0f} "
            f"{row['churn']['sent_bytes_per_s']:10.0f} "
            f"{row['churn']['messages_per_s']:7.2f} "
            f"{100 * row['churn']['cpu_fraction']:6.3f} {row['news_s']:7.1f} "
            f"{row['death_s']:8.1f} {row['join']['s']:7.1f}"
        )
    for name, slope in result["slopes"].items():
        print(
            f"{name}: {slope['per_decade']:.4g} per tenfold number of nodes, "
            f"{slope['at_target']:.4g} at {TARGET_NODES} nodes"
        )
    for part in ("burst", "directory", "member"):
        for row in result[part]:
            print(part, {key: round(value, 5) for key, value in row.items()})
    print("join_at_size", result["join_at_size"])
    for part in ("zmq", "zmq_curve"):
        print(part, {key: round(value, 1) for key, value in result[part].items()})


if __name__ == "__main__":
    typer.run(main)
