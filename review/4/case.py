"""Case 4: a restarted node sends orders to an upstream whose leaving was confirmed."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common-2"))
import fleet as f  # noqa: E402

DRAIN_S, STABILITY_S = 2.0, 3.0
SLOTS = 2
WORK_S = 0.5
KILL_AFTER_S, RESTART_AFTER_S = 0.3, 0.5
# When a heartbeat from before the leaving arrives, after the confirmation.
LATE_S = 2.5
STAY_S = 9.0
REQUESTS_PER_S = 8.0


class Orders:
    """What the upstreams do, and when orders reached them."""

    def __init__(self, record: f.Record) -> None:
        self.record = record
        self.lock = threading.Lock()
        self.arrivals: list[tuple[str, str, float]] = []

    def handle(self, upstream: f.Upstream, request: f.Request, connection) -> bool:
        """Run an order and answer it."""
        request_id = request.request_id
        at_s = self.record.add(f"{upstream.name} runs {request_id}")
        with self.lock:
            self.arrivals.append((upstream.name, request_id, at_s))
        time.sleep(WORK_S)
        f.send_answer(connection, 200, request_id, f"s.{upstream.name}", b"ok")
        return True


def send(record: f.Record, node, request_id: str) -> None:
    """Send one order and record its answer."""
    record.add(f"requester sends {request_id} to {node.name}")
    answer = f.send(node.outbound, "POST", "/orders/x", request_id, 10_000, b"order")
    record.add(f"requester gets {answer.status} for {request_id}")


def case(record: f.Record, is_disrupted: bool) -> list[str]:
    """Let an upstream leave, and kill the node that confirmed it."""
    orders = Orders(record)
    is_over = threading.Event()

    def press(nodes) -> None:
        number = 0
        while not is_over.wait(1 / REQUESTS_PER_S):
            number += 1
            node = nodes[number % len(nodes)]
            arguments = (record, node, f"order-{number}")
            threading.Thread(target=send, args=arguments, daemon=True).start()

    with f.Fleet(record) as fleet:
        routes = [f.route("orders", "/orders/", "orders", "unsafe")]
        fleet.configure(f.configuration("0000000a", routes, ["orders"]))
        upstreams = [
            fleet.add(f"o{one}", "orders", SLOTS, orders.handle) for one in range(3)
        ]
        fleet.wait_ready()
        leaving, node = upstreams[0], fleet.nodes[0]
        threading.Thread(target=press, args=(fleet.nodes[1:],), daemon=True).start()
        time.sleep(3.0)
        # Sent before the leaving; it arrives seconds late.
        late_heartbeat = leaving.make_heartbeat()
        if not leaving.send_delete():
            raise f.CannotRun("the node did not confirm the leaving")
        acked_s = record.now_s()
        time.sleep(KILL_AFTER_S)
        started_s = record.now_s()
        if is_disrupted:
            node.process.kill()
            node.process.wait()
            record.add(f"{node.name} killed")
            time.sleep(RESTART_AFTER_S)
            node.start()
            started_s = record.add(f"{node.name} started again")
        time.sleep(max(0.0, acked_s + LATE_S - record.now_s()))
        f.wait_until(node.is_ready, "the node ready", timeout_s=3.0)
        leaving.deliver_late(late_heartbeat)
        time.sleep(max(0.0, acked_s + STAY_S - record.now_s()))
        leaving.exit()
        time.sleep(2.0)
        is_over.set()
        time.sleep(1.5)
    return [
        f"DRAIN: {request_id} reached {name} {at_s - acked_s:.2f} s after the "
        f"confirmation, {at_s - started_s:.2f} s after the start of its node"
        for name, request_id, at_s in orders.arrivals
        if name == leaving.name
        and at_s > acked_s + DRAIN_S
        and at_s > started_s + STABILITY_S
    ]


if __name__ == "__main__":
    f.run_case(case, Path(__file__).resolve().parent)
