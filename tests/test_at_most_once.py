"""At most once, and 'not run' is true, under each fault at each moment.

One strike of a fault meets three bursts of signatures: one that was answered
(after dispatch), one that runs at the backend server (during), one that comes
while the fault is in force (before). Then callers send again with the same
Idempotency-Key, through another node, while the fault lasts and when it has
ended. The backend servers count their runs.
"""

import signal

from tests.at_most_once_utils import Fault, FaultScheduleCase
from tests.relay import Flow

SWITCHES = {
    "hang": {"mode": "hang", "delay_s": 1.0},
    "flap": {"mode": "hang", "share": 0.5, "delay_s": 1.0},
    "shed": {"mode": "shed"},
    "close": {"mode": "close"},
    "truncate": {"mode": "truncate"},
    "error": {"mode": "error"},
}


class SingleFaultTests(FaultScheduleCase):
    def test_backend_server(self):
        for name, switch in SWITCHES.items():
            self.strike(f"backend-{name}", self.fleet.backend_fault(**switch))
        self.strike("backend-drain", self.fleet.drained("a"))
        self.strike("backend-kill", self.fleet.backend_end(signal.SIGKILL))
        self.strike("backend-sigterm", self.fleet.backend_end(signal.SIGTERM))

    def test_nodes(self):
        for node in ("a", "i"):
            for number in (signal.SIGKILL, signal.SIGTERM):
                self.strike(
                    f"node-{node}-{number.name}", self.fleet.node_end(node, number)
                )

    def test_network(self):
        for direction in ("forward", "backward"):
            for flow in (Flow.DROP, Flow.HOLD):
                self.strike(
                    f"{direction}-{flow}", self.fleet.flow_fault(**{direction: flow})
                )
        self.strike("reset", Fault(self.fleet.relay.cut, lambda: None))

    def test_platform(self):
        for mode in ("down", "slow", "lost_reply"):
            self.strike(f"platform-{mode}", self.fleet.platform_fault(mode))

    def test_nowhere_to_go(self):
        # With both backend servers drained each new request is refused: the
        # one outcome that promises something about what did not happen.
        told = self.strike(
            "both-drained", self.fleet.drained("a") + self.fleet.drained("b")
        )
        self.assertTrue(told["not_run"], told)

    def test_a_full_gate(self):
        # Sixteen more requests than there are slots, each of which takes most
        # of its time: the gate queues some and sheds the rest.
        pending = []
        full = Fault(
            lambda: pending.extend(self.requests.begin("gate-full/more", 16)),
            lambda: [future.result() for future in pending],
        )
        slow = self.fleet.backend_fault(mode="slow", delay_s=0.3)
        self.strike("gate-full", self.fleet.drained("b") + slow + full)
        self.requests.check("gate-full/more")
        told = self.requests.outcomes["gate-full/more"]
        self.assertTrue(told["not_run"], told)
