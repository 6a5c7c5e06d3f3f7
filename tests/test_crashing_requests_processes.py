"""A request that crashes each backend server that runs it, through real nodes."""

import itertools
import threading
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

from testtools import TestCase

from tests.crashing_server import CrashingServer, Run
from tests.platform_fleet import PlatformFleet
from tests.utils import HttpAnswer, try_call, wait_until

HOST = "crew.example"
NODES = 6
SLOTS = 4
CRASHING, INNOCENT = "/vacancies/broken", "/vacancies/whole"
# Run time after which the request crashes a backend server, and time until that backend
# server restarts.
CRASHES_AFTER_S, DOWN_S = 0.08, 0.8
CRASHES_TOLERATED = 3
# Time after the third crash within which all nodes must know of the quarantine.
KNOWN_WITHIN_S = 3.0
RUNS_AFTER_MAX = 3
RESEND_EVERY_S = 0.15
DURATION_S = 9.0


def configuration() -> dict:
    """Return settings with an idempotent and a non-idempotent route."""
    common = {
        "hostname": HOST,
        "timeout": "10s",
        "target_latency": "2s",
        "retry_attempts": 3,
        "service": "crew",
    }
    return {
        "version": "00000004",
        "services": [{"name": "crew", "health_path": "/health"}],
        "routes": [
            {"name": "look", "prefix": "/vacancies/", "kind": "safe", **common},
            {"name": "sign", "prefix": "/offers/", "kind": "unsafe", **common},
        ],
    }


def crashes_after_s(run: Run) -> float | None:
    return CRASHES_AFTER_S if run.target.startswith(CRASHING) else None


