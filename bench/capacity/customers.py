"""Memory and processor time that customers cost a node, by number of customers.

Each customer has two keys. Each number of customers is measured in a new interpreter
process. A second measurement in the same process would reuse memory that the first has
freed, so its figure would be too small.
"""

import gc
import json
import subprocess
import sys
import time

import msgspec

from balsamspindle.node.process import NodeProcess
from balsamspindle.protocol.api_keys import key_digest
from balsamspindle.settings.configuration import ApplyResult, CurrentConfiguration
from balsamspindle.wire.settings_messages import SettingsDelta
from bench.capacity.memory import resident_bytes
from bench.capacity.sizes import LONG_RUN
from bench.capacity.slopes import fit_line
from bench.capacity.synthetic import TEAMS

__all__ = ["measure"]

CHAIN = "0" * 32
SIZE_FRACTIONS = (0.1, 0.25, 0.5)
CHANGES = 20
KEY_LOOK_UPS = 10_000


def measure() -> dict[str, float]:
    """Return the costs of `LONG_RUN.customers`, extrapolated from fewer customers.

    The costs are the memory of all customers, and the processor times to load all
    customers, to apply a change of one customer and to find a key. The time to find a
    key is not extrapolated: it is that of the largest measured number of customers.
    """
    samples = [
        _measure_in_new_process(round(LONG_RUN.customers * fraction))
        for fraction in SIZE_FRACTIONS
    ]
    memory, load, change = (
        fit_line([(s["customers"], s[name]) for s in samples])
        for name in ("state_bytes", "load_cpu_s", "change_cpu_ms")
    )
    return {
        "measured_customers": samples[-1]["customers"],
        "bytes_per_customer": memory.slope,
        "memory_mb": memory.at(LONG_RUN.customers) / 1e6,
        "load_cpu_s": load.at(LONG_RUN.customers),
        "change_cpu_ms": change.at(LONG_RUN.customers),
        "find_us": samples[-1]["find_us"],
    }


def _measure_in_new_process(customers: int) -> dict[str, float]:
    command = [sys.executable, "-m", "bench.capacity.customers", str(customers)]
    completed = subprocess.run(command, check=True, capture_output=True, text=True)
    return json.loads(completed.stdout)


def _document(number: int, generation: int = 0) -> tuple[str, bytes]:
    keys = [key_digest(f"key-{number}-{index}-{generation}") for index in range(2)]
    document = {
        "name": f"customer-{number:07d}",
        "key_digests": keys,
        "rate_per_s": 20.0,
        "burst": 40.0,
    }
    path = f"team-{number % TEAMS:03d}/customers/customer-{number:07d}"
    return path, msgspec.json.encode(document)


def _measure_sample(customers: int) -> dict[str, float]:
    gc.collect()
    imported_bytes = resident_bytes()
    documents = dict(_document(number) for number in range(customers))
    configuration = CurrentConfiguration()
    started_s = time.process_time()
    assert configuration.offer(1, documents, CHAIN) is ApplyResult.IN_FORCE
    load_cpu_s = time.process_time() - started_s
    del documents
    gc.collect()
    return {
        "customers": customers,
        "state_bytes": resident_bytes() - imported_bytes,
        "load_cpu_s": load_cpu_s,
        "change_cpu_ms": _change_cpu_ms(configuration),
        "find_us": _find_us(configuration, customers),
    }


def _change_cpu_ms(configuration: CurrentConfiguration) -> float:
    deltas = [
        SettingsDelta(2 + number, CHAIN, CHAIN, dict([_document(number, 1)]), 1)
        for number in range(CHANGES)
    ]
    started_s = time.process_time()
    for delta in deltas:
        assert configuration.apply([delta]) is ApplyResult.IN_FORCE
    return (time.process_time() - started_s) / CHANGES * 1000


def _find_us(configuration: CurrentConfiguration, customers: int) -> float:
    table = configuration.get().customers
    step = max(1, customers // KEY_LOOK_UPS)
    digests = [
        key_digest(f"key-{number}-1-0") for number in range(CHANGES, customers, step)
    ]
    started_s = time.process_time()
    for digest in digests:
        assert table.find(digest) is not None
    return (time.process_time() - started_s) / len(digests) * 1e6


if __name__ == "__main__":
    assert NodeProcess, "all modules of a node must be imported, as in a node process"
    print(json.dumps(_measure_sample(int(sys.argv[1]))))
