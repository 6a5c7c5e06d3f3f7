"""Tests of the load program: audit, schedule, caller and a whole experiment."""

import json
import subprocess
import sys

import msgspec
from testtools import TestCase

from balsamspindle.load.audit import CallResult, audit, measure_detections
from balsamspindle.load.caller import CallEnd, Caller, answer_fault, call_body
from balsamspindle.load.ejections import classify_ejections
from balsamspindle.load.plan import Arrival, FaultPeriod, LoadPlan
from balsamspindle.load.schedule import ScheduledCall, schedule_calls, schedule_faults
from balsamspindle.protocol.outcomes import Execution
from tests.raw_server import RawServer, answer_with_length
from tests.utils import ROOT, start_fleet
from tests.utils import call as call_server

READ = Arrival("read", "/board", rate_per_s=20.0)
SIGN = Arrival(
    "sign", "/contracts", 10.0, Execution.NON_IDEMPOTENT, "POST", body_bytes=300
)
SETTINGS = {
    "crew/services/board": {},
    "crew/routes/read": {
        "service": "crew/board",
        "execution": "idempotent",
        "path_prefix": "/board",
    },
    "crew/routes/sign": {
        "service": "crew/board",
        "execution": "non_idempotent",
        "path_prefix": "/contracts",
        "methods": ["POST"],
        "timeout_ms": 1000,
    },
}


def result(key, outcome="answered", arrival=READ, sent_s=0.0, fault=None):
    call = ScheduledCall(sent_s, key, "node-0", arrival)
    return CallResult(call, sent_s, CallEnd(outcome, 200, 0.001, fault))


class AuditTests(TestCase):
    def test_a_run_of_a_request_with_outcome_not_run_is_found(self):
        # The caller gets the outcome not_run and may send its request elsewhere,
        # although a backend server has run it. The audit must report this.
        found = audit([result("a", "not_run"), result("b", "unknown")], {"s": {"a": 1}})
        self.assertEqual(["a"], found.not_run_but_ran)
        self.assertFalse(found.all_guarantees_hold)

    def test_a_non_idempotent_request_that_ran_at_two_servers_is_found(self):
        # A contract is signed twice: the first server hangs after it has run the
        # request, and the request is sent to a second server. Each server counts one
        # run, so only the sum of the counts of all servers shows the fault.
        results = [result("a", arrival=SIGN), result("b", arrival=READ)]
        runs = {"s": {"a": 1, "b": 1}, "t": {"a": 1, "b": 1}}
        self.assertEqual(["a"], audit(results, runs).non_idempotent_ran_twice)

    def test_an_answer_to_another_request_is_found(self):
        found = audit([result("a", fault="differs from the request: run_key")], {})
        self.assertEqual(["a: differs from the request: run_key"], found.wrong_answers)

    def test_detection_ends_with_the_last_request_before_the_quiet_period(self):
        # A hanging server receives requests for another 1.5 s and then none until a
        # trial much later. The time of the trial must not count as the time of the
        # detection.
        fault = FaultPeriod("s", {"mode": "hang"}, start_s=10.0, end_s=30.0)
        times = {"a": 9.0, "b": 10.5, "c": 11.5, "trial": 20.0}
        results = [result(key, sent_s=sent_s) for key, sent_s in times.items()]
        [found] = measure_detections(
            results, {"s": dict.fromkeys(times, 1)}, [fault], 2.0, lambda *_: 11.9
        )
        self.assertEqual((1.5, 2, 1), (found.detection_s, found.met, found.met_later))
        self.assertAlmostEqual(1.9, found.held_out_s)

    def test_a_server_that_receives_requests_to_the_end_was_not_detected(self):
        fault = FaultPeriod("s", {"mode": "hang"}, start_s=0.0, end_s=4.0)
        results = [result(str(at_s), sent_s=float(at_s)) for at_s in range(4)]
        runs = {"s": {str(at_s): 1 for at_s in range(4)}}
        [found] = measure_detections(results, runs, [fault], 2.0, lambda *_: 11.9)
        self.assertIsNone(found.detection_s)

    def test_an_ejection_without_a_fault_is_false(self):
        fault = FaultPeriod("s", {"mode": "hang"}, start_s=10.0, end_s=20.0)
        ejected = [(5.0, "s"), (12.0, "s"), (12.0, "t"), (14.0, "t"), (22.0, "s")]
        found = classify_ejections(ejected, 9, [fault], grace_s=5.0)
        self.assertEqual(["s"], found.ejected_with_fault)
        false = [(each.backend_server, each.from_s, each.to_s) for each in found.false]
        self.assertEqual([("s", 5.0, 5.0), ("t", 12.0, 14.0)], false)


