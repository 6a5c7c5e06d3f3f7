"""Processor time to choose a backend server and a subset, and balance of the subsets.

::

    python -m bench.picker

A subset is the list of a service's backend servers that one node uses. The bench shows
how evenly the subsets of 5,600 nodes cover the backend servers. For each backend server
it counts the subsets that contain the backend server. It prints the smallest and the
largest count, each divided by the mean.
"""

import random
import time
from collections import Counter
from types import SimpleNamespace

import typer

from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.services.free_slots import FreeSlotEstimates
from balsamspindle.services.picker import Picker
from balsamspindle.services.subset import choose_subset
from balsamspindle.settings.documents import ServiceDocument
from balsamspindle.wire import BackendServerRecord, NodeRecord

__all__ = ["main"]

SERVICE = "team/service"
NODES = 5_600
SIZES = (8, 20, 50, 200, 600)
PICKS = 20_000
ZONES = 3


def main() -> None:
    """Print time and balance for services with different numbers of backend servers."""
    print(f"{'servers':>7} {'us/choice':>11} {'ms/subset':>9} {'min':>6} {'max':>6}")
    for size in SIZES:
        view = tuple(_placement(number) for number in range(size))
        nodes = [_placement(number).node for number in range(size, size + NODES)]
        start_s = time.process_time()
        subset_counts = Counter(
            placement.backend_server.backend_server_id
            for own in nodes
            for placement in choose_subset(view, own)
        )
        subset_ms = (time.process_time() - start_s) * 1000 / NODES
        mean = sum(subset_counts.values()) / size
        counts = [
            subset_counts[placement.backend_server.backend_server_id]
            for placement in view
        ]
        print(
            f"{size:>7} {_choice_us(view, nodes[0]):>11.1f} {subset_ms:>9.3f}"
            f" {min(counts) / mean:>6.2f} {max(counts) / mean:>6.2f}"
        )


def _choice_us(view: tuple[Placement, ...], own: NodeRecord) -> float:
    directory = SimpleNamespace(placements=lambda service: view)
    services = {SERVICE: ServiceDocument()}
    configuration = SimpleNamespace(get=lambda: SimpleNamespace(services=services))
    picker = Picker(own, directory, configuration)
    slots = FreeSlotEstimates()
    rng = random.Random(1)

    def pick() -> None:
        picker.pick(
            SERVICE,
            Execution.IDEMPOTENT,
            frozenset(),
            lambda placement: slots.free_slots(placement, 1.0),
            rng,
        )

    pick()
    start_s = time.process_time()
    for _ in range(PICKS):
        pick()
    return (time.process_time() - start_s) * 1e6 / PICKS


def _placement(number: int) -> Placement:
    server = BackendServerRecord(f"server-{number}", SERVICE, "1", 7, "ready")
    zone = f"zone-{number % ZONES}"
    node = NodeRecord(
        f"node-{number}", 1, 1, "region", zone, "", "", "alive", (server,)
    )
    return Placement(node, server)


if __name__ == "__main__":
    typer.run(main)
