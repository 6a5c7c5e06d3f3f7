"""Counts and latencies of hops, as a node reports them."""

import re

from testtools import TestCase

from balsamspindle.metrics import Hop, Metrics
from balsamspindle.metrics.exposition import prometheus_text
from tests.test_whole_path import SETTINGS
from tests.utils import call, start_fleet


class MetricsTests(TestCase):
    def test_quantiles_of_a_hop_are_within_the_histograms_precision(self):
        metrics = Metrics()
        for number in range(1, 1001):
            metrics.record(Hop.QUEUE, number / 1000)
        latency = metrics.report().hops["queue"]
        self.assertEqual((1000, 500500.0), (latency.count, latency.total_ms))
        self.assertTrue(abs(latency.p99_ms - 990) <= 10, latency)

    def test_label_values_are_escaped_in_the_text_format(self):
        metrics = Metrics()
        metrics.count_outcome('crew/"contracts"\n', "unknown")
        text = prometheus_text(metrics.report()).decode()
        self.assertIn(
            'balsamspindle_requests_total{outcome="unknown",'
            'service="crew/\\"contracts\\"\\n"} 1.0',
            text,
        )

    def test_cut_attempts_are_counted_by_cause(self):
        metrics = Metrics()
        for cause in ("node_leaving", "node_leaving", "caller_left"):
            metrics.count_cut(cause)
        text = prometheus_text(metrics.report()).decode()
        for cause, count in (("node_leaving", 2.0), ("caller_left", 1.0)):
            line = f'balsamspindle_attempts_cut_total{{cause="{cause}"}} {count}\n'
            self.assertIn(line, text)


class NodeMetricsTests(TestCase):
    def test_a_request_through_two_nodes_is_counted_at_each_hop(self):
        fleet = start_fleet(self, SETTINGS)
        ingress, gate = (fleet.start_node(f"node-{n}", f"zone-{n}") for n in range(2))
        fleet.start_backend("contract-1", "crew/contracts", gate)
        fleet.wait_ready([ingress, gate], ["contract-1"])
        call(ingress.caller_address, "/contracts/7")
        hops = {
            name: node.status()["metrics"]["hops"]
            for name, node in (("ingress", ingress), ("gate", gate))
        }
        counts = [
            hops["ingress"]["ingress"]["count"],
            hops["ingress"]["link"]["count"],
            hops["gate"]["queue"]["count"],
            hops["gate"]["backend_server"]["count"],
        ]
        self.assertEqual([1, 1, 1, 1], counts)
        answer = call(ingress.admin_address, "/metrics")
        self.assertTrue(answer.headers["content-type"].startswith("text/plain"))
        pattern = r'requests_total\{outcome="answered",service="crew/contracts"\} 1\.0'
        self.assertTrue(re.search(pattern, answer.body.decode()))
