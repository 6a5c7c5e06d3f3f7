"""Ejection through real processes, with the platform down all the while."""

import threading
import time

from testtools import TestCase

from tests.relay import Flow, Relay
from tests.utils import Fleet, call, free_address, try_call, wait_until


def settings(hold_out_s: float) -> dict:
    return {
        "crew/services/contracts": {
            "floor_fraction": 0.6,
            "detection": {"threshold": 7.0, "hold_out_s": hold_out_s},
        },
        "crew/routes/read": {
            "service": "crew/contracts",
            "execution": "idempotent",
            "path_prefix": "/contracts",
            "timeout_ms": 1500.0,
        },
    }


SERVERS = 5
FLOOR_SLOTS = 0.6 * SERVERS * 6
CALLERS = 3
PACE_S = 0.02
CUT_S = 5.0


class _FleetUnderWork(TestCase):
    hold_out_s = 60.0

    def setUp(self):
        super().setUp()
        self.fleet = Fleet()
        self.addCleanup(self.fleet.__exit__)
        platform = self.fleet.start_platform()
        self.fleet.put_settings(settings(self.hold_out_s))
        link_address = free_address()
        self.relay = Relay(link_address)
        self.addCleanup(self.relay.close)
        addresses = {
            "link_address": link_address,
            "link_advertised_address": self.relay.address,
        }
        self.nodes = [
            self.fleet.start_node(
                f"node-{number}", f"zone-{number}", **({} if number else addresses)
            )
            for number in range(3)
        ]
        self.servers = [
            self.fleet.start_backend(
                f"contract-{number}", "crew/contracts", self.nodes[number % 2]
            )
            for number in range(SERVERS)
        ]
        names = [server.name for server in self.servers]
        self.fleet.wait_ready(self.nodes, names)
        platform.kill()
        self._done = threading.Event()
        self.addCleanup(self._done.set)
        for _ in range(CALLERS):
            threading.Thread(target=self._call, daemon=True).start()

    def _call(self):
        """Ask through the node that has no backend server beside it."""
        while not self._done.wait(PACE_S):
            try_call(self.nodes[2].caller_address, "/contracts/7", timeout_s=5)

    def _explain(self, node) -> dict:
        return call(node.admin_address, "/services/crew/contracts/explain").json()

    def _left_out(self, node) -> set[str]:
        explanation = self._explain(node)
        self.assertGreaterEqual(explanation["in_use_slots"], FLOOR_SLOTS)
        return {
            server["backend_server_id"]
            for server in explanation["backend_servers"]
            if not server["takes_work"]
        }

    def _suspicions(self, node) -> dict[str, float]:
        return {
            server["backend_server_id"]: server["suspicion"]
            for server in self._explain(node)["backend_servers"]
            if server["suspicion"] > 0
        }


class FloorTests(_FleetUnderWork):
    def test_sick_ones_are_left_out_until_the_floor_binds(self):
        """Three of five fail one after the other: by error, hang and reset.

        Each gate sees its own work fail and tells the others; each picker
        leaves out two and keeps the third for the floor, platform or not.
        """
        faults = ({"mode": "error"}, {"mode": "hang"}, {"mode": "close"})
        for number, fault in enumerate(faults):
            self.servers[number].set_fault(**fault)
            sick = {server.name for server in self.servers[: number + 1]}
            for node in self.nodes:
                wait_until(
                    lambda node=node, sick=sick: set(self._suspicions(node)) == sick,
                    f"{sick} are suspected at {node.settings['node_id']}",
                )
                self.assertEqual(min(2, number + 1), len(self._left_out(node)))
        explanation = self._explain(self.nodes[0])
        self.assertIn("floor", explanation["cause"])
        evidence = explanation["backend_servers"][0]["evidence"]
        self.assertIn("error", " ".join(evidence))


class ReadmissionTests(_FleetUnderWork):
    hold_out_s = 2.0

    def test_one_that_recovers_is_tried_and_takes_work_again(self):
        """It fails, is left out, recovers; trial requests find that out."""
        node = self.nodes[2]
        self.servers[1].set_fault(mode="error")
        wait_until(lambda: "contract-1" in self._left_out(node), "it is left out")
        self.servers[1].set_fault(mode="none")
        wait_until(
            lambda: not self._left_out(node) and not self._suspicions(node),
            "it takes work as before",
        )
        for event in ("suspected", "on_trial", "readmitted"):
            wait_until(
                lambda event=event: (
                    f"event=backend_server_{event} "
                    in self.nodes[1].log_path.read_text()
                ),
                f"the log tells that it was {event}",
            )


class CutLinkTests(_FleetUnderWork):
    def test_a_cut_link_makes_nobody_a_suspect(self):
        """Requests to one node's gate vanish, then its replies do.

        Callers' attempts there fail, one after the other, and other backend
        servers answer. The gate saw no work fail, so nobody is told that its
        backend servers are sick.
        """
        for direction in ("forward", "backward"):
            setattr(self.relay, direction, Flow.DROP)
            give_up_s = time.monotonic() + CUT_S
            while time.monotonic() < give_up_s:
                answer = call(self.nodes[2].caller_address, "/contracts/7")
                if answer.outcome == "answered":
                    self.assertIn(answer.json()["server"], ("contract-1", "contract-3"))
                for node in self.nodes:
                    self.assertEqual({}, self._suspicions(node))
            self.relay.cut()
            setattr(self.relay, direction, Flow.PASS)
