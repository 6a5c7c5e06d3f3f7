"""Case 8: requests that are sent once more hand upstreams more time than is left."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))
import fleet as f  # noqa: E402

# The rule's bounds: 0.5 s, 20 requests, a fifth.
SLACK_S, COUNT_MAX, FRACTION_MAX = 0.5, 20, 0.2
# The largest dose of `answer_lost` with `reset` in the site file.
LOST_FRACTION = 0.4
UPSTREAMS, LOSING = 4, 2
SLOTS = 6
WORK_S = 1.2
DEADLINE_MS = 10_000
ROUNDS, PER_ROUND = 18, 16


class Runs:
    """What the upstreams do, and with which time requests reached them."""

    def __init__(self, record: f.Record) -> None:
        self.record = record
        self.lock = threading.Lock()
        self.loses = False
        self.run_counts: dict[str, int] = {}
        # By request: when each send arrived, and when its X-Deadline-Ms ends.
        self.sends: dict[str, list[tuple[float, float]]] = {}
        self.sent_s: dict[str, float] = {}

    def handle(self, upstream: f.Upstream, request: f.Request, connection) -> bool:
        """Run a request, and answer it or lose the answer."""
        request_id = request.request_id
        deadline_ms = request.headers["x-deadline-ms"]
        at_s = self.record.add(f"{upstream.name} runs {request_id}, {deadline_ms} ms")
        with self.lock:
            ends_s = at_s + float(deadline_ms) / 1000
            self.sends.setdefault(request_id, []).append((at_s, ends_s))
        time.sleep(float(request.target.partition("?work=")[2]))
        if self._is_lost(upstream.name):
            self.record.add(f"{upstream.name} loses its answer to {request_id}: reset")
            f.reset(connection)
            return False
        f.send_answer(connection, 200, request_id, f"s.{upstream.name}", b"ok")
        return True

    def _is_lost(self, name: str) -> bool:
        """Return whether the answer of a run that ends now is lost."""
        if not self.loses or int(name[1:]) >= LOSING:
            return False
        with self.lock:
            count = self.run_counts[name] = self.run_counts.get(name, 0) + 1
        return int(count * LOST_FRACTION) > int((count - 1) * LOST_FRACTION)


def send_all(fleet: f.Fleet, runs: Runs, tag: str, work_s: float) -> None:
    """Send requests at the same time, and wait for the answers."""

    def send(number: int) -> None:
        node = fleet.nodes[number % len(fleet.nodes)]
        request_id = f"{tag}-{number}"
        runs.sent_s[request_id] = fleet.record.add(f"requester sends {request_id}")
        answer = f.send(
            node.outbound, "GET", f"/read/x?work={work_s}", request_id, DEADLINE_MS
        )
        fleet.record.add(f"requester gets {answer.status} for {request_id}")

    threads = [threading.Thread(target=send, args=(one,)) for one in range(PER_ROUND)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def case(record: f.Record, is_disrupted: bool) -> list[str]:
    """Send requests while some upstreams lose answers."""
    runs = Runs(record)
    with f.Fleet(record) as fleet:
        routes = [f.route("read", "/read/", "read", "safe", timeout="10s")]
        fleet.configure(f.configuration("0000000a", routes, ["read"]))
        for one in range(UPSTREAMS):
            fleet.add(f"r{one}", "read", SLOTS, runs.handle)
        fleet.wait_ready()
        for number in range(3):
            send_all(fleet, runs, f"warm-{number}", 0.2)
        runs.loses = is_disrupted
        for number in range(ROUNDS):
            send_all(fleet, runs, f"work-{number}", WORK_S)
    late, over = 0, []
    for request_id, sends in runs.sends.items():
        first_s, first_ends_s = sends[0]
        own_ends_s = runs.sent_s[request_id] + DEADLINE_MS / 1000
        for at_s, ends_s in sends[1:]:
            if at_s <= first_s + SLACK_S:
                continue
            late += 1
            if ends_s > max(first_ends_s, own_ends_s) + SLACK_S:
                over.append((request_id, at_s - first_s, ends_s - own_ends_s))
    record.add(
        f"{late} sent once more over 0.5 s later, {len(over)} with too much time"
    )
    if len(over) <= COUNT_MAX or len(over) <= FRACTION_MAX * late:
        return []
    return [
        f"BUDGET: {request_id} was sent once more {later_s:.2f} s later, with an "
        f"X-Deadline-Ms that ends {too_long_s:.2f} s after the requester's"
        for request_id, later_s, too_long_s in over
    ]


if __name__ == "__main__":
    f.run_case(case, Path(__file__).resolve().parent)
