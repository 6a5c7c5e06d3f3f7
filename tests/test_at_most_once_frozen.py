"""At most once under processes that freeze and go on.

A frozen process (SIGSTOP) does not know that it was: deadlines, announcements
and the fleet's patience with it run out meanwhile, requests wait in its
sockets, and then it goes on as if nothing had happened.
"""

from tests.at_most_once_utils import FaultScheduleCase

# Outlives the announcement of a backend server (5 s), the probes of a node
# and each deadline.
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
            self.strike(f"{name}-frozen", fleet.frozen(find), FREEZE_S)
        # What came to the frozen gate and was given up did not begin later.
        requests = self.requests
        for number in (1, 3):
            key = f"node-a-frozen/before/{number}"
            if requests.told(key) == "unknown":
                self.assertEqual(0, fleet.runs(key, "a"), key)

    def test_a_gate_is_replaced_while_its_predecessor_is_frozen(self):
        # The replacement does not know what its predecessor ran, and the
        # predecessor, when it thaws, does not know that it was replaced.
        self.strike("node-a-replaced", self.fleet.replaced_while_frozen(), 3.0)
