"""Requests through separate processes: caller, ingress, gate, backend server."""

from testtools import TestCase

from tests.utils import call, start_fleet

SETTINGS = {
    "crew/services/contracts": {},
    "crew/routes/read": {
        "service": "crew/contracts",
        "execution": "idempotent",
        "path_prefix": "/contracts",
        "methods": ["GET"],
    },
    "crew/routes/sign": {
        "service": "crew/contracts",
        "execution": "non_idempotent",
        "path_prefix": "/contracts",
        "methods": ["POST"],
    },
}


class WholePathTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = start_fleet(self, SETTINGS)
        self.nodes = [
            self.fleet.start_node(f"node-{number}", f"zone-{number}")
            for number in range(3)
        ]
        self.servers = [
            self.fleet.start_backend(f"contract-{number}", "crew/contracts", node)
            for number, node in enumerate(self.nodes[:2])
        ]
        self.fleet.wait_ready(self.nodes, ["contract-0", "contract-1"])

    def test_any_node_serves_a_request_through_another_nodes_gate(self):
        answer = call(self.nodes[2].caller_address, "/contracts/7?full=1")
        self.assertEqual(200, answer.status)
        self.assertEqual("answered", answer.outcome)
        self.assertEqual("/contracts/7?full=1", answer.json()["target"])
        self.assertIn(answer.json()["server"], ("contract-0", "contract-1"))

    def test_a_node_prefers_the_backend_server_beside_it(self):
        for node, server in zip(self.nodes, self.servers, strict=False):
            answer = call(node.caller_address, "/contracts/7")
            self.assertEqual(server.name, answer.json()["server"])

    def test_a_non_idempotent_request_runs_once_with_its_body(self):
        answer = call(
            self.nodes[2].caller_address,
            "/contracts/7/sign",
            "POST",
            b"signed",
            {"X-Run-Key": "sign-7"},
        )
        self.assertEqual("answered", answer.outcome)
        self.assertEqual("signed", answer.json()["body"])
        runs = [server.runs().get("sign-7", 0) for server in self.servers]
        self.assertEqual(1, sum(runs))

    def test_a_request_without_a_route_is_refused_with_the_reason(self):
        answer = call(self.nodes[0].caller_address, "/elsewhere")
        self.assertEqual((404, "not_run"), (answer.status, answer.outcome))
        self.assertEqual("no_route", answer.json()["reason"])

    def test_killing_one_backend_server_leaves_the_other_to_answer(self):
        self.servers[0].kill()
        answer = call(self.nodes[0].caller_address, "/contracts/7")
        self.assertEqual(("answered", 200), (answer.outcome, answer.status))
        self.assertEqual("contract-1", answer.json()["server"])