class CrashingRequestTests(TestCase):
    """Callers repeat a request that crashes backend servers, with new request ids.

    Guards against a limit on attempts that covers one request but not its repeats. Each
    of the repeats stays within its limit. Yet each run of the crashing request also
    ends all other runs at its backend server, about 100 ms after it began; the other
    runs end after 0.1 to 1.8 s.
    """

    def setUp(self):
        super().setUp()
        self.fleet = PlatformFleet()
        self.addCleanup(self.fleet.__exit__)
        self.fleet.put_configuration(configuration())
        self.nodes = self.fleet.start_nodes(NODES)
        self.servers = [self._start_server(node) for node in self.nodes]
        self._numbers = itertools.count()
        self._done = threading.Event()
        for node in self.nodes:
            wait_until(
                lambda node=node: node.known_node_count() == NODES,
                "all nodes are known",
                40,
            )
        for node in self.nodes:
            wait_until(
                lambda node=node: self._send(node, INNOCENT).status == 200,
                "all nodes serve",
            )

    def _start_server(self, node) -> CrashingServer:
        server = CrashingServer(
            node.announce_address,
            "crew",
            SLOTS,
            lambda target: 0.4,
            crashes_after_s,
            DOWN_S,
        )
        self.addCleanup(server.stop)
        return server

    def _send(self, node, target: str, method="GET", body=None) -> HttpAnswer:
        number = next(self._numbers)
        headers = {"Host": HOST, "X-Request-Id": f"{number:016x}"}
        answer = try_call(node.caller_address, target, method, body, headers, 11.0)
        return answer or HttpAnswer(0, {}, b"")

    def _repeat(self, target: str, method: str = "GET", body=None) -> list[HttpAnswer]:
        """Send a request to the nodes in turn until `_done` is set; return answers."""
        answers = []
        with ThreadPoolExecutor(64) as executor:
            sent = []
            for node in itertools.cycle(self.nodes):
                if self._done.wait(RESEND_EVERY_S):
                    break
                sent.append(executor.submit(self._send, node, target, method, body))
            answers = [one.result() for one in sent]
        return answers

    def _crashes(self) -> list[float]:
        return sorted(at for server in self.servers for at in server.crashed_s)

    def _runs_after_the_third_crash(self, target: str) -> list[Run]:
        crashes = self._crashes()
        self.assertGreaterEqual(len(crashes), CRASHES_TOLERATED)
        known_s = crashes[CRASHES_TOLERATED - 1] + KNOWN_WITHIN_S
        return [
            run
            for server in self.servers
            for run in server.runs
            if run.target == target and run.began_s > known_s
        ]

    def _repeat_all(self, *targets_methods_bodies) -> list[list[HttpAnswer]]:
        with ThreadPoolExecutor(len(targets_methods_bodies)) as executor:
            running = [
                executor.submit(self._repeat, *one) for one in targets_methods_bodies
            ]
            time.sleep(DURATION_S)
            self._done.set()
            return [one.result() for one in running]

    def test_a_lookup_that_crashes_its_backend_servers_is_soon_refused(self):
        # Guards against seconds of 502 answers. A lookup crashes each backend server
        # that starts to run it, and all other requests that run there are lost. The
        # caller sends the lookup again as a new request to any node. Without a
        # quarantine, no node would recognize it.
        answers, _ = self._repeat_all((CRASHING,), (INNOCENT,))
        after = self._runs_after_the_third_crash(CRASHING)
        self.assertLessEqual(len(after), RUNS_AFTER_MAX)
        self.assertIn(503, Counter(answer.status for answer in answers))

    def test_a_quarantine_survives_the_kill_of_all_nodes(self):
        # All nodes are killed and start again, with nothing in memory. Without the
        # quarantine in the store, the same lookup would crash three more backend
        # servers.
        self._repeat_all((CRASHING,))
        wait_until(
            lambda: self._logged("quarantine_written"), "the quarantine is stored"
        )
        for node in self.nodes:
            node.kill()
        for node in self.nodes:
            node.start()
        for node in self.nodes:
            wait_until(
                lambda node=node: self._send(node, INNOCENT).status == 200,
                "all nodes serve again",
            )
        self._done.clear()
        crashes = len(self._crashes())
        answers = [self._send(node, CRASHING) for node in self.nodes]
        self.assertEqual({503}, {answer.status for answer in answers})
        self.assertEqual({"not_run"}, {answer.outcome for answer in answers})
        self.assertEqual(crashes, len(self._crashes()))

    def _logged(self, event: str) -> bool:
        return any(
            f"event={event} " in node.log_path.read_text() for node in self.nodes
        )

    def test_requests_beside_the_causes_are_served(self):
        # Guards against the refusal of lookups that cause no crash. These lookups take
        # a second and run at all backend servers, while other requests crash the
        # backend servers repeatedly. Each lookup is lost now and then, and its caller
        # sends it again with the same path.
        targets = [f"{INNOCENT}/{number}" for number in range(8)]
        for server in self.servers:
            server._work_s = lambda target: 1.0 if target in targets else 0.2
        causes = [(f"{CRASHING}/{number}",) for number in range(3)]
        results = self._repeat_all(*causes, *((target,) for target in targets))
        refused = [
            answer.json()["reason"]
            for answers in results[len(causes) :]
            for answer in answers
            if answer.status >= 500 and answer.body
        ]
        self.assertNotIn("crashes_servers", refused)
        self.assertFalse(
            [
                node
                for node in self.nodes
                for target in targets
                if self._send(node, target).status != 200
            ]
        )

    def test_an_offer_that_crashes_its_backend_servers_is_soon_refused(self):
        # Guards against a rule that counts only a node's own retries. A node does not
        # retry a non-idempotent request, but its caller repeats it with the same path
        # and body.
        target = f"/offers{CRASHING}"
        for server in self.servers:
            server._crashes_after_s = lambda run: (
                CRASHES_AFTER_S
                if (run.target, run.body) == (target, b"signed")
                else None
            )
        self._repeat_all((target, "POST", b"signed"), (INNOCENT,))
        after = self._runs_after_the_third_crash(target)
        self.assertLessEqual(len(after), RUNS_AFTER_MAX)
