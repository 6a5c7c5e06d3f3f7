"""Keys, revocations and limits of customers, with real node processes."""

import json
import signal
import time

from testtools import TestCase

from balsamspindle.platform.store import HttpTableService
from balsamspindle.protocol.api_keys import key_digest
from balsamspindle.settings.store import SettingsStore
from tests.caller_side import RawCaller
from tests.test_whole_path import SETTINGS
from tests.utils import Fleet, call, try_call, wait_until

KEY, OTHER_KEY = "k-anna-5d20c1", "k-ben-88e3f7"
PROOF_MAX_AGE_S = 2.0
HEADER = "X-Balsamspindle-Key"
CUSTOMERS = {
    "crew/customers/anna": {"name": "Anna", "key_digests": [key_digest(KEY)]},
    "crew/customers/ben": {
        "name": "Ben",
        "key_digests": [key_digest(OTHER_KEY)],
        "rate_per_s": 1.0,
        "burst": 4.0,
    },
}


class CustomersTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet()
        self.addCleanup(self.fleet.__exit__)
        self.platform = self.fleet.start_platform()
        route = {**SETTINGS["crew/routes/read"], "allows_anonymous": False}
        settings = {**SETTINGS, "crew/routes/read": route, **CUSTOMERS}
        self.fleet.put_settings(settings)
        self.nodes = [
            self.fleet.start_node(
                f"node-{number}",
                f"zone-{number % 2}",
                key_proof_max_age_s=PROOF_MAX_AGE_S,
            )
            for number in range(3)
        ]
        self.fleet.start_backend("contract-0", "crew/contracts", self.nodes[0])
        self.fleet.wait_ready(self.nodes, ["contract-0"], len(settings))

    def _ask(self, node, key=KEY):
        headers = {HEADER: key} if key else {}
        return call(node.caller_address, "/contracts/7", headers=headers)

    def _wait_accepted(self):
        for node in self.nodes:
            wait_until(
                lambda node=node: self._ask(node).status == 200,
                "the node accepts the key",
            )

    def _revoke_key(self):
        store = SettingsStore(HttpTableService(self.fleet.platform_address))
        result = store.put("crew/customers/anna", {"name": "Anna"})
        self.assertTrue(result.is_ok(), result)

    def test_keys_are_accepted_and_never_logged(self):
        self._wait_accepted()
        for node in self.nodes:
            self.assertEqual(401, self._ask(node, None).status)
            self.assertEqual(401, self._ask(node, "k-nobody").status)
        logs = "".join(node.log_path.read_text() for node in self.nodes)
        for key in (KEY, "k-nobody"):
            self.assertNotIn(key, logs)
        self.assertNotIn(KEY, json.dumps([node.status() for node in self.nodes]))

    def test_each_node_checks_the_key_before_it_reads_the_body(self):
        # Guards against a node that reads the body before it refuses an unknown key,
        # and against a valid key that is refused because white space follows it.
        self._wait_accepted()
        for node in self.nodes:
            for key, status in (("k-nobody", 401), (f"{KEY} \t", 200)):
                caller = RawCaller(node.caller_address)
                self.addCleanup(caller.close)
                caller.send(
                    f"GET /contracts/7 HTTP/1.1\r\nHost: a\r\n{HEADER}: {key}\r\n"
                    "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n".encode()
                )
                first = caller.read()
                if status == 200:
                    self.assertEqual(100, first.status)
                    first = caller.send(b"abc").read()
                self.assertEqual(status, first.status)

    def test_a_revoked_key_is_not_accepted_after_the_maximum_age(self):
        # Guards against nodes that accept a revoked key for too long. Two of the nodes
        # run during the revocation, the third one is suspended.
        self._wait_accepted()
        self.nodes[2].signal(signal.SIGSTOP)
        self._revoke_key()
        ends_s = time.monotonic() + PROOF_MAX_AGE_S
        for node in self.nodes[:2]:
            wait_until(
                lambda node=node: self._ask(node).status != 200,
                "the revoked key is refused",
            )
        self.assertLess(time.monotonic(), ends_s)
        time.sleep(max(0.0, ends_s - time.monotonic()))
        self.nodes[2].signal(signal.SIGCONT)
        for _ in range(20):
            for node in self.nodes:
                answer = try_call(
                    node.caller_address, "/contracts/7", headers={HEADER: KEY}
                )
                self.assertIn(answer and answer.status, (401, 503))
        wait_until(
            lambda: self._ask(self.nodes[2]).status == 401,
            "the paused node refuses the key",
        )

    def test_keys_are_refused_only_while_the_store_is_unavailable(self):
        # Guards against nodes that confirm each other's old settings as current, so
        # that keys stay in use although no node can read the store.
        self._wait_accepted()
        self.platform.signal(signal.SIGSTOP)
        time.sleep(PROOF_MAX_AGE_S + 0.2)
        for node in self.nodes:
            answer = self._ask(node)
            self.assertEqual(503, answer.status)
            self.assertEqual("not_run", answer.outcome)
        self.platform.signal(signal.SIGCONT)
        self._wait_accepted()

    def test_a_limit_holds_over_all_nodes(self):
        # Guards against nodes that each enforce the limit for themselves alone.
        self._wait_accepted()
        began_s = time.monotonic()
        statuses = [
            self._ask(node, OTHER_KEY).status for _ in range(10) for node in self.nodes
        ]
        took_s = time.monotonic() - began_s
        self.assertEqual({200, 429}, set(statuses))
        # The limit is divided among three buckets: one for each of the two zones and
        # one for the whole fleet. Each bucket holds at least one token, so up to three
        # more requests may be granted.
        self.assertLessEqual(statuses.count(200), 4 + took_s + 3)
