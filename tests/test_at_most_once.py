"""Requests run at most once, and 'not run' is correct, with one fault at a time.

Each fault is injected at three moments: after one burst of requests was answered
(after), while a second burst runs at the backend server (during), and before a third
burst is sent (before). Requests with an Idempotency-Key are then sent again through
another node, while the fault lasts and after it has ended. The backend servers count
the runs.
"""

import signal

from tests.at_most_once_utils import Fault, FaultScheduleCase
from tests.relay import Flow

BACKEND_FAULTS = {
    "hang": {"mode": "hang", "delay_s": 1.0},
    "flap": {"mode": "hang", "share": 0.5, "delay_s": 1.0},
    "shed": {"mode": "shed"},
    "close": {"mode": "close"},
    "truncate": {"mode": "truncate"},
    "error": {"mode": "error"},
}


class SingleFaultTests(FaultScheduleCase):
    def test_requests_run_at_most_once_with_a_faulty_backend_server(self):
        for name, options in BACKEND_FAULTS.items():
            self.check_fault(f"backend-{name}", self.fleet.backend_fault(**options))
        self.check_fault("backend-drain", self.fleet.drain_fault("a"))
        self.check_fault(
            "backend-kill", self.fleet.backend_signal_fault(signal.SIGKILL)
        )
        self.check_fault(
            "backend-sigterm", self.fleet.backend_signal_fault(signal.SIGTERM)
        )

    def test_requests_run_at_most_once_when_a_node_ends(self):
        for node in ("a", "i"):
            for number in (signal.SIGKILL, signal.SIGTERM):
                self.check_fault(
                    f"node-{node}-{number.name}",
                    self.fleet.node_signal_fault(node, number),
                )

    def test_requests_run_at_most_once_with_a_network_fault(self):
        for direction in ("forward", "backward"):
            for flow in (Flow.DROP, Flow.HOLD):
                self.check_fault(
                    f"{direction}-{flow}", self.fleet.flow_fault(**{direction: flow})
                )
        self.check_fault(
            "reset", Fault(self.fleet.relay.reset_connections, lambda: None)
        )

    def test_requests_run_at_most_once_with_a_platform_fault(self):
        for mode in ("down", "slow", "lost_reply"):
            self.check_fault(f"platform-{mode}", self.fleet.platform_fault(mode))

    def test_requests_are_refused_when_all_backend_servers_are_drained(self):
        # Both backend servers are drained, so each new request must be refused as not
        # run. The backend servers' counts of runs show whether these outcomes are
        # correct.
        outcomes = self.check_fault(
            "both-drained", self.fleet.drain_fault("a") + self.fleet.drain_fault("b")
        )
        self.assertTrue(outcomes["not_run"], outcomes)

    def test_requests_are_refused_when_a_gate_is_full(self):
        # Sixteen requests are sent in addition to the bursts. Each run takes most of
        # its timeout, so the gate queues some of the requests and refuses the others.
        pending = []
        full = Fault(
            lambda: pending.extend(self.requests.send_burst("gate-full/more", 16)),
            lambda: [future.result() for future in pending],
        )
        slow = self.fleet.backend_fault(mode="slow", delay_s=0.3)
        self.check_fault("gate-full", self.fleet.drain_fault("b") + slow + full)
        self.requests.check("gate-full/more")
        counts = self.requests.outcomes["gate-full/more"]
        self.assertTrue(counts["not_run"], counts)
