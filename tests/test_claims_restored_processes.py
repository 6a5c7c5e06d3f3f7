"""Keys sent through real nodes while the store is restored from an older copy."""

import time

from testtools import TestCase

from tests.at_most_once_utils import ScheduleFleet
from tests.utils import HttpAnswer, call, wait_until

# Longer than a new fleet takes until each node knows all others.
FLEET_KNOWN_S = 7.0


class RestoredKeyTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = ScheduleFleet()
        self.addCleanup(self.fleet.__exit__)
        time.sleep(FLEET_KNOWN_S)

    def _sign(self, ingress: str, key: str) -> HttpAnswer:
        return call(
            self.fleet.nodes[ingress].caller_address,
            "/sign/7",
            "POST",
            key.encode(),
            {"X-Run-Key": key, "Idempotency-Key": key},
        )

    def _store(self, verb: str) -> None:
        call(self.fleet.platform_address, f"/{verb}", "POST", b"")

    def test_a_key_runs_once_and_new_ones_are_served_soon(self):
        # Guards against a second run of a request after the store has lost the claim of
        # its key.
        self._store("copy")
        first = self._sign("i", "lost")
        self.assertEqual("answered", first.outcome)
        self._store("restore")
        for ingress in "ji":
            wait_until(
                lambda ingress=ingress: (
                    self._sign(ingress, "lost").outcome == "answered"
                ),
                "the resend gets the first answer",
            )
        self.assertEqual(first.body, self._sign("j", "lost").body)
        self.assertEqual(1, self.fleet.runs("lost"))
        self.assertEqual("answered", self._sign("j", "new").outcome)

    def test_a_key_whose_gate_was_killed_is_unknown(self):
        # Guards against a second run when no running process knows of the first run.
        self._store("copy")
        first = self._sign("a", "lost")
        self.assertEqual("contract-a", first.json()["server"])
        self.fleet.nodes["a"].kill()
        self._store("restore")
        self.fleet.restart_node("a")
        self.fleet.wait_all_ready()
        for ingress in "jib":
            self.assertEqual("unknown", self._sign(ingress, "lost").outcome)
        self.assertEqual(1, self.fleet.runs("lost"))
