"""Requests run at most once while processes are suspended and resumed.

A process does not notice that it is suspended (SIGSTOP). Meanwhile deadlines pass,
announcements expire, other nodes declare the process dead, and requests wait in its
sockets. When the process is resumed, it continues as before.
"""

from tests.at_most_once_utils import FaultScheduleCase

# Long enough that announcements of backend servers expire (5 s), that other nodes
# declare a suspended node dead, and that each deadline passes.
FREEZE_S = 6.0


class FrozenTests(FaultScheduleCase):
    def test_requests_run_at_most_once_when_a_process_is_suspended(self):
        fleet = self.fleet
        processes = {
            "backend": lambda: fleet.servers["a"],
            "node-a": lambda: fleet.nodes["a"],
            "node-i": lambda: fleet.nodes["i"],
        }
        for name, find in processes.items():
            self.check_fault(f"{name}-frozen", fleet.freeze_fault(find), FREEZE_S)
        # The ingress has stopped waiting for requests that reached the suspended gate.
        # The gate must not run them after it is resumed.
        requests = self.requests
        for number in (1, 3):
            key = f"node-a-frozen/before/{number}"
            if requests.last_outcome(key) == "unknown":
                self.assertEqual(0, fleet.runs(key, "a"), key)

    def test_requests_run_at_most_once_when_a_suspended_gate_is_replaced(self):
        # Guards against a second run at a replaced gate. The replacement does not know
        # which requests its predecessor ran, and the resumed predecessor does not know
        # that it was replaced.
        self.check_fault("node-a-replaced", self.fleet.replacement_fault(), 3.0)
