"""Processor time of a route look-up and memory of a full-size route table.

::

    python -m bench.routes
    python -m bench.routes --json
"""

import json
import random
import time
import tracemalloc

import typer

from balsamspindle.protocol import Execution
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.settings.routes import RouteTable

__all__ = ["main"]

SERVICES = 6_500
HOSTS = 400
LOOK_UPS = 100_000
SEED = 1


def make_routes(count: int) -> list[RouteDocument]:
    """Return routes with two to four path segments, spread over `HOSTS` hosts."""
    rng = random.Random(SEED)
    return [
        RouteDocument(
            service=f"team-{number % SERVICES % 300}/service-{number % SERVICES}",
            execution=Execution.IDEMPOTENT,
            host=f"host-{number % HOSTS}.example",
            path_prefix="/"
            + "/".join(f"p{rng.randrange(50)}" for _ in range(depth))
            + f"/r{number}",
            methods=("GET", "HEAD"),
        )
        for number, depth in enumerate(rng.choices((1, 2, 3), k=count))
    ]


def measure(count: int) -> dict[str, float]:
    """Return look-up times and memory of a table with this number of routes."""
    routes = make_routes(count)
    tracemalloc.start()
    table = RouteTable(routes)
    table_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    rng = random.Random(SEED)
    hits = [
        (f"{route.host}:8080", f"{route.path_prefix}/7/lines/3", "GET")
        for route in rng.choices(routes, k=LOOK_UPS)
    ]
    misses = [("elsewhere.example", path, method) for _, path, method in hits]
    return {
        "routes": count,
        "hit_us": round(_look_up_us(table, hits), 2),
        "miss_us": round(_look_up_us(table, misses), 2),
        "table_bytes_per_route": round(table_bytes / count),
    }


def _look_up_us(table: RouteTable, calls) -> float:
    before_s = time.process_time()
    for call in calls:
        table.find(*call)
    return (time.process_time() - before_s) / len(calls) * 1_000_000


def main(as_json: bool = typer.Option(False, "--json", help="Print JSON.")) -> None:
    """Measure route look-ups at 490, 4,900 and 49,000 routes."""
    figures = [measure(count) for count in (490, 4_900, 49_000)]
    if as_json:
        print(json.dumps(figures))
        return
    for figure in figures:
        print("  ".join(f"{name} {value}" for name, value in figure.items()))


if __name__ == "__main__":
    typer.run(main)