class ScheduleTests(TestCase):
    def test_the_same_seed_gives_the_same_schedule_within_its_bounds(self):
        plan = LoadPlan(
            {"node-0": "127.0.0.1:1", "node-1": "127.0.0.1:2"}, [READ, SIGN], 30.0, 3
        )
        calls = schedule_calls(plan, "x")
        self.assertEqual(calls, schedule_calls(plan, "x"))
        other = msgspec.structs.replace(plan, seed=4)
        self.assertNotEqual(calls, schedule_calls(other, "x"))
        self.assertEqual(sorted(calls, key=lambda call: call.at_s), calls)
        self.assertEqual(len(calls), len({call.run_key for call in calls}))
        # The number is Poisson-distributed with a mean of 900; the limit is five
        # standard deviations.
        self.assertLess(abs(len(calls) - 900), 150)
        bounded = msgspec.structs.replace(plan, requests_max=10)
        self.assertEqual(calls[:10], schedule_calls(bounded, "x"))

    def test_a_flapping_fault_alternates_and_ends(self):
        fault = FaultPeriod("s", {"mode": "hang"}, 1.0, 4.0, flap_period_s=2.0)
        changes = [
            (each.at_s, each.switch["mode"]) for each in schedule_faults([fault])
        ]
        expected = [(1.0, "hang"), (2.0, "none"), (3.0, "hang"), (4.0, "none")]
        self.assertEqual(expected, changes)


class WholeRunTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = start_fleet(self, SETTINGS)
        self.node = self.fleet.start_node("node-0", "zone-0")
        self.servers = [
            self.fleet.start_backend(name, "crew/board", self.node)
            for name in ("board-0", "board-1")
        ]
        self.fleet.wait_ready([self.node], ["board-0", "board-1"])

    def test_an_experiment_with_a_gray_failure_reports_every_request(self):
        plan = {
            "nodes": {"node-0": self.node.caller_address},
            "node_admins": {"node-0": self.node.admin_address},
            "backend_servers": {each.name: each.address for each in self.servers},
            "platform": self.fleet.platform_address,
            "duration_s": 4,
            "arrivals": msgspec.to_builtins([READ, SIGN]),
            "faults": [
                {
                    "target": "board-0",
                    "switch": {"mode": "hang", "delay_s": 3, "share": 0.3},
                    "start_s": 1,
                    "end_s": 3,
                },
                {
                    "target": "platform",
                    "switch": {"mode": "down"},
                    "start_s": 0.5,
                    "end_s": 2,
                },
            ],
        }
        path = self.fleet.folder / "plan.json"
        path.write_text(json.dumps(plan))
        command = [sys.executable, "-m", "balsamspindle.cli.load", str(path), "--json"]
        done = subprocess.run(command, cwd=ROOT, capture_output=True, timeout=50)
        self.assertEqual(0, done.returncode, done.stderr)
        report = json.loads(done.stdout)
        due = len(schedule_calls(msgspec.convert(plan, LoadPlan), "x"))
        self.assertEqual(due, sum(kind["sent"] for kind in report["kinds"]))
        for kind in report["kinds"]:
            self.assertEqual(kind["sent"], sum(kind["outcomes"].values()))
            self.assertGreater(kind["outcomes"]["answered"], 0)
        self.assertEqual([], report["faults_not_set"])
        self.assertEqual([], report["counts_missing"])
        self.assertEqual("board-0", report["detections"][0]["backend_server"])
        self.assertGreater(report["detections"][0]["met"], 0)
        self.assertGreater(report["ejections"]["samples"], 0)

    def test_the_caller_accepts_only_its_own_complete_answer(self):
        # A late answer on a reused connection belongs to another request, and a
        # truncated one is a fragment. Both have status 200.
        caller = Caller({"node-0": self.node.caller_address})
        call = ScheduledCall(0.0, "own-1", "node-0", SIGN)
        self.assertEqual(("answered", None), caller.call(call)[::3])
        # The stand-in answers correctly, but without an outcome. An answer that
        # bypasses the fleet must not count as an answer of the fleet.
        direct = Caller({"node-0": self.servers[0].address})
        self.assertEqual("no_answer", direct.call(call).outcome)
        body = call_server(
            self.servers[0].address,
            "/contracts?nonce=own-1",
            "POST",
            call_body(call),
            {"X-Run-Key": "own-1"},
        ).body
        target = "/contracts?nonce=own-1"
        self.assertIsNone(answer_fault(call, target, body))
        self.assertEqual("fragment", answer_fault(call, target, body[:50]))
        other = call._replace(run_key="own-2")
        self.assertIn("run_key", answer_fault(other, target, body))


class NoAnswerTests(TestCase):
    def test_no_answer_on_a_reused_connection_is_not_reported_as_not_connected(self):
        # The second request is sent on the connection of the first one. The server
        # reads it but never answers. libcurl then reports no connect time, as if there
        # had been no connection. If the caller concluded that nothing was sent, the
        # audit would report the request's run as a fault of the fleet.
        server = RawServer(
            lambda number: (answer_with_length(b"{}") if number == 1 else None, True)
        )
        self.addCleanup(server.close)
        caller = Caller({"node-0": server.address})
        quick = msgspec.structs.replace(READ, timeout_ms=300.0)
        ends = [
            caller.call(ScheduledCall(0.0, key, "node-0", quick)) for key in ("a", "b")
        ]
        self.assertEqual(2, len(server.requests))
        self.assertEqual("no_answer", ends[1].outcome)
        server.close()
        refused = Caller({"node-0": server.address})
        end = refused.call(ScheduledCall(0.0, "c", "node-0", quick))
        self.assertEqual("not_connected", end.outcome)
