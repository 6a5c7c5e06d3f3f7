"""Real nodes while the platform is down, hangs, or is restored from a backup."""

import json
import signal
import time

from testtools import TestCase

from balsamspindle.platform import HttpTableService
from balsamspindle.settings.recovery import restart_history
from balsamspindle.settings.store import Credentials, SettingsStore
from tests.test_whole_path import SETTINGS
from tests.utils import Fleet, call, try_call, wait_until

NO_SEEDS = {"seed_addresses": []}


class SettingsOutageTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet()
        self.addCleanup(self.fleet.__exit__)
        self.platform = self.fleet.start_platform()

    def start(self, count: int):
        self.fleet.put_settings(SETTINGS)
        nodes = [
            self.fleet.start_node(f"node-{number}", f"zone-{number}")
            for number in range(count)
        ]
        self.fleet.start_backend("contract-0", "crew/contracts", nodes[0])
        self.fleet.wait_ready(nodes, ["contract-0"], len(SETTINGS))
        return nodes

    def put_document(self, path: str, document) -> int:
        store = SettingsStore(HttpTableService(self.fleet.platform_address))
        result = store.put(path, document)
        self.assertTrue(result.is_ok(), result)
        return result.ok.revision

    def wait_revision(self, node, revision: int):
        name = node.settings["node_id"]
        wait_until(
            lambda: node.revision() >= revision, f"{name} is at revision {revision}"
        )

    def wait_event(self, node, text: str):
        """Wait for an event's line, which a node writes with a short delay."""
        wait_until(lambda: text in node.log_path.read_text(), text)

    def platform_state(self, node) -> str:
        return node.status()["settings"]["platform"]

    def assert_served(self, node, target="/contracts/7"):
        answer = call(node.caller_address, target)
        self.assertEqual(("answered", 200), (answer.outcome, answer.status))

    def test_nothing_reverts_when_the_platform_comes_back_older(self):
        # Guards against routing callers by routes that were replaced hours ago.
        # Order: the platform dies; nodes continue to serve, a backend server starts
        # and a node is added; the platform is restored from a backup that lacks the
        # latest changes; one more node is replaced while the platform is up.
        # No node goes back to a lower revision, a new node asks its peers, and each
        # node reports that the platform is older.
        backup = None
        nodes = self.start(2)
        backup = call(self.fleet.platform_address, "/v1/backup").body
        revision = self.put_document(
            "crew/routes/late", {**SETTINGS["crew/routes/read"], "path_prefix": "/late"}
        )
        for node in nodes:
            self.wait_revision(node, revision)
        self.platform.kill()
        self.fleet.start_backend("contract-1", "crew/contracts", nodes[1])
        nodes.append(self.fleet.start_node("node-2", "zone-2"))
        self.fleet.wait_ready(nodes, ["contract-0", "contract-1"], revision)
        for node in nodes:
            self.assert_served(node, "/late")
        self.fleet.start_platform()
        call(self.fleet.platform_address, "/v1/backup", "PUT", backup)
        nodes[0].kill()
        nodes.append(self.fleet.start_node("node-3", "zone-0"))
        for node in nodes[1:]:
            self.wait_revision(node, revision)
            wait_until(
                lambda node=node: self.platform_state(node) == "older",
                "the node reports that the platform is older",
            )
            self.assertEqual(revision, node.revision())
            self.wait_event(node, "event=settings_platform state=older")
        self.assert_served(nodes[-1], "/late")
        # An edit would now get a revision that the nodes already have. Only an
        # operator can put the backup's settings in force.
        tables = HttpTableService(self.fleet.platform_address)
        restarted = restart_history(tables, revision, Credentials(), time.time())
        for node in nodes[1:]:
            self.wait_revision(node, restarted.ok.revision)
        revision = self.put_document("crew/services/after", {})
        for node in nodes[1:]:
            self.wait_revision(node, revision)
            self.assert_served(node)
            self.assertEqual(404, call(node.caller_address, "/late").status)

    def test_a_node_without_any_source_refuses_and_says_why(self):
        # The caller learns at once that the request was not run, and the operator
        # finds the cause in the events.
        self.platform.kill()
        node = self.fleet.start_node("node-0", "zone-0", **NO_SEEDS)
        wait_until(
            lambda: try_call(node.caller_address, "/contracts/7"), "the node answers"
        )
        answer = call(node.caller_address, "/contracts/7")
        self.assertEqual("not_run", answer.outcome)
        self.assertEqual("no_settings", answer.json()["reason"])
        self.wait_event(node, "event=settings_no_source")
        self.assertEqual("unreachable", self.platform_state(node))

    def test_a_hanging_platform_hangs_nothing_else(self):
        # A stopped process accepts connections and never answers, so a call ends only
        # by its timeout. No other task may wait for the call, and a change accepted
        # after the platform resumes comes in force.
        nodes = self.start(2)
        self.platform.signal(signal.SIGSTOP)
        self.addCleanup(self.platform.signal, signal.SIGCONT)
        wait_until(
            lambda: all(self.platform_state(node) == "unreachable" for node in nodes),
            "the nodes report the platform as unreachable",
        )
        for node in nodes:
            self.assert_served(node)
        nodes.append(self.fleet.start_node("node-2", "zone-1"))
        self.wait_revision(nodes[2], len(SETTINGS))
        self.platform.signal(signal.SIGCONT)
        revision = self.put_document("crew/services/late", {})
        for node in nodes:
            self.wait_revision(node, revision)

    def test_a_change_reaches_a_node_that_cannot_reach_the_platform(self):
        nodes = self.start(2)
        unconnected = self.fleet.start_node("node-2", "zone-2", platform_address=None)
        self.wait_revision(unconnected, len(SETTINGS))
        revision = self.put_document("crew/services/late", {})
        accepted = json.dumps({"revision": revision}).encode()
        call(nodes[0].admin_address, "/settings/accepted", "POST", accepted)
        self.wait_revision(unconnected, revision)
        self.wait_event(
            unconnected, f"event=settings_in_force revision={revision} source=peer"
        )
