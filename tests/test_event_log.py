"""Tests of the event log: format, order and limits of its lines."""

import io
import threading

from testtools import TestCase

from balsamspindle.timeline import EventLog, HybridClock, events, parse_event
from balsamspindle.timeline.line_budget import LineBudget


class BlockedPipe:
    """A stream whose writes block until `opened` is set."""

    def __init__(self) -> None:
        self.opened = threading.Event()
        self.text = ""

    def write(self, text: str) -> None:
        self.opened.wait()
        self.text += text

    def flush(self) -> None:
        """There is nothing to flush."""


class EventLogTests(TestCase):
    def test_a_blocked_log_pipe_does_not_block_requests(self):
        # The reader of a node's log has stopped. Each request writes events. If
        # writing blocked on the pipe, all callers of this node would wait for their
        # answers although all backend servers are healthy.
        pipe = BlockedPipe()
        self.addCleanup(pipe.opened.set)
        log = EventLog("node-1", 7, HybridClock(), pipe)
        self.patch(events, "PENDING_LINES_MAX", 3)
        emitting = threading.Thread(
            target=lambda: [log.emit("tick", number=number) for number in range(9)],
            daemon=True,
        )
        emitting.start()
        emitting.join(10)
        self.assertFalse(emitting.is_alive())
        pipe.opened.set()
        log.flush()
        log.flush()
        numbers = [
            parse_event(line)["number"]
            for line in pipe.text.splitlines()
            if "event=tick" in line
        ]
        self.assertEqual(["0", "1", "2"], numbers[:3])

    def test_a_flood_of_one_event_is_limited_and_counted_and_suppresses_no_other(self):
        # Each request writes lines. Under overload, writing all of them would take
        # processor time from the requests. The lines that are left out are counted,
        # because a log without lines could be mistaken for that of an idle node.
        budget = LineBudget(3)
        written = [budget.try_spend("sent", 10.0 + n / 100) for n in range(8)]
        self.assertEqual([True] * 3 + [False] * 5, written)
        self.assertTrue(budget.try_spend("suspected", 10.5))
        self.assertEqual({}, budget.pop_left_out())
        self.assertTrue(budget.try_spend("sent", 11.0))
        self.assertEqual({"sent": 5}, budget.pop_left_out())
        self.assertEqual({}, budget.pop_left_out())

    def test_the_number_of_left_out_lines_is_logged(self):
        stream = io.StringIO()
        log = EventLog("node-1", 7, HybridClock(), stream)
        log._budget = LineBudget(2)
        for number in range(6):
            log.emit("tick", number=number)
        log._budget._second -= 1
        log.emit("end")
        log.flush()
        lines = [parse_event(line) for line in stream.getvalue().splitlines()]
        left_out = [line for line in lines if line["event"] == "events_left_out"]
        self.assertEqual(
            [("tick", "4")], [(entry["of"], entry["count"]) for entry in left_out]
        )

    def test_a_parsed_line_has_the_fields_that_were_emitted(self):
        stream = io.StringIO()
        log = EventLog("node-1", 7, HybridClock(), stream)
        hlc = log.emit("ended", cause='a b="c"\n', empty="", path="/x", gone=None)
        log.flush()
        fields = parse_event(stream.getvalue())
        self.assertEqual('a b="c"\n', fields["cause"])
        self.assertEqual(
            ("", "/x", "node-1"), (fields["empty"], fields["path"], fields["node"])
        )
        self.assertEqual(("7", str(hlc)), (fields["incarnation"], fields["hlc"]))
        self.assertNotIn("gone", fields)
