"""Answers without end: what a node holds for them, and what its callers get."""

import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from testtools import TestCase

from tests.endless_server import ENDLESS, EndlessServer
from tests.raw_server import RawServer, answer_with_length
from tests.utils import HttpAnswer, call, start_fleet, try_call, wait_until

SLOTS = 40
TIMEOUT_MS = 3000
# A caller gets its answer at the latest this long after its timeout.
LATE_MAX_S = 1.0
ANNOUNCEMENT_INTERVAL_S = 1.0
# The memory that the platform allows to a node.
MEMORY_MAX_BYTES = 300 * 1024 * 1024
SOUND = "crew/sound"


def _service(kind: str) -> str:
    return f"crew/{kind}"


SETTINGS = {
    f"crew/services/{kind}": {} for kind in [*ENDLESS, SOUND.partition("/")[2]]
} | {
    f"crew/routes/{kind}": {
        "service": _service(kind),
        "execution": "idempotent",
        "path_prefix": f"/{kind}",
        "timeout_ms": TIMEOUT_MS,
        "attempts_max": 1,
    }
    for kind in [*ENDLESS, "sound"]
}


class EndlessAnswerTests(TestCase):
    """One node; for each kind of answer a backend server with `SLOTS` slots."""

    def setUp(self):
        super().setUp()
        self.fleet = start_fleet(self, SETTINGS)
        self.node = self.fleet.start_node("node", "zone-1", takes_unframed_answers=True)
        self.fleet.wait_ready([self.node], [])
        self.servers = {}
        self.announcements = {}
        self.ended = threading.Event()
        self.addCleanup(self.ended.set)
        threading.Thread(target=self._keep_announcing, daemon=True).start()
        sound = RawServer(lambda number: (answer_with_length(b"sound"), False))
        self.addCleanup(sound.close)
        self._announce("sound", sound.address)

    def _announce(self, kind: str, address: str) -> None:
        announcement = {
            "service": _service(kind),
            "address": address,
            "slots": SLOTS,
            "boot_id": "1",
        }
        self.announcements[kind] = json.dumps(announcement).encode()
        self._send_announcement(kind)

    def _send_announcement(self, kind: str) -> None:
        path, body = f"/backend-servers/{kind}", self.announcements[kind]
        try_call(self.node.admin_address, path, "PUT", body)

    def _keep_announcing(self) -> None:
        while not self.ended.wait(ANNOUNCEMENT_INTERVAL_S):
            for kind in list(self.announcements):
                self._send_announcement(kind)

    def _start(self, kind: str, **options) -> EndlessServer:
        server = EndlessServer(kind, **options)
        self.addCleanup(server.close)
        self._announce(kind, server.address)
        self.fleet.wait_ready([self.node], ["sound", kind])
        self.servers[kind] = server
        return server

    def _call(self, kind: str) -> tuple[HttpAnswer, float]:
        """Return the answer, and how many seconds it took."""
        started_s = time.monotonic()
        answer = call(self.node.caller_address, f"/{kind}/1", timeout_s=30)
        return answer, time.monotonic() - started_s

    def _call_all(self, kinds: list[str]) -> None:
        """Send a request for each kind at the same time; check what the callers get."""
        with ThreadPoolExecutor(len(kinds)) as executor:
            ended = list(executor.map(self._call, kinds))
        for kind, (answer, took_s) in zip(kinds, ended, strict=True):
            self.assertIn(answer.status, (502, 504), kind)
            self.assertEqual("unknown", answer.outcome, kind)
            self.assertLess(took_s, TIMEOUT_MS / 1000 + LATE_MAX_S, kind)

    def _check_node(self) -> None:
        """Check the peak of the node's memory, and that it serves and has cut calls."""
        self.assertLess(self._memory_peak_bytes(), MEMORY_MAX_BYTES)
        wait_until(
            lambda: not any(server.open_count for server in self.servers.values()),
            "the node has closed all connections",
            timeout_s=5.0,
        )
        answer, _ = self._call("sound")
        self.assertEqual((200, b"sound"), (answer.status, answer.body))

    def _memory_peak_bytes(self) -> int:
        with open(f"/proc/{self.node.process.pid}/status") as status:
            [line] = [line for line in status if line.startswith("VmHWM:")]
        return int(line.split()[1]) * 1024

    def test_all_slots_with_endless_answers_stay_within_the_memory_of_a_node(self):
        # Guards against a node that is killed for its memory because each of its
        # answers is bounded, but not all together.
        for kind in ("no-length", "chunks", "too-long", "error-body"):
            self._start(kind)
            self._call_all([kind] * SLOTS)
            self._check_node()

    def test_answers_of_every_kind_without_end_are_cut_off(self):
        # Guards against heads, chunks or trailers that no limit ends.
        for kind in ENDLESS:
            self._start(kind)
        self._call_all(list(ENDLESS) * 3)
        self._check_node()

    def test_answers_that_trickle_without_end_are_cut_off(self):
        # Guards against bytes that come slowly, so that no limit on size ends them.
        for kind in ENDLESS:
            self._start(kind, is_trickling=True)
        self._call_all(list(ENDLESS))
        self._check_node()

    def test_health_answers_without_end_are_cut_off(self):
        # Guards against status checks that fill the memory of a node.
        for kind in ENDLESS:
            self._start(kind, is_healthy=False)
        # A backend server is checked once it has failed a request.
        self._call_all(list(ENDLESS))
        wait_until(
            lambda: all(server.check_count for server in self.servers.values()),
            "each is checked",
        )
        for server in self.servers.values():
            server.close()
        self._check_node()

    def test_bytes_without_end_on_an_idle_connection_do_no_harm(self):
        # Guards against bytes after an answer that are held, or that become the answer
        # to the next request.
        whole = answer_with_length(b"whole")
        for kind in ENDLESS:
            self._start(kind, answer=whole)
        for _ in range(3):
            for kind in ENDLESS:
                answer, _ = self._call(kind)
                self.assertEqual((200, b"whole"), (answer.status, answer.body), kind)
        self.assertLess(self._memory_peak_bytes(), MEMORY_MAX_BYTES)
