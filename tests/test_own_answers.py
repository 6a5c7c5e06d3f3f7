"""Each caller gets the complete answer to its own request, across processes."""

import http.client
import json
import random
from concurrent.futures import ThreadPoolExecutor

from testtools import TestCase

from tests.utils import start_fleet

SERVICE = "crew/contracts"
SETTINGS = {
    "crew/services/contracts": {},
    "crew/routes/read": {
        "service": SERVICE,
        "execution": "idempotent",
        "methods": ["PUT"],
        "timeout_ms": 60_000,
    },
    "crew/routes/sign": {
        "service": SERVICE,
        "execution": "non_idempotent",
        "methods": ["POST"],
        "timeout_ms": 60_000,
    },
}
CALLERS = 12
REQUESTS_EACH = 100
SEED = 20_262


class OwnAnswerTests(TestCase):
    def test_interleaved_requests_get_their_own_whole_answers(self):
        # Twelve callers with keep-alive connections send requests through three nodes
        # to three backend servers. Two of these answer every third request late, so
        # answers of all sizes are interleaved on each link and connection.
        fleet = start_fleet(self, SETTINGS)
        nodes = [fleet.start_node(f"node-{n}", "zone-1") for n in range(3)]
        servers = [
            fleet.start_backend(f"contract-{n}", SERVICE, nodes[n], slots=20)
            for n in range(3)
        ]
        fleet.wait_ready(nodes, [server.name for server in servers])
        for server in servers[:2]:
            server.set_fault(mode="slow", share=0.33, delay_s=0.02)
        with ThreadPoolExecutor(CALLERS) as executor:
            callers = [
                executor.submit(self._call_many, nodes[n % 3].caller_address, n)
                for n in range(CALLERS)
            ]
            served = [server for caller in callers for server in caller.result()]
        self.assertEqual(CALLERS * REQUESTS_EACH, len(served))
        self.assertEqual({server.name for server in servers}, set(served))

    def _call_many(self, address: str, number: int) -> list[str]:
        """Send requests on one connection; return the servers that answered them."""
        rng = random.Random(SEED + number)
        connection = http.client.HTTPConnection(address, timeout=90)
        served = []
        for sequence in range(REQUESTS_EACH):
            nonce = f"{number}-{sequence}"
            length = rng.choice([0, 10, 1000, 50_000])
            body = (f"{nonce}/" * length)[:length].encode()
            method = rng.choice(["PUT", "POST"])
            connection.request(method, f"/{nonce}", body, {"X-Run-Key": nonce})
            response = connection.getresponse()
            answer = json.loads(response.read())
            self.assertEqual("answered", response.headers["X-Balsamspindle-Outcome"])
            self.assertEqual(
                (nonce, f"/{nonce}", method, length),
                (
                    answer["run_key"],
                    answer["target"],
                    answer["method"],
                    answer["body_length"],
                ),
            )
            self.assertEqual(body.decode(), answer["body"])
            served.append(answer["server"])
        connection.close()
        return served
