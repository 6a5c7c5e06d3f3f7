"""A leaving node breaks off orders that it takes for calls of another request."""

import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from deployment import (  # noqa: E402
    Answer,
    CaseNotRun,
    Deployment,
    Requester,
    Upstream,
    Work,
    has_trouble,
    play,
)

HOST_NAME = "ficu95.example"
ORDER_PATH, READ_PATH, FETCH_PATH = "/pufi791/", "/lohu930/", "/geru118/"
# Work of stackup-read has a mean of 1.1 s and a maximum of 12 s; that of fab-order a
# maximum of 3.9 s.
SLOW_READ_S, FAST_READ_S, ORDER_S, LONG_ORDER_S = 4.0, 0.6, 0.1, 3.0
ORDER_DEADLINE_MS, READ_DEADLINE_MS = 4000, 10_000
FIRST_ORDERS, LAST_ORDERS = 30, 10
GRACE_S = 6.0
CONFIG = {
    "version": "00000007",
    "routes": [
        {
            "name": "fab-order",
            "hostname": HOST_NAME,
            "prefix": ORDER_PATH,
            "kind": "unsafe",
            "timeout": "4168ms",
            "target_latency": "2084ms",
            "priority": 1,
            "service": "huvo11a",
            "retry_attempts": 2,
        },
        {
            "name": "stackup-read",
            "hostname": HOST_NAME,
            "prefix": READ_PATH,
            "kind": "safe",
            "timeout": "10231ms",
            "target_latency": "4092ms",
            "priority": 2,
            "service": "wuno96b",
            "retry_attempts": 2,
        },
        {
            "name": "gerber-fetch",
            "hostname": HOST_NAME,
            "prefix": FETCH_PATH,
            "kind": "download",
            "timeout": "5623ms",
            "target_latency": "2249ms",
            "priority": 2,
            "service": "wuno96b",
            "retry_attempts": 2,
        },
    ],
    "services": [
        {"name": "huvo11a", "health_path": "/health"},
        {"name": "wuno96b", "health_path": "/health"},
    ],
}


def order_work(path: str) -> Work:
    """Return how the upstream of the orders answers a path."""
    return Work(LONG_ORDER_S if path.endswith("/long") else ORDER_S)


class Case:
    """The deployment, and what its requesters have seen."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment, self.record = deployment, deployment.record
        zones = ("porto-a", "porto-b")
        self.leaving = deployment.add_node("sidecar-1", "wuno96b", zones[0], zones)
        self.entry = deployment.add_node("sidecar-2", "huvo11a", zones[0], zones)
        self.other = deployment.add_node("sidecar-3", "wuno96b", zones[1], zones)
        deployment.put_config(CONFIG)
        deployment.wait_ready()
        add = deployment.add_upstream
        self.slow = add("i-7f3a91c2", self.leaving, lambda path: Work(SLOW_READ_S))
        self.orders = add("i-02d9e6b4", self.entry, order_work)
        add("i-5ce80a17", self.other, lambda path: Work(FAST_READ_S))
        self.reads_end = threading.Event()
        self.victims: list[Answer] = []

    def play(self) -> bool:
        """Play the case; return whether the rule held."""
        self._wait_served()
        reader = threading.Thread(target=self._read, daemon=True)
        reader.start()
        self._wait_run(self.slow, 0)
        self._order_shortly(FIRST_ORDERS)
        self._wait_run(self.slow, len(self.slow.runs))
        self._order_shortly(LAST_ORDERS)
        threads = [threading.Thread(target=self._order_long) for _ in range(3)]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        stopped_s = time.monotonic()
        if has_trouble():
            self.leaving.signal(signal.SIGTERM)
        for thread in threads:
            thread.join()
        self.reads_end.set()
        reader.join(READ_DEADLINE_MS / 1000)
        if len(self.victims) != len(threads):
            raise CaseNotRun("a requester failed")
        return not any(self._is_lost(answer, stopped_s) for answer in self.victims)

    def _wait_served(self) -> None:
        """Wait until the nodes serve, and then for `stability`."""
        buyer = Requester(self.leaving, self.record)
        reader = Requester(self.entry, self.record)
        wait = self.deployment.wait
        wait("a first order", lambda: self._order(buyer, "a").status == 200)
        wait(
            "a first read",
            lambda: self._send_read(reader).status == 200 and bool(self.slow.runs),
        )
        time.sleep(3.5)

    def _read(self) -> None:
        """Read one stackup after the other at the entry node."""
        reader = Requester(self.entry, self.record)
        while not self.reads_end.is_set():
            self._send_read(reader)

    def _send_read(self, reader: Requester) -> Answer:
        return reader.send("GET", HOST_NAME, f"{READ_PATH}a", READ_DEADLINE_MS)

    def _order(self, buyer: Requester, name: str) -> Answer:
        path, body = f"{ORDER_PATH}{name}", b"panel"
        return buyer.send("POST", HOST_NAME, path, ORDER_DEADLINE_MS, body)

    def _order_shortly(self, count: int) -> None:
        """Send short orders, one after the other, at the node that is to leave."""
        buyer = Requester(self.leaving, self.record)
        for _ in range(count):
            self._order(buyer, "a")
            time.sleep(0.05)

    def _order_long(self) -> None:
        buyer = Requester(self.leaving, self.record)
        self.victims.append(self._order(buyer, "long"))

    def _wait_run(self, upstream: Upstream, known: int) -> None:
        """Wait until an upstream starts a run that is not yet known."""
        end_s = time.monotonic() + 20
        while len(upstream.runs) <= known:
            if time.monotonic() > end_s:
                raise CaseNotRun(f"{upstream.name} got no request")
            time.sleep(0.02)

    def _is_lost(self, answer: Answer, stopped_s: float) -> bool:
        """Return whether an order was broken off while its upstream was at work.

        What ends in the last sixth of `grace`, or when its time is used up, is excused.
        """
        runs = [run for run in self.orders.runs if run.request_id == answer.request_id]
        in_time = answer.ended_s - answer.sent_s < ORDER_DEADLINE_MS / 1000 - 0.1
        is_early = answer.ended_s - stopped_s < GRACE_S * 5 / 6 - 0.1
        was_cut = any(run.was_cut for run in runs)
        return was_cut and answer.signature is None and in_time and is_early


if __name__ == "__main__":
    play(FOLDER, lambda deployment: Case(deployment).play())
