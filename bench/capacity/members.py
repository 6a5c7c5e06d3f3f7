"""What news of members costs a node: processor time and bytes, by fleet size."""

import time

from balsamspindle.membership import Directory
from balsamspindle.membership.member import HELLO_INTERVAL_S, HELLO_PEERS
from balsamspindle.wire import Hello, decode_member, encode
from bench.capacity import synthetic
from bench.capacity.sizes import LONG_RUN
from bench.capacity.slopes import fit_line

__all__ = ["measure"]

NODES = (70, 140, 280, 560)
NEWS = 50


def measure() -> dict[str, float]:
    """Return the cost of one changed record, and of the regular messages."""
    apply_us, hello_bytes, hello_us = [], [], []
    for nodes in NODES:
        size = LONG_RUN.scaled(nodes)
        directory = Directory()
        for record in synthetic.node_records(size):
            directory.update(record, now_s=0.0)
        apply_us.append((nodes, _apply_us(directory, size)))
        hello = Hello(synthetic.node_record(0, size), directory.records(), 1)
        started_s = time.process_time()
        frame = encode(hello)
        assert decode_member(frame).is_ok()
        hello_us.append((nodes, (time.process_time() - started_s) * 1e6))
        hello_bytes.append((nodes, len(frame)))
    per_s = HELLO_PEERS / HELLO_INTERVAL_S
    bytes_line, hello_line = fit_line(hello_bytes), fit_line(hello_us)
    apply_line = fit_line(apply_us)
    return {
        "measured_nodes": NODES[-1],
        "apply_us": apply_us[-1][1],
        "apply_us_at_long_run": apply_line.at(LONG_RUN.nodes),
        "record_wire_bytes": bytes_line.slope,
        "sent_bytes_per_s": per_s * hello_bytes[-1][1],
        "sent_bytes_per_s_at_long_run": per_s * bytes_line.at(LONG_RUN.nodes),
        "regular_cpu_percent_at_long_run": per_s
        * hello_line.at(LONG_RUN.nodes)
        / 1e6
        * 100,
    }


def _apply_us(directory: Directory, size) -> float:
    """Return the cost of taking one record that changed."""
    news = [synthetic.node_record(n, size, version=2) for n in range(NEWS)]
    started_s = time.process_time()
    for record in news:
        assert directory.update(record, now_s=1.0)
    return (time.process_time() - started_s) / NEWS * 1e6
