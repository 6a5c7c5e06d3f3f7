"""Real nodes while the platform is down, hangs, or is restored from a backup."""

import json
import signal
import time

from testtools import TestCase

from balsamspindle.platform.store import HttpTableService
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

    def test_settings_do_not_revert_when_the_platform_is_restored(self):
        # Guards against routing callers by routes that were replaced hours ago. The
        # platform dies. Nodes continue to serve, and a backend server and a node are
        # started. The platform is restored from a backup that lacks the latest changes,
        # and one more node is replaced. No node may return to a lower revision, each
        # new node must get its settings from peers, and each node must report that the
        # platform is older.
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
        # An edit in the restored platform would get a revision number that the nodes
        # already have. The backup's settings come in force only if an operator restarts
        # the history.
        tables = HttpTableService(self.fleet.platform_address)
        restarted = restart_history(tables, revision, Credentials(), time.time())
        for node in nodes[1:]:
            self.wait_revision(node, restarted.ok.revision)
        revision = self.put_document("crew/services/after", {})
        for node in nodes[1:]:
            self.wait_revision(node, revision)
            self.assert_served(node)
            self.assertEqual(404, call(node.caller_address, "/late").status)

    def test_a_node_without_settings_refuses_requests_with_the_reason(self):
        # The caller is informed at once that the request was not run, and the operator
        # finds the reason in the events.
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

    def test_a_hanging_platform_does_not_block_nodes(self):
        # A suspended platform accepts connections but never answers, so each call to it
        # lasts until its timeout. No other task of a node may wait for the call. A
        # change that is accepted after the platform resumes must come in force.
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
