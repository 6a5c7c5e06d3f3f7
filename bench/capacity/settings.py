"""What one accepted change of the settings costs at a node, by fleet size."""

import time

from balsamspindle.settings.tree import CurrentConfiguration
from balsamspindle.wire import SettingsSnapshot, encode
from bench.capacity import synthetic
from bench.capacity.sizes import LONG_RUN
from bench.capacity.slopes import fit_line

__all__ = ["measure"]

SHARES = (0.25, 0.5, 1.0)


def measure() -> dict[str, float]:
    """Return processor time and bytes of a change, one document changed."""
    cpu, sizes = [], []
    for share in SHARES:
        size = LONG_RUN.scaled(round(LONG_RUN.nodes * share))
        documents = synthetic.documents(size)
        cpu.append((size.routes, _change_cpu_ms(documents)))
        sizes.append((size.routes, len(encode(SettingsSnapshot(1, documents)))))
    return {
        "change_cpu_ms": cpu[-1][1],
        "change_cpu_ms_per_1000_routes": fit_line(cpu).slope * 1000,
        "snapshot_bytes": sizes[-1][1],
        "snapshot_bytes_per_route": fit_line(sizes).slope,
    }


def _change_cpu_ms(documents: dict[str, bytes]) -> float:
    """Return the cost of the second revision, which differs in one document."""
    configuration = CurrentConfiguration()
    assert configuration.offer(1, documents).is_ok()
    path = next(path for path in documents if "/services/" in path)
    changed = {**documents, path: b'{"queue_max":33}'}
    started_s = time.process_time()
    assert configuration.offer(2, changed).is_ok()
    return (time.process_time() - started_s) * 1000
