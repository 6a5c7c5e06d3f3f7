"""Reservations under twice the load that two backend servers can serve."""

import signal
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from testtools import TestCase

from tests.utils import start_fleet, try_call, wait_until

SERVICE = "crew/contracts"
WORK_MS, SLOTS = 100, 2
TIMEOUT_MS, TARGET_MS = 3000, 1500
# Callers that send one request after the other. Twice as many as slots: the others
# always wait.
CALLERS = 8
ROUNDS = 12
SETTINGS = {
    "crew/services/contracts": {"reserves_places": True, "queue_max": 16},
    "crew/routes/sign": {
        "service": SERVICE,
        "execution": "non_idempotent",
        "methods": ["POST"],
        "timeout_ms": TIMEOUT_MS,
        "target_ms": TARGET_MS,
    },
}


class ReservationProcessTests(TestCase):
    """Two ingresses i and j, and two gates a and b with a backend server each."""

    def setUp(self):
        super().setUp()
        self.fleet = fleet = start_fleet(self, SETTINGS)
        self.nodes = {name: fleet.start_node(f"node-{name}", "z") for name in "abij"}
        self.servers = {
            name: fleet.start_backend(
                f"server-{name}",
                SERVICE,
                self.nodes[name],
                slots=SLOTS,
                work_ms=WORK_MS,
            )
            for name in "ab"
        }
        fleet.wait_ready(self.nodes.values(), ["server-a", "server-b"], revision=2)
        self.outcomes: dict[str, str | None] = {}

    def test_requests_that_wait_run_once_where_a_slot_is_free_first(self):
        # The load without any failure: each waiting request reserves two places.
        self._send_all("i")
        self.assertEqual({"answered"}, set(self.outcomes.values()))
        self._check_runs()
        self.assertGreater(self._events("i", "reservation_made"), 0)
        for gate in "ab":
            self.assertGreater(self._events(gate, "reservation_called"), 0)
            self.assertGreater(self._events(gate, "reservation_taken_back"), 0)

    def test_slots_held_for_an_ingress_that_died_go_to_others(self):
        # Guards against a gate that keeps slots for the calls of a dead ingress.
        first = threading.Thread(target=self._send_all, args=("i", "first"))
        first.start()
        self._wait_reservations("i")
        self.nodes["i"].kill()
        self._send_all("j", "second")
        first.join()
        second = [self.outcomes[key] for key in self.outcomes if "second" in key]
        self.assertEqual({"answered"}, set(second))
        self._check_runs()

    def test_a_gate_killed_between_call_and_start_has_run_nothing_twice(self):
        # Guards against a second run of a request whose gate died after it called.
        task = threading.Thread(target=self._send_all, args=("i",))
        task.start()
        self._wait_reservations("i")
        self.nodes["a"].kill()
        task.join()
        self.assertNotIn(None, self.outcomes.values())
        self.assertIn("answered", self.outcomes.values())
        self._check_runs()

    def test_the_late_call_of_a_frozen_gate_starts_nothing_twice(self):
        # Guards against a gate that is suspended with reservations, and calls after
        # their ingress has started the requests elsewhere.
        task = threading.Thread(target=self._send_all, args=("i",))
        task.start()
        self._wait_reservations("i")
        self.nodes["a"].signal(signal.SIGSTOP)
        try:
            time.sleep(1.0)
        finally:
            self.nodes["a"].signal(signal.SIGCONT)
        task.join()
        self.assertNotIn(None, self.outcomes.values())
        self._check_runs()

    def _send_all(self, ingress, name="request"):
        with ThreadPoolExecutor(CALLERS) as callers:
            list(
                callers.map(
                    lambda caller: self._send_rounds(ingress, f"{name}-{caller}"),
                    range(CALLERS),
                )
            )

    def _send_rounds(self, ingress, name):
        for number in range(ROUNDS):
            key = f"{name}/{number}"
            answer = try_call(
                self.nodes[ingress].caller_address,
                "/sign",
                "POST",
                b"contract",
                {"X-Run-Key": key},
            )
            self.outcomes[key] = answer and answer.outcome

    def _check_runs(self):
        """Check that each request ran at most once, and that outcomes are true."""
        runs = Counter()
        for server in self.servers.values():
            runs.update(server.runs())
        self.assertEqual({}, {key: count for key, count in runs.items() if count > 1})
        for key, outcome in self.outcomes.items():
            if outcome == "answered":
                self.assertEqual(1, runs[key], key)
            if outcome == "not_run":
                self.assertEqual(0, runs[key], key)

    def _wait_reservations(self, ingress):
        wait_until(
            lambda: self._events(ingress, "reservation_made") > CALLERS,
            "places are reserved",
        )

    def _events(self, node, event):
        log = self.nodes[node].log_path.read_text()
        return log.count(f"event={event} ")
