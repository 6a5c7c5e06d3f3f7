"""Processor time to find a route and to pick a placement.

Routes are looked up in a small and a large table. Placements are picked from services
with `SERVICE_SIZES` backend servers.
"""

import random
import time
from collections.abc import Callable

from balsamspindle.membership import Directory
from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.services.picker import Picker
from balsamspindle.services.view import make_view
from balsamspindle.settings.configuration import Configuration, CurrentConfiguration
from balsamspindle.settings.routes import RouteTable
from bench.capacity import synthetic
from bench.capacity.sizes import LONG_RUN

__all__ = ["cpu_us_per_call", "measure"]

CALLS_PER_ROUND = 3000
ROUNDS = 5
SMALL_NODES = 56
# Numbers of backend servers of an average and of a large service in the long-run fleet.
SERVICE_SIZES = (22, 500)


def cpu_us_per_call(
    function: Callable[[int], object], calls: int = CALLS_PER_ROUND
) -> float:
    """Return the processor time of a call in microseconds.

    Calls the function in `ROUNDS` rounds of `calls` calls. The result is the mean of
    the fastest round.
    """
    rounds = []
    for _ in range(ROUNDS):
        started_s = time.process_time()
        for number in range(calls):
            function(number)
        rounds.append(time.process_time() - started_s)
    return min(rounds) / calls * 1e6


def measure() -> dict[str, float]:
    """Return the processor time of each kind of look-up in microseconds."""
    figures = {}
    for name, size in (
        ("few_routes", LONG_RUN.scaled(SMALL_NODES)),
        ("all_routes", LONG_RUN),
    ):
        table = Configuration(1, synthetic.documents(size)).routes
        figures[f"route_{name}_us"] = cpu_us_per_call(
            _make_route_call(table, size.routes)
        )
    for servers in SERVICE_SIZES:
        figures |= _pick_costs(servers)
    return figures


def _make_route_call(table: RouteTable, routes: int) -> Callable[[int], object]:
    def call(number: int) -> object:
        route_number = number * 7919 % routes
        host = f"host-{route_number // 50:04d}.example"
        return table.find(host, f"/part-{route_number % 50}/items/4711", "GET")

    return call


def _pick_costs(servers: int) -> dict[str, float]:
    """Return the processor times of a pick and of a new view, in microseconds.

    Each change of a backend server of the service requires a new view.
    """
    size = LONG_RUN._replace(nodes=servers, backend_servers=servers, services=1)
    directory = Directory()
    for record in synthetic.node_records(size):
        directory.update(record, now_s=0.0)
    service = synthetic.service_name(0)
    placements = directory.placements(service)
    assert len(placements) == servers
    own = synthetic.node_record(0, size)
    picker = Picker(own, directory, CurrentConfiguration())
    rng = random.Random(1)

    def pick(_: int) -> object:
        return picker.pick(
            service, Execution.IDEMPOTENT, frozenset(), _all_slots_free, rng
        )

    return {
        f"pick_of_{servers}_us": cpu_us_per_call(pick),
        f"view_of_{servers}_us": cpu_us_per_call(
            lambda _: make_view(placements, own, 0.6), 100
        ),
    }


def _all_slots_free(placement: Placement) -> float:
    return placement.backend_server.slots
