"""A backend server in the test's process that announces terms in its answers."""

import threading
import time
from collections import defaultdict
from concurrent.futures import ThreadPoolExecutor
from http.client import HTTPException

from balsamspindle.protocol.header_names import DEFAULT_HEADER_NAMES
from balsamspindle.standins.backend_server import Announcer, StandinBackendServer
from tests.utils import NodeProgram, call, free_port

__all__ = [
    "LEAVING_HEADER",
    "LIMIT_HEADER",
    "AnnouncingServer",
    "Callers",
    "most_in_window",
]

LIMIT_HEADER = DEFAULT_HEADER_NAMES.server_limit
LEAVING_HEADER = DEFAULT_HEADER_NAMES.server_leaving
SLOTS = 6


class AnnouncingServer(StandinBackendServer):
    """A stand-in that records when requests arrive; status checks are left out.

    Attributes
    ----------
    node_name : str
        Id of the node beside which it runs.
    """

    def __init__(
        self, name: str, service: str, node: NodeProgram, work_s=0.05, slots=SLOTS
    ):
        address = ("127.0.0.1", free_port())
        super().__init__(address, name, work_s)
        self.node_name = node.settings["node_id"]
        self.arrivals_s: list[float] = []
        self._announcement = {
            "service": service,
            "address": f"127.0.0.1:{address[1]}",
            "slots": slots,
            "boot_id": "1",
        }
        self.announce_to(node)
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def announce_to(self, node: NodeProgram) -> None:
        """Announce the server to a node from now on."""
        announcer = Announcer(node.admin_address, self.name, self._announcement, 0.5)
        threading.Thread(target=announcer.run, daemon=True).start()

    def next_fault(self):
        """Record an arrival; see `StandinBackendServer`."""
        self.arrivals_s.append(time.monotonic())
        return super().next_fault()

    def set_terms(self, limit: str | None = None, is_leaving: bool = False) -> float:
        """Announce these terms in all answers from now on; return the present time."""
        headers = {} if limit is None else {LIMIT_HEADER: limit}
        if is_leaving:
            headers[LEAVING_HEADER] = "1"
        self.fault.headers = headers
        return time.monotonic()


class Callers:
    """Callers that send a steady number of requests per second to some nodes.

    Attributes
    ----------
    answers : list of (float, HttpAnswer, float)
        For each request: when it was sent, its answer, and how long it took in s.
        Requests without an answer are left out.
    """

    def __init__(self, nodes: list[NodeProgram], rate_per_s: float, path: str) -> None:
        self.answers = []
        self._answers_by_node = defaultdict(list)
        self._nodes = nodes
        self._interval_s = 1 / rate_per_s
        self._path = path
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Send no more requests, and wait for the answers to those sent."""
        self._stopped.set()
        self._thread.join()

    def answers_of(self, node: NodeProgram) -> list:
        """Return those of `answers` that a node gave."""
        return list(self._answers_by_node[node.caller_address])

    def _run(self) -> None:
        with ThreadPoolExecutor(64) as executor:
            number = 0
            while not self._stopped.wait(self._interval_s):
                node = self._nodes[number % len(self._nodes)]
                executor.submit(self._call, node)
                number += 1

    def _call(self, node: NodeProgram) -> None:
        sent_s = time.monotonic()
        try:
            answer = call(node.caller_address, self._path, timeout_s=5.0)
        except (OSError, HTTPException):
            return
        ended = sent_s, answer, time.monotonic() - sent_s
        self.answers.append(ended)
        self._answers_by_node[node.caller_address].append(ended)


def most_in_window(times_s: list[float], window_s: float, from_s: float) -> int:
    """Return the most events that any window has which begins after `from_s`."""
    times_s = sorted(time_s for time_s in times_s if time_s >= from_s)
    return max(
        (
            sum(first_s <= time_s < first_s + window_s for time_s in times_s)
            for first_s in times_s
        ),
        default=0,
    )
