"""Tests of ``balsamspindle-ctl``: its output, its messages and its exit statuses."""

import json

from expression import Error
from testtools import TestCase
from typer.testing import CliRunner

from balsamspindle.cli import ctl_edits
from balsamspindle.cli.ctl import app
from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.settings.results import (
    NotKnown,
    NotOwner,
    SettingsConflict,
    SettingsUnavailable,
    Withdrawn,
)
from balsamspindle.settings.store import SettingsStore
from tests.utils import (
    Fleet,
    PlatformInProcess,
    call,
    encode,
    free_address,
    try_call,
    wait_until,
)

ROUTE = {"service": "crew/contracts", "execution": "idempotent"}


def run(*arguments: str, stdin: str | None = None):
    return CliRunner().invoke(app, list(arguments), input=stdin)


class SettingsCommandTests(TestCase):
    def setUp(self):
        super().setUp()
        self.platform = PlatformInProcess()
        self.addCleanup(self.platform.stop)

    def settings(self, *arguments: str, stdin=None, status=ExitStatus.DONE):
        command, *rest = arguments
        result = run(
            "settings", command, "--platform", self.platform.address, *rest, stdin=stdin
        )
        self.assertEqual(status, result.exit_code, result.output)
        return result

    def test_documents_are_written_read_compared_and_removed(self):
        self.settings("set", "crew/services/contracts", stdin="{}")
        result = self.settings("set", "crew/routes/read", stdin=json.dumps(ROUTE))
        self.assertEqual("accepted at revision 2\n", result.stdout)
        result = self.settings("get", "crew")
        expected = {"crew/services/contracts": {}, "crew/routes/read": ROUTE}
        self.assertEqual(expected, json.loads(result.stdout))
        changed = {**expected, "crew/services/contracts": {"queue_max": 8}}
        result = self.settings("diff", stdin=json.dumps(changed))
        self.assertIn('+  "queue_max": 8', result.stdout)
        self.assertNotIn("crew/routes/read", result.stdout)
        result = self.settings("remove", "crew/routes/read", "--json")
        self.assertEqual(3, json.loads(result.stdout)["revision"])
        self.settings("get", "crew/routes/read", status=ExitStatus.NOT_FOUND)

    def test_all_faults_are_listed_and_nothing_is_written(self):
        wrong = {"service": "crew/contracts", "execution": "once", "timeout": 5}
        result = self.settings(
            "set",
            "crew/routes/read",
            stdin=json.dumps(wrong),
            status=ExitStatus.INVALID,
        )
        self.assertIn("crew/routes/read execution: expected one of", result.stderr)
        self.assertIn("crew/routes/read timeout: no such field", result.stderr)
        self.assertEqual("{}\n", self.settings("get").stdout)

    def test_each_error_is_reported_without_a_traceback(self):
        absent = free_address()
        cases = [
            (("settings", "set", "crew/services/a", "absent.json"), "USAGE", None),
            (("settings", "set", "crew/services/a"), "USAGE", "{not json"),
            (("settings", "validate"), "USAGE", "[]"),
            (("settings", "get", "--platform", absent), "UNAVAILABLE", None),
            (("status", "--node", absent), "UNAVAILABLE", None),
            (("status", "--node", self.platform.address), "UNAVAILABLE", None),
            (("status",), "USAGE", None),
            (("explain", "crew/contracts", "--node", absent), "UNAVAILABLE", None),
            (("explain", "r1", "--logs", "absent.log"), "UNAVAILABLE", None),
        ]
        for arguments, status, stdin in cases:
            result = run(*arguments, stdin=stdin)
            self.assertEqual(ExitStatus[status], result.exit_code, arguments)
            self.assertIsInstance(result.exception, SystemExit)
            self.assertNotEqual("", result.stderr)
            self.assertLessEqual(len(result.stderr.splitlines()), 2)

    def test_each_result_of_a_change_has_its_message_and_status(self):
        """Guards against a message that nothing changed although a change is in force.

        A change is accepted, not accepted, or its result is not known. Without a reply
        from the platform, the result is not known. Then the message must name the
        command that settles the change.
        """
        results = [
            (NotKnown("no reply", "op1"), "NOT_KNOWN", "settings settle op1"),
            (NotOwner("wrong key"), "NOT_OWNER", "not accepted: wrong key"),
            (SettingsConflict("ana was first"), "CONFLICT", "ana was first"),
            (SettingsUnavailable("down"), "UNAVAILABLE", "not accepted: down"),
            (Withdrawn("settled"), "FAILED", "not accepted: settled"),
        ]
        for error, status, message in results:
            store = SettingsStore(None)
            store.apply = lambda *_, error=error: Error(error)
            self.patch(ctl_edits, "open_store", lambda _, store=store: store)
            result = run("settings", "set", "crew/services/a", stdin="{}")
            self.assertEqual(ExitStatus[status], result.exit_code)
            self.assertIn(message, result.stderr)

    def test_a_file_is_one_change_with_key_version_and_history(self):
        new_key = ("--new-key", "open", "--author", "ana")
        self.settings("team-key", "crew", *new_key)
        file = json.dumps({"crew/services/contracts": {}, "crew/routes/read": ROUTE})
        wrong = ("apply", "--team-key", "shut")
        self.settings(*wrong, stdin=file, status=ExitStatus.NOT_OWNER)
        key = ("--team-key", "open", "--author", "bo")
        result = self.settings("apply", *key, stdin=file)
        self.assertEqual("accepted at revision 2\n", result.stdout)
        version = self.settings("get", "crew", "--show-version").stderr.split()[1]
        expect = (*key, "--expect-version", version)
        self.settings("remove", "crew/routes/read", *expect)
        again = ("set", "crew/services/contracts", *expect)
        result = self.settings(*again, stdin="{}", status=ExitStatus.CONFLICT)
        self.assertIn("bo changed crew/routes/read at revision 3", result.stderr)
        result = self.settings("history", "crew", "--json")
        changes = json.loads(result.stdout)
        self.assertEqual([3, 2, 1], [change["revision"] for change in changes])
        self.assertEqual("bo", changes[0]["author"])
        operation = changes[1]["operation_id"]
        result = self.settings("settle", operation)
        self.assertEqual("accepted at revision 2\n", result.stdout)
        self.settings("settle", "never-sent", status=ExitStatus.FAILED)
        result = self.settings("history", "--diff", "--limit", "1")
        self.assertIn('-  "service": "crew/contracts"', result.stdout)
        result = self.settings("restart", "--above", "10")
        self.assertEqual("accepted at revision 11\n", result.stdout)
        result = self.settings("history", "--limit", "1")
        self.assertIn("all settings, reloaded from the platform", result.stdout)
        two_teams = json.dumps({"crew/services/a": {}, "yard/services/b": {}})
        self.settings("apply", stdin=two_teams, status=ExitStatus.USAGE)

    def test_a_change_is_reported_as_not_accepted_while_the_platform_is_down(self):
        self.platform.set_fault(mode="down")
        result = self.settings(
            "set", "crew/services/a", stdin="{}", status=ExitStatus.UNAVAILABLE
        )
        self.assertIn("not accepted", result.stderr)


