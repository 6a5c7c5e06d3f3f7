"""A node that was killed after it confirmed a leave sends work to that upstream."""

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
    Work,
    call,
    has_trouble,
    play,
)

HOST_NAME = "jepu9.example"
WORK_S, DEADLINE_MS = 0.52, 12_000
REQUESTERS = 6
DRAIN_S, STABILITY_S = 2.0, 3.0
KILL_AFTER_S, RESTART_AFTER_S = 0.3, 0.5
# The heartbeat is sent this much before the leave, and arrives this much after it.
SENT_BEFORE_S, LATE_S = 0.1, 3.0
# How long the upstream serves after the confirmation of its leave.
SERVES_S = 10.0
CONFIG = {
    "version": "00000007",
    "routes": [
        {
            "name": "offer-sign",
            "hostname": HOST_NAME,
            "prefix": "/puka111/",
            "kind": "unsafe",
            "timeout": "8s",
            "target_latency": "2s",
            "priority": 1,
            "service": "wuno96b",
            "retry_attempts": 2,
        }
    ],
    "services": [{"name": "wuno96b", "health_path": "/health"}],
}


class Case:
    """The deployment, and what its requesters and upstreams have seen."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment, self.record = deployment, deployment.record
        self.entry = deployment.add_node("sidecar-1", "huvo11a")
        self.gate = deployment.add_node("sidecar-2", "wuno96b")
        self.other = deployment.add_node("sidecar-3", "wuno96b")
        deployment.put_config(CONFIG)
        deployment.wait_ready()
        self.leaving = deployment.add_upstream("i-7f3a91c2", self.gate, self._work)
        deployment.add_upstream("i-02d9e6b4", self.other, self._work)
        self.requests_end = threading.Event()
        self.answers: list[Answer] = []

    @staticmethod
    def _work(path: str) -> Work:
        return Work(WORK_S)

    def play(self) -> bool:
        """Play the case; return whether the rule held."""
        self._wait_served()
        requesters = [threading.Thread(target=self._request) for _ in range(REQUESTERS)]
        for thread in requesters:
            thread.start()
        time.sleep(2)
        confirmed_s = self._leave()
        started_s = self._kill_and_restart(confirmed_s)
        _sleep_until(confirmed_s + SERVES_S)
        self.record.write(f"{self.leaving.name} exits")
        self.leaving.end()
        self.requests_end.set()
        for thread in requesters:
            thread.join()
        return self._judge(confirmed_s, started_s)

    def _wait_served(self) -> None:
        """Wait until both upstreams serve, and then for `stability`."""
        requester = Requester(self.entry, self.record)
        self.deployment.wait(
            "both upstreams to serve",
            lambda: (
                self._send(requester).status == 200
                and all(upstream.runs for upstream in self.deployment.upstreams)
            ),
        )
        time.sleep(STABILITY_S + 0.5)

    def _send(self, requester: Requester) -> Answer:
        path, body = "/puka111/2f", b"offer"
        return requester.send("POST", HOST_NAME, path, DEADLINE_MS, body)

    def _request(self) -> None:
        requester = Requester(self.entry, self.record)
        while not self.requests_end.is_set():
            self.answers.append(self._send(requester))
            time.sleep(0.02)

    def _leave(self) -> float:
        """Let the upstream leave with a DELETE; return when that was confirmed.

        Its last heartbeat was sent before, and arrives `LATE_S` after it.
        """
        upstream = self.leaving
        upstream.beats = False
        body = upstream.announcement()
        self.record.write(f"{upstream.name} sends a heartbeat, which is late")
        time.sleep(SENT_BEFORE_S)
        path = f"/instances/{upstream.name}"
        if call(upstream.control, "DELETE", path, timeout_s=1.0) != 200:
            raise CaseNotRun("the leave was not confirmed")
        confirmed_s = time.monotonic()
        self.record.write(f"{upstream.name}: its leave is confirmed")

        def arrive() -> None:
            _sleep_until(confirmed_s + LATE_S)
            status = call(upstream.control, "PUT", path, body, 1.0)
            self.record.write(f"{upstream.name}: the late heartbeat arrives: {status}")

        threading.Thread(target=arrive, daemon=True).start()
        return confirmed_s

    def _kill_and_restart(self, confirmed_s: float) -> float:
        """Kill the node that confirmed and start it again; return when it started."""
        if not has_trouble():
            return confirmed_s
        _sleep_until(confirmed_s + KILL_AFTER_S)
        self.gate.signal(signal.SIGKILL)
        self.gate.process.wait()
        time.sleep(RESTART_AFTER_S)
        self.gate.start()
        return time.monotonic()

    def _judge(self, confirmed_s: float, started_s: float) -> bool:
        """Return whether the rule held.

        Counted are requests that were sent, and that reached the upstream, later than
        `drain` after the confirmation and `stability` after the restart.
        """
        bound_s = max(confirmed_s + DRAIN_S, started_s + STABILITY_S) + 0.2
        sent_s = {answer.request_id: answer.sent_s for answer in self.answers}
        late = [
            run
            for run in self.leaving.runs
            if run.began_s > bound_s and sent_s.get(run.request_id, 0.0) > bound_s
        ]
        if late:
            latest_s = max(run.began_s for run in late) - confirmed_s
            self.record.write(
                f"{len(late)} requests reached {self.leaving.name} too late, the last"
                f" one {latest_s:.1f} s after the confirmation"
            )
        lost = [run for run in late if run.was_cut or run.ended_s is None]
        self.record.write(f"{len(lost)} of them were lost when it exited")
        return not late


def _sleep_until(time_s: float) -> None:
    time.sleep(max(0.0, time_s - time.monotonic()))


if __name__ == "__main__":
    play(FOLDER, lambda deployment: Case(deployment).play())
