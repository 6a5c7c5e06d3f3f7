"""Two faults at once: requests run at most once, for the pairs that matter most.

See test_at_most_once.py for the requests that are sent around a fault.
"""

import signal

from tests.at_most_once_utils import FaultScheduleCase
from tests.relay import Flow


class TwoFaultTests(FaultScheduleCase):
    def test_two_faults(self):
        fleet = self.fleet
        gate_killed = fleet.node_end("a", signal.SIGKILL)
        gate_frozen = fleet.frozen(lambda: fleet.nodes["a"])
        backend_killed = fleet.backend_end(signal.SIGKILL)
        answers_cut = fleet.flow_fault(backward=Flow.DROP)
        answers_late = fleet.flow_fault(backward=Flow.HOLD)
        requests_cut = fleet.flow_fault(forward=Flow.DROP)
        hang = fleet.backend_fault(mode="hang", delay_s=1.0)
        pairs = {
            # The whole VM is lost.
            "gate-and-backend-killed": gate_killed + backend_killed,
            # The gate that has the claims is gone, and no claim can be looked up.
            "gate-killed-platform-down": gate_killed + fleet.platform_fault("down"),
            "gate-frozen-platform-lost-reply": gate_frozen
            + fleet.platform_fault("lost_reply"),
            # The gate is suspended when the cancellation arrives; the run continues.
            "gate-frozen-backend-hangs": hang + gate_frozen,
            "answers-cut-gate-frozen": answers_cut + gate_frozen,
            "answers-cut-platform-lost-reply": answers_cut
            + fleet.platform_fault("lost_reply"),
            "answers-late-gate-killed": answers_late + gate_killed,
            "answers-cut-ingress-killed": answers_cut
            + fleet.node_end("i", signal.SIGKILL),
            "ingress-killed-backend-hangs": hang + fleet.node_end("i", signal.SIGKILL),
            # No other backend server is available: refusals must be correct.
            "requests-cut-other-drained": requests_cut + fleet.drained("b"),
            "backend-killed-other-drained": backend_killed + fleet.drained("b"),
            "gate-killed-other-drained": gate_killed + fleet.drained("b"),
        }
        for name, fault in pairs.items():
            self.check_fault(name, fault)
