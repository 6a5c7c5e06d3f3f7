"""Tests of the timeline that is merged from the events of many processes."""

import io
import json
import time
from concurrent.futures import ThreadPoolExecutor

from testtools import TestCase
from typer.testing import CliRunner

from balsamspindle.cli.timeline import app
from balsamspindle.timeline import EventLog, HybridClock, submit_logged
from balsamspindle.timeline.merge import EventFilter, filter_events, merge, parse_lines
from balsamspindle.timeline.recent import RecentEvents
from tests.utils import Fleet, call, wait_until

SKEW_S = 7.0


def event_log(node: str, wall_offset_s: float) -> EventLog:
    return EventLog(node, 1, HybridClock(wall_offset_s), io.StringIO())


def lines(log: EventLog) -> list[str]:
    return [f"{line}\n" for line in log.recent(0, 1000).lines]


class TimelineTests(TestCase):
    def test_an_effect_never_sorts_before_its_cause_if_clocks_differ(self):
        """The gate's clock is 7 s behind the ingress's clock, then 7 s ahead of it.

        A request goes from the ingress to the gate, and the reply back. Sorted by wall
        time, the gate would run it 7 s before it was sent, and an operator would look
        for the cause of a failure at the wrong node.
        """
        for gate_offset_s in (-SKEW_S, SKEW_S):
            ingress = event_log("ingress", 0.0)
            gate = event_log("gate", gate_offset_s)
            sent = ingress.emit("attempt_sent", request="r1")
            gate.clock.observe(sent, time.time())
            gate.emit("attempt_dispatched", request="r1")
            ended = gate.emit("attempt_ended", request="r1")
            ingress.clock.observe(ended, time.time())
            ingress.emit("request_ended", request="r1")
            parsed = parse_lines([*lines(gate), *lines(ingress)])
            self.assertEqual(
                ["attempt_sent", "attempt_dispatched", "attempt_ended"]
                + ["request_ended"],
                [event.event for event in merge(parsed.events)],
            )

    def test_incomplete_lines_and_other_text_are_counted_and_left_out(self):
        log = event_log("node", 0.0)
        log.emit("node_started", cause='odd "words"\nand = signs')
        (complete,) = lines(log)
        parsed = parse_lines(
            [
                complete,
                "Traceback (most recent call last):\n",
                "\n",
                "a=1\n",
                complete[:-9],
            ]
        )
        self.assertEqual(3, parsed.garbage_lines)
        (event,) = parsed.events
        self.assertEqual('odd "words"\nand = signs', event.details["cause"])

    def test_an_event_that_was_read_twice_is_shown_once(self):
        log = event_log("node", 0.0)
        log.emit("node_started")
        events = parse_lines(lines(log) * 2).events
        self.assertEqual(1, len(merge(events)))

    def test_a_service_is_shown_with_the_events_of_its_backend_servers(self):
        log = event_log("node", 0.0)
        log.emit("backend_server_announced", backend_server="b1", service="crew/x")
        log.emit("backend_server_announced", backend_server="b2", service="crew/y")
        log.emit("backend_server_silent", backend_server="b1")
        log.emit("backend_server_silent", backend_server="b2")
        log.emit("attempt_sent", backend_server="b1", request="r1")
        events = merge(parse_lines(lines(log)).events)
        chosen = filter_events(events, EventFilter(service="crew/x"))
        self.assertEqual(["b1", "b1"], [e.details["backend_server"] for e in chosen])
        event_filter = EventFilter(service="crew/x", with_requests=True)
        self.assertEqual(3, len(filter_events(events, event_filter)))

    def test_events_of_requests_do_not_evict_other_recent_events(self):
        """In a common buffer, hundreds of requests per second would evict the event of
        an ejection within seconds, while an operator is looking for its reason.
        """
        recent = RecentEvents(control_max=2, request_max=3)
        recent.add("ejected", is_request_event=False)
        for number in range(10):
            recent.add(f"request {number}", is_request_event=True)
        page = recent.page("node", 1, after=0, limit=2)
        self.assertEqual(["ejected", "request 7"], page.lines)
        self.assertTrue(page.more)
        rest = recent.page("node", 1, page.last_sequence, limit=9)
        self.assertEqual(["request 8", "request 9"], rest.lines)
        self.assertEqual((7, 0), (page.lost, rest.lost))

    def test_a_failed_task_of_an_executor_emits_an_event(self):
        """No code reads the future of a connection's task. Without an event, its
        exception would be lost, and the caller's connection would close without an
        entry in the log that says why.
        """
        log = event_log("node", 0.0)
        with ThreadPoolExecutor(1) as executor:
            submit_logged(executor, log, lambda: {}["absent"])
        (event,) = parse_lines(lines(log)).events
        self.assertEqual("task_failed", event.event)
        self.assertEqual("KeyError('absent')", event.details["cause"])


class TimelineOfProcessesTests(TestCase):
    def test_events_of_a_request_are_in_order_if_clocks_of_processes_differ(self):
        """The ingress's clock is 7 s ahead of the gate's clock.

        The caller's request is received at one node and runs at a backend server of
        the other. By wall time, its attempt would end before the request was received.
        """
        fleet = self.start_fleet()
        ingress = fleet.start_node("ingress", "zone-a", wall_clock_offset_s=SKEW_S)
        gate = fleet.start_node("gate", "zone-b")
        fleet.start_backend("contract-1", "crew/contracts", gate)
        fleet.wait_ready([ingress, gate], ["contract-1"])
        headers = {"X-Request-Id": "story-1"}
        answer = call(ingress.caller_address, "/contracts/7", headers=headers)
        self.assertEqual("answered", answer.outcome)
        nodes = ["--node", ingress.admin_address, "--node", gate.admin_address]
        live_events = self.request_events(nodes)
        self.assertEqual("request_received", live_events[0]["event"])
        self.assertEqual("request_ended", live_events[-1]["event"])
        self.assertEqual({"ingress", "gate"}, {event["node"] for event in live_events})
        self.assertNotEqual(
            live_events, sorted(live_events, key=lambda event: event["wall_s"])
        )
        logs = [str(program.log_path) for program in (ingress, gate)]
        wait_until(
            lambda: self.request_events(logs) == live_events,
            "the logs show the same events",
        )
        for program in (ingress, gate):
            self.assertEqual(0, program.stop())
            with program.log_path.open() as log:
                self.assertEqual(0, parse_lines(log).garbage_lines)

    def start_fleet(self) -> Fleet:
        fleet = Fleet()
        self.addCleanup(fleet.__exit__)
        fleet.start_platform()
        fleet.put_settings(
            {
                "crew/services/contracts": {},
                "crew/routes/read": {
                    "service": "crew/contracts",
                    "execution": "idempotent",
                },
            }
        )
        return fleet

    def request_events(self, sources: list[str]) -> list[dict]:
        arguments = ["--json", "--request", "story-1", *sources]
        result = CliRunner().invoke(app, arguments)
        self.assertEqual(0, result.exit_code, result.output)
        return [json.loads(line) for line in result.stdout.splitlines()]
