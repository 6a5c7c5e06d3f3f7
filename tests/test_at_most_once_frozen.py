"""Requests run at most once while processes are suspended and resumed.

A process does not notice that it is suspended (SIGSTOP). Meanwhile deadlines pass,
announcements expire, other nodes take it for dead, and requests wait in its sockets.
When resumed, it continues as before.
"""

from tests.at_most_once_utils import FaultScheduleCase

# Longer than an announcement of a backend server is valid (5 s), than nodes are probed
# before they are declared dead, and than each deadline.
FREEZE_S = 6.0


class FrozenTests(FaultScheduleCase):
    def test_frozen_processes(self):
        fleet = self.fleet
        processes = {
            "backend": lambda: fleet.servers["a"],
            "node-a": lambda: fleet.nodes["a"],
            "node-i": lambda: fleet.nodes["i"],
        }
        for name, find in processes.items():
            self.check_fault(f"{name}-frozen", fleet.frozen(find), FREEZE_S)
        # Requests that reached the suspended gate and were given up must not run later.
        requests = self.requests
        for number in (1, 3):
            key = f"node-a-frozen/before/{number}"
            if requests.last_outcome(key) == "unknown":
                self.assertEqual(0, fleet.runs(key, "a"), key)

    def test_a_gate_is_replaced_while_its_predecessor_is_frozen(self):
        # The replacement does not know which requests its predecessor ran, and the
        # resumed predecessor does not know that it was replaced.
        self.check_fault("node-a-replaced", self.fleet.replaced_while_frozen(), 3.0)
