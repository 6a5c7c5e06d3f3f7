"""The event log writes every line in order and never holds up a request."""

import io
import threading

from testtools import TestCase

from balsamspindle.timeline import EventLog, HybridClock, events, parse_event
from balsamspindle.timeline.line_budget import LineBudget


class BlockedPipe:
    """A stream that nobody reads until `opened` is set."""

    def __init__(self) -> None:
        self.opened = threading.Event()
        self.text = ""

    def write(self, text: str) -> None:
        self.opened.wait()
        self.text += text

    def flush(self) -> None:
        """There is nothing to flush."""


class EventLogTests(TestCase):
    def test_a_pipe_that_nobody_reads_does_not_hold_up_requests(self):
        # The reader of a node's log stands still. Each request writes events;
        # if writing waited for the pipe, every caller of this node would wait
        # for its answer although all backend servers are well.
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

    def test_a_flood_of_one_event_is_cut_told_and_hides_no_other(self):
        # Under an overload every request writes lines; unbounded they take the
        # processor from the requests. What is left out is said, so that nobody
        # takes a silent log for a quiet node.
        budget = LineBudget(3)
        written = [budget.allows("sent", 10.0 + n / 100) for n in range(8)]
        self.assertEqual([True] * 3 + [False] * 5, written)
        self.assertTrue(budget.allows("suspected", 10.5))
        self.assertEqual({}, budget.take_left_out())
        self.assertTrue(budget.allows("sent", 11.0))
        self.assertEqual({"sent": 5}, budget.take_left_out())
        self.assertEqual({}, budget.take_left_out())

    def test_what_was_left_out_stands_in_the_log(self):
        stream = io.StringIO()
        log = EventLog("node-1", 7, HybridClock(), stream)
        log._budget = LineBudget(2)
        for number in range(6):
            log.emit("tick", number=number)
        log._budget._second -= 1
        log.emit("end")
        log.flush()
        lines = [parse_event(line) for line in stream.getvalue().splitlines()]
        told = [line for line in lines if line["event"] == "events_left_out"]
        self.assertEqual([("tick", "4")], [(one["of"], one["count"]) for one in told])

    def test_a_line_reads_back_as_it_was_emitted(self):
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