class FleetCommandTests(TestCase):
    def test_explain_shows_a_drained_backend_server_and_where_requests_go(self):
        """Drain the backend server beside the node that gets the request.

        The request goes to the other backend server. For the service, ``explain`` must
        show that the first backend server drains. For the request, ``explain`` must
        show which backend server answered it.
        """
        fleet = Fleet()
        self.addCleanup(fleet.__exit__)
        fleet.start_platform()
        fleet.put_settings(
            {"crew/services/contracts": {}, "crew/routes/read": ROUTE},
        )
        node_1_admin = free_address()
        nodes = [
            fleet.start_node("node-0", "zone-0"),
            fleet.start_node(
                "node-1",
                "zone-1",
                admin_address=node_1_admin,
                admin_advertised_address=node_1_admin,
            ),
        ]
        for number, node in enumerate(nodes):
            fleet.start_backend(f"contract-{number}", "crew/contracts", node)
        fleet.wait_ready(nodes, ["contract-0", "contract-1"], revision=2)
        self.check_announcements(nodes[0])
        all_nodes = [option for n in nodes for option in ("--node", n.admin_address)]

        only_node_1 = ("--node", nodes[1].admin_address)
        result = run("drain", "contract-0", *only_node_1)
        self.assertEqual(ExitStatus.USAGE, result.exit_code)
        self.assertIn("runs beside node-0", result.stderr)
        result = run("drain", "contract-2", *all_nodes)
        self.assertEqual(ExitStatus.NOT_FOUND, result.exit_code)
        result = run("drain", "contract-0", *all_nodes)
        self.assertEqual(ExitStatus.DONE, result.exit_code, result.output)

        headers = {"X-Request-Id": "drained-1"}
        answer = call(nodes[0].caller_address, "/7", headers=headers)
        self.assertEqual("contract-1", answer.json()["server"])
        result = run("explain", "drained-1", *all_nodes)
        self.assertIn("contract-1 behind node-1: dispatched, answered", result.stdout)
        self.assertIn("outcome: answered with status 200", result.stdout)

        def drained_everywhere():
            result = run("explain", "crew/contracts", "--json", *all_nodes)
            rows = [view["backend_servers"][0] for view in json.loads(result.stdout)]
            return [row["evidence"] for row in rows] == [["it is draining"]] * 2

        wait_until(drained_everywhere, "both nodes report that it is draining")
        result = run("explain", "crew/contracts", *only_node_1)
        self.assertIn("6 of 12 slots take work", result.stdout)
        result = run("status", *all_nodes)
        self.assertRegex(result.stdout, r"crew/contracts +2 +1 +0 +12\n")

        only_node_0 = ("--node", nodes[0].admin_address)
        result = run("drain", "contract-1", *only_node_0)
        self.assertEqual(ExitStatus.DONE, result.exit_code, result.output)
        run("undrain", "contract-0", *all_nodes)
        wait_until(
            lambda: (
                (answer := try_call(nodes[0].caller_address, "/7"))
                and answer.json().get("server") == "contract-0"
            ),
            "contract-0 gets requests again",
        )

    def check_announcements(self, node):
        """A refused announcement lists all its faults.

        A well-formed announcement of a service that no settings define is
        answered with a note: nothing else would reveal a typo in the name.
        """
        path = "/backend-servers/typo"
        body = {"service": "crew/contract", "slots": 0, "boot_id": "1"}
        refused = call(node.admin_address, path, "PUT", encode(body))
        self.assertEqual(400, refused.status)
        self.assertIn("slots: expected a whole number", refused.json()["error"])
        self.assertIn("address: missing", refused.json()["error"])
        body = {**body, "slots": 1, "address": "127.0.0.1:1"}
        accepted = call(node.admin_address, path, "PUT", encode(body))
        self.assertIn("no settings in force define", accepted.json()["note"])
