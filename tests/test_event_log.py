"""The event log writes every line in order and never holds up a request."""

import io
import threading

from testtools import TestCase

from balsamspindle.timeline import EventLog, HybridClock, events, parse_event


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
