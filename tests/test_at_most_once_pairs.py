"""Requests run at most once with two faults at once, for selected pairs of faults.

test_at_most_once.py describes the requests that are sent before, during and after a
fault.
"""

import signal

from tests.at_most_once_utils import FaultScheduleCase
from tests.relay import Flow


class TwoFaultTests(FaultScheduleCase):
    def test_requests_run_at_most_once_with_two_faults(self):
        fleet = self.fleet
        gate_killed = fleet.node_signal_fault("a", signal.SIGKILL)
        gate_frozen = fleet.freeze_fault(lambda: fleet.nodes["a"])
        backend_killed = fleet.backend_signal_fault(signal.SIGKILL)
        answers_cut = fleet.flow_fault(backward=Flow.DROP)
        answers_late = fleet.flow_fault(backward=Flow.HOLD)
        requests_cut = fleet.flow_fault(forward=Flow.DROP)
        hang = fleet.backend_fault(mode="hang", delay_s=1.0)
        pairs = {
            # The VM on which the gate and the backend server run is lost.
            "gate-and-backend-killed": gate_killed + backend_killed,
            # The gate to which the keys are claimed is lost, and no claim can be looked
            # up.
            "gate-killed-platform-down": gate_killed + fleet.platform_fault("down"),
            "gate-frozen-platform-lost-reply": gate_frozen
            + fleet.platform_fault("lost_reply"),
            # The gate is suspended when the cancellation arrives, so the run continues.
            "gate-frozen-backend-hangs": hang + gate_frozen,
            "answers-cut-gate-frozen": answers_cut + gate_frozen,
            "answers-cut-platform-lost-reply": answers_cut
            + fleet.platform_fault("lost_reply"),
            "answers-late-gate-killed": answers_late + gate_killed,
            "answers-cut-ingress-killed": answers_cut
            + fleet.node_signal_fault("i", signal.SIGKILL),
            "ingress-killed-backend-hangs": hang
            + fleet.node_signal_fault("i", signal.SIGKILL),
            # No other backend server is available, so requests are refused as not run,
            # and this must be correct.
            "requests-cut-other-drained": requests_cut + fleet.drain_fault("b"),
            "backend-killed-other-drained": backend_killed + fleet.drain_fault("b"),
            "gate-killed-other-drained": gate_killed + fleet.drain_fault("b"),
        }
        for name, fault in pairs.items():
            self.check_fault(name, fault)
