"""An answer without a length that is cut by its node's stop looks complete."""

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
    has_trouble,
    play,
    signature_of,
)

HOST_NAME = "jepu9.example"
# Within the site's `clearance-check`: work up to 9.6 s, time budget 20 s.
WORK_S, FIRST_PART_S = 8.0, 0.5
STOP_AFTER_S = 1.5
DEADLINE_MS = 20_000
BODY = bytes(ord("a") + number % 26 for number in range(2400))
CONFIG = {
    "version": "00000007",
    "routes": [
        {
            "name": "clearance-check",
            "hostname": HOST_NAME,
            "prefix": "/lepu270/",
            "kind": "safe",
            "timeout": "10s",
            "target_latency": "4s",
            "priority": 2,
            "service": "wuno96b",
            "retry_attempts": 2,
        }
    ],
    "services": [{"name": "wuno96b", "health_path": "/health"}],
}


def work(path: str) -> Work:
    """Return how the upstream answers a path."""
    if path.endswith("/long"):
        return Work(WORK_S, FIRST_PART_S, has_length=False, body=BODY)
    return Work()


def case(deployment: Deployment) -> bool:
    """Send long requests, stop the node beside their upstream; judge the answers."""
    record = deployment.record
    entry = deployment.add_node("sidecar-1", "huvo11a")
    gate = deployment.add_node("sidecar-2", "wuno96b")
    deployment.add_node("sidecar-3", "huvo11a")
    deployment.put_config(CONFIG)
    deployment.wait_ready()
    deployment.add_upstream("i-7f3a91c2", gate, work)
    probe = Requester(entry, record)
    deployment.wait(
        "a first answer",
        lambda: probe.send("GET", HOST_NAME, "/lepu270/a", 2000).status == 200,
    )
    # All machines are calm for `stability` before the requests.
    time.sleep(3.5)
    answers: list[Answer] = []

    def request() -> None:
        requester = Requester(entry, record)
        path = "/lepu270/long"
        answers.append(requester.send("GET", HOST_NAME, path, DEADLINE_MS))

    threads = [threading.Thread(target=request) for _ in range(3)]
    for thread in threads:
        thread.start()
    time.sleep(STOP_AFTER_S)
    if has_trouble():
        gate.signal(signal.SIGTERM)
    for thread in threads:
        thread.join()
    if len(answers) != len(threads):
        raise CaseNotRun("a requester failed")
    return not any(map(is_mixed, answers))


def is_mixed(answer: Answer) -> bool:
    """Return whether a success isn't the upstream's whole body."""
    is_success = 200 <= answer.status < 300
    return is_success and answer.signature != signature_of(answer.body)


if __name__ == "__main__":
    play(FOLDER, case)
