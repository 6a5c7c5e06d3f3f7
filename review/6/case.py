"""Case 6: a request reaches an upstream long after its leaving was confirmed."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))
import fleet as f  # noqa: E402

DRAIN_S = 2.0
# The largest dose of `answer_lost` with `reset` in the site file.
LOST_FRACTION, LOST_FOR_S = 0.4, 4.0
WORK_S = 3.2
SLOTS = 6
STAY_S = 8.0


class Archive:
    """What the upstreams do, and when requests reached them."""

    def __init__(self, record: f.Record) -> None:
        self.record = record
        self.lock = threading.Lock()
        self.arrivals: list[tuple[str, str, float]] = []
        # Upstreams that lose answers, and until when.
        self.loses_until_s: dict[str, float] = {}
        self.run_counts: dict[str, int] = {}

    def handle(self, upstream: f.Upstream, request: f.Request, connection) -> bool:
        """Run a request, and answer it or lose the answer."""
        name, request_id = upstream.name, request.request_id
        reused = "kept" if request.connection_number > 1 else "new"
        text = f"{name} runs {request_id} ({reused} connection, "
        text += f"X-Deadline-Ms {request.headers.get('x-deadline-ms')})"
        at_s = self.record.add(text)
        with self.lock:
            self.arrivals.append((name, request_id, at_s))
        time.sleep(float(request.target.partition("?work=")[2]))
        if self._is_lost(name):
            self.record.add(f"{name} loses its answer to {request_id}: reset")
            f.reset(connection)
            return False
        f.send_answer(connection, 200, request_id, f"s.{name}", request_id.encode())
        return True

    def _is_lost(self, name: str) -> bool:
        """Return whether the answer of a run that ends now is lost."""
        with self.lock:
            if self.record.now_s() >= self.loses_until_s.get(name, 0.0):
                return False
            count = self.run_counts[name] = self.run_counts.get(name, 0) + 1
        return int(count * LOST_FRACTION) > int((count - 1) * LOST_FRACTION)


def send_all(fleet: f.Fleet, tag: str, count: int, work_s: float) -> list:
    """Send requests at the same time, by turns through all nodes."""

    def send(number: int) -> None:
        node = fleet.nodes[number % len(fleet.nodes)]
        request_id = f"{tag}-{number}"
        fleet.record.add(f"requester sends {request_id} to {node.name}")
        answer = f.send(
            node.outbound, "GET", f"/archive/x?work={work_s}", request_id, 10_000
        )
        fleet.record.add(f"requester gets {answer.status} for {request_id}")

    threads = [threading.Thread(target=send, args=(one,)) for one in range(count)]
    for thread in threads:
        thread.start()
    return threads


def join(threads) -> None:
    """Wait for the end of threads."""
    for thread in threads:
        thread.join()


def case(record: f.Record, is_disrupted: bool) -> list[str]:
    """Let two upstreams leave while requests run there."""
    archive = Archive(record)
    with f.Fleet(record) as fleet:
        routes = [f.route("archive", "/archive/", "archive", "safe")]
        fleet.configure(f.configuration("0000000a", routes, ["archive"]))
        upstreams = [
            fleet.add(f"a{one}", "archive", SLOTS, archive.handle) for one in range(4)
        ]
        fleet.wait_ready()
        for leaving in upstreams[:2]:
            for number in range(3):
                join(send_all(fleet, f"warm-{leaving.name}-{number}", 20, 0.2))
            if is_disrupted:
                # Of four upstreams, two in all: a share of 0.5.
                archive.loses_until_s[leaving.name] = record.now_s() + LOST_FOR_S
            threads = send_all(fleet, f"work-{leaving.name}", 20, WORK_S)
            time.sleep(0.4)
            if not leaving.drain():
                raise f.CannotRun("the node did not confirm the leaving")
            join(threads)
            time.sleep(max(0.0, leaving.draining_acked_s + STAY_S - record.now_s()))
            leaving.leave()
    acked_s = {one.name: one.draining_acked_s for one in upstreams}
    return [
        f"DRAIN: {request_id} reached {name} {at_s - acked_s[name]:.2f} s after the "
        "confirmation of its leaving"
        for name, request_id, at_s in archive.arrivals
        if acked_s[name] is not None and at_s > acked_s[name] + DRAIN_S
    ]


if __name__ == "__main__":
    f.run_case(case, Path(__file__).resolve().parent)
