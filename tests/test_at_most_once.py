"""Each fault at each moment: requests run at most once, and 'not run' is true.

A fault is injected after one burst of requests was answered (after dispatch), while a
second burst runs at the backend server (during), and before a third burst is sent
(before). Requests with an Idempotency-Key are then sent again through another node,
while the fault lasts and after it has ended. The backend servers count the runs.
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
    def test_backend_server(self):
        for name, options in BACKEND_FAULTS.items():
            self.check_fault(f"backend-{name}", self.fleet.backend_fault(**options))
        self.check_fault("backend-drain", self.fleet.drained("a"))
        self.check_fault("backend-kill", self.fleet.backend_end(signal.SIGKILL))
        self.check_fault("backend-sigterm", self.fleet.backend_end(signal.SIGTERM))

    def test_nodes(self):
        for node in ("a", "i"):
            for number in (signal.SIGKILL, signal.SIGTERM):
                self.check_fault(
                    f"node-{node}-{number.name}", self.fleet.node_end(node, number)
                )

    def test_network(self):
        for direction in ("forward", "backward"):
            for flow in (Flow.DROP, Flow.HOLD):
                self.check_fault(
                    f"{direction}-{flow}", self.fleet.flow_fault(**{direction: flow})
                )
        self.check_fault(
            "reset", Fault(self.fleet.relay.reset_connections, lambda: None)
        )

    def test_platform(self):
        for mode in ("down", "slow", "lost_reply"):
            self.check_fault(f"platform-{mode}", self.fleet.platform_fault(mode))

    def test_nowhere_to_go(self):
        # With both backend servers drained, each new request must be refused as not
        # run, which is only correct if it really did not run.
        outcomes = self.check_fault(
            "both-drained", self.fleet.drained("a") + self.fleet.drained("b")
        )
        self.assertTrue(outcomes["not_run"], outcomes)

    def test_a_full_gate(self):
        # Sixteen requests besides those of the bursts, each of which takes most of its
        # timeout: the gate queues some and refuses the rest.
        pending = []
        full = Fault(
            lambda: pending.extend(self.requests.send_burst("gate-full/more", 16)),
            lambda: [future.result() for future in pending],
        )
        slow = self.fleet.backend_fault(mode="slow", delay_s=0.3)
        self.check_fault("gate-full", self.fleet.drained("b") + slow + full)
        self.requests.check("gate-full/more")
        counts = self.requests.outcomes["gate-full/more"]
        self.assertTrue(counts["not_run"], counts)
