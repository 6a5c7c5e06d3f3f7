"""Requests whose outcome may become unknown because their nodes leave."""

import signal
import threading
import time

from testtools import TestCase
from testtools.content import text_content

from tests.leaving_utils import SteadyCaller, read_events
from tests.utils import HttpAnswer, NodeProgram, call, start_fleet, wait_until

SERVICE = "crew/contracts"
SHUTDOWN_TIMEOUT_S = 3.0
# Number of callers that keep the far gate busy. Its two slots serve a sixth of them at
# once.
BUSY_CALLERS = 12
# These are the settings that result from the platform's configuration, except for the
# timeouts, which let each test control the order of events. Answers within
# `slow_ms_min` never count as slow.
SETTINGS = {
    "crew/services/contracts": {
        "detection": {
            "independent_errors": True,
            "slow_ms_min": 8000,
            "hold_out_s": 0.05,
            "hold_out_max_s": 1.0,
            "hold_out_growth": 4.0,
            "trial_successes": 1,
            "calm_s": 1.0,
        },
        "retry_budget": {"fraction": 0.08, "fleet_per_s_min": 4.0, "on_errors": True},
        "queue_max": 64,
    },
    "crew/routes/read": {
        "service": SERVICE,
        "execution": "idempotent",
        "path_prefix": "/contracts",
        "methods": ["GET"],
        "timeout_ms": 20000,
        "target_ms": 8000,
        "attempts_max": 3,
        "weight": 0.5,
    },
    "crew/routes/search": {
        "service": SERVICE,
        "execution": "idempotent",
        "path_prefix": "/contracts/search",
        "methods": ["GET"],
        "timeout_ms": 10000,
        "target_ms": 1000,
        "attempts_max": 3,
        "weight": 0.5,
    },
    "crew/routes/sign": {
        "service": SERVICE,
        "execution": "non_idempotent",
        "path_prefix": "/signatures",
        "methods": ["POST"],
        "timeout_ms": 20000,
        "target_ms": 8000,
        "attempts_max": 3,
        "weight": 0.5,
    },
}


class Caller(threading.Thread):
    """Sends one request and stores its answer."""

    def __init__(self, node: NodeProgram, run_key: str, target: str, method="GET"):
        super().__init__(name=run_key, daemon=True)
        self._call = (node.caller_address, target, method)
        self._answer: HttpAnswer | None = None
        self.start()

    def run(self) -> None:
        headers = {"X-Run-Key": self.name}
        self._answer = call(*self._call, headers=headers, timeout_s=30)

    def answer(self) -> HttpAnswer:
        """Wait for the answer and return it."""
        self.join()
        assert self._answer is not None, f"{self.name} got no answer"
        return self._answer


def events_at(node: NodeProgram, name: str) -> list[dict[str, str]]:
    """Return the events of one name in the log of a node so far."""
    return [event for event in read_events(node.log_path) if event["event"] == name]


class LeavingInDoubtTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = start_fleet(self, SETTINGS)
        # The ingress has no backend server of its own, so all its requests are sent to
        # other nodes, and first to the one in its availability zone.
        self.ingress = self._start_node("ingress", "zone-0")
        self.near = self._start_node("near", "zone-0")

    def _start_node(self, name: str, zone: str) -> NodeProgram:
        node = self.fleet.start_node(
            name, zone, shutdown_timeout_s=SHUTDOWN_TIMEOUT_S, ready_notice_s=0.5
        )
        # Attach the log to the report of a failed test.
        self.addCleanup(
            lambda: self.addDetail(name, text_content(node.log_path.read_text()))
        )
        return node

    def _wait_for_runs_at_near(self, count: int) -> None:
        wait_until(
            lambda: len(events_at(self.near, "attempt_dispatched")) >= count,
            f"{count} runs started at the near gate",
        )

    def _queued_elsewhere(self) -> int:
        sent = events_at(self.ingress, "attempt_sent")
        return sum(event["sought"] == "queue" for event in sent)

    def test_a_read_cut_by_one_restart_is_answered_before_the_next_restart(self):
        # Guards against 504 and 'unknown' for a read that could be repeated, because
        # another backend server is free all the time. The gate that runs the read gets
        # SIGTERM and cuts the run after its shutdown timeout. The ingress must send the
        # second attempt as soon as it learns that the gate is leaving. If the ingress
        # waited for the cut, it might be leaving as well by then, and might end before
        # the second attempt ends.
        far = self._start_node("far", "zone-1")
        self.fleet.start_backend("contract-near", SERVICE, self.near, work_ms=15000)
        server = self.fleet.start_backend("contract-far", SERVICE, far, work_ms=2500)
        self.fleet.wait_ready(
            [self.ingress, self.near, far], ["contract-near", "contract-far"]
        )
        caller = Caller(self.ingress, "read", "/contracts/1")
        self._wait_for_runs_at_near(1)
        time.sleep(0.6)
        self.near.signal(signal.SIGTERM)
        time.sleep(1.5)
        self.ingress.signal(signal.SIGTERM)
        answer = caller.answer()
        self.assertEqual((200, "answered"), (answer.status, answer.outcome))
        self.assertEqual(
            ("contract-far", "/contracts/1", "read"),
            tuple(answer.json()[name] for name in ("server", "target", "run_key")),
        )
        self.assertEqual({"read": 1}, server.runs())
        self.assertEqual(0, self.ingress.process.wait(10))

    def test_requests_queued_elsewhere_do_not_start_as_their_ingress_ends(self):
        # Guards against 504 and 'unknown' for two requests that must not run twice.
        # They wait for the only slot at another node's gate when their ingress gets
        # SIGTERM. The slot becomes free half a second before the ingress ends. This is
        # too late for a run of 1.5 seconds: the ingress would give up the request
        # before its answer, so the gate must not start it. The ingress must wait for
        # the gate's reply that neither request ran before it answers the callers.
        slow_s, work_s = 2.0, 1.5
        server = self.fleet.start_backend(
            "contract-near", SERVICE, self.near, work_ms=work_s * 1000, slots=1
        )
        self.fleet.wait_ready([self.ingress, self.near], ["contract-near"])
        # Lets the gate measure the run time of the route.
        first = Caller(self.near, "first", "/signatures/1", "POST").answer()
        self.assertEqual(200, first.status)
        server.set_fault(mode="slow", delay_s=slow_s)
        long = Caller(self.near, "long", "/signatures/2", "POST")
        self._wait_for_runs_at_near(2)
        ends_s = time.monotonic() + work_s + slow_s
        server.set_fault(mode="slow", delay_s=slow_s, share=0)
        waiting = [
            Caller(self.ingress, f"waiting-{number}", "/signatures/3", "POST")
            for number in range(2)
        ]
        wait_until(
            lambda: self._queued_elsewhere() == 2, "both requests wait at the gate"
        )
        time.sleep(max(0.0, ends_s + 0.5 - SHUTDOWN_TIMEOUT_S - time.monotonic()))
        self.ingress.signal(signal.SIGTERM)
        answers = [caller.answer() for caller in waiting]
        self.assertEqual(200, long.answer().status)
        # If a request were still queued, it would run before this one.
        last = Caller(self.near, "last", "/signatures/4", "POST").answer()
        self.assertEqual(200, last.status)
        self.assertEqual(
            [(503, "not_run")] * 2,
            [(answer.status, answer.outcome) for answer in answers],
        )
        self.assertEqual({"first": 1, "long": 1, "last": 1}, server.runs())
        self.assertEqual(0, self.ingress.process.wait(10))

    def test_a_read_whose_run_was_lost_is_answered_under_steady_load(self):
        # Guards against 502 and 'unknown' for a repeatable read that is cut while more
        # than half of its timeout remains. A second attempt was sent while the run was
        # silent, and the only other gate refused it because of its queue. Although that
        # gate counts as tried, the ingress must send to it again after the cut. The
        # gate must also serve the read before newer requests. Otherwise the read, which
        # is late by then, would wait for longer than its timeout.
        far = self._start_node("far", "zone-1")
        self.fleet.start_backend(
            "contract-near", SERVICE, self.near, work_ms=15000, slots=1
        )
        self.fleet.start_backend("contract-far", SERVICE, far, work_ms=400, slots=2)
        self.fleet.wait_ready(
            [self.ingress, self.near, far], ["contract-near", "contract-far"]
        )
        caller = Caller(self.ingress, "read", "/contracts/search/1")
        self._wait_for_runs_at_near(1)
        others = [
            SteadyCaller(
                f"other-{number}", [far.caller_address], target="/contracts/search"
            )
            for number in range(BUSY_CALLERS)
        ]
        for other in others:
            other.start()
            self.addCleanup(other.stop)
        # Ends the pending requests of the other callers when the test is over.
        # Otherwise each of them would wait for its answer.
        self.addCleanup(far.kill)
        wait_until(
            lambda: sum(other.outcomes()["answered"] for other in others) >= 4,
            "the other gate is busy",
        )
        self.near.signal(signal.SIGTERM)
        answer = caller.answer()
        self.assertEqual((200, "answered"), (answer.status, answer.outcome))
        self.assertEqual("contract-far", answer.json()["server"])
