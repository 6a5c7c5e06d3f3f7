"""Event log of one process: one line of key=value pairs per event."""

import json
import re
import sys
import threading
import time
from collections import deque
from concurrent.futures import ThreadPoolExecutor

from loguru import logger

from balsamspindle.metrics import Metrics
from balsamspindle.timeline.clock import HybridClock
from balsamspindle.timeline.line_budget import LineBudget
from balsamspindle.timeline.recent import EventPage, RecentEvents

__all__ = ["EventLog", "format_event", "parse_event"]

BATCH_INTERVAL_S = 0.02
PENDING_LINES_MAX = 50_000

_is_plain = re.compile(r"[A-Za-z0-9._:/+-]+").fullmatch


def format_event(fields: dict[str, object]) -> str:
    """Return the fields as key=value pairs.

    A value that is empty, or contains any character other than letters, digits and
    ``._:/+-``, is written as a JSON string.
    """
    return " ".join(f"{key}={_value(value)}" for key, value in fields.items())


def _value(value: object) -> str:
    text = str(value)
    return text if _is_plain(text) else json.dumps(text)


def parse_event(line: str) -> dict[str, str] | None:
    """Return the fields of a line, or None if it is not in the format of events."""
    fields: dict[str, str] = {}
    decoder = json.JSONDecoder()
    position = 0
    line = line.strip()
    while position < len(line):
        key, separator, _ = line[position:].partition("=")
        if not separator or not key.isidentifier():
            return None
        position += len(key) + 1
        if line[position : position + 1] == '"':
            try:
                value, position = decoder.raw_decode(line, position)
            except json.JSONDecodeError:
                return None
        else:
            end = line.find(" ", position)
            end = len(line) if end < 0 else end
            value, position = line[position:end], end
        fields[key] = value
        position += 1
    return fields or None


class EventLog:
    """Writes the events of one process.

    A background thread writes the lines in batches, so a request never waits for the
    log, even if the log is a pipe that nobody reads. A process that is killed loses
    the lines of the last `BATCH_INTERVAL_S`. A process that exits normally writes all
    its lines.

    Parameters
    ----------
    node_id : str
        Name of the process in the timeline.
    incarnation : int
        Distinguishes this run from earlier ones with the same name.
    clock : HybridClock
        The clock that also stamps the messages of the process.
    stream : file, default=None
        Receives the lines; standard error if None.

    Attributes
    ----------
    metrics : Metrics
        Metrics of the process; they count its events by name.
    """

    def __init__(self, node_id, incarnation, clock: HybridClock, stream=None):
        self.node_id = node_id
        self.incarnation = incarnation
        self.clock = clock
        logger.remove()
        logger.add(
            stream or sys.stderr, format="{message}", level="DEBUG", colorize=False
        )
        self._logger = logger.opt(raw=True)
        self._origin = f"node={_value(node_id)} incarnation={_value(incarnation)}"
        self._pending: deque[str] = deque()
        self._dropped = 0
        self._batch_due = False
        self._write_lock = threading.Lock()
        # At exit, the interpreter waits for the tasks of executors, so the last batch
        # is written too.
        self._executor = ThreadPoolExecutor(1, "event-log")
        self._recent = RecentEvents()
        self._budget = LineBudget()
        self.metrics = Metrics()

    def emit(self, event: str, **fields: object) -> int:
        """Queue an event to be written and return its hybrid time.

        Fields that are None are omitted. An event that is over the line budget of
        its name is counted but not written.
        """
        wall_s = time.time()
        hlc = self.clock.tick(wall_s)
        self.metrics.count_event(event)
        if not self._budget.try_spend(event, wall_s):
            return hlc
        for name, count in self._budget.pop_left_out().items():
            self._write("events_left_out", wall_s, hlc, {"of": name, "count": count})
        self._write(event, wall_s, hlc, fields)
        return hlc

    def _write(
        self, event: str, wall_s: float, hlc: int, fields: dict[str, object]
    ) -> None:
        wall_s += self.clock.wall_offset_s
        pairs = [
            f" {key}={_value(value)}"
            for key, value in fields.items()
            if value is not None
        ]
        line = (
            f"wall_s={wall_s:.6f} hlc={hlc} {self._origin} event={event}"
            f"{''.join(pairs)}"
        )
        self._recent.add(line, "request" in fields)
        self._append(line + "\n")

    def recent(self, after: int, limit: int) -> EventPage:
        """Return up to `limit` recent events with sequence numbers above `after`."""
        return self._recent.page(self.node_id, self.incarnation, after, limit)

    def flush(self) -> None:
        """Write all pending lines now."""
        with self._write_lock:
            lines = []
            while self._pending:
                lines.append(self._pending.popleft())
            if lines:
                self._logger.info("".join(lines))

    def _append(self, line: str) -> None:
        # While the log stream blocks, lines accumulate. The limit bounds their memory.
        if len(self._pending) >= PENDING_LINES_MAX:
            self._dropped += 1
            return
        self._pending.append(line)
        if not self._batch_due:
            self._batch_due = True
            self._start_batch()

    def _start_batch(self) -> None:
        try:
            self._executor.submit(self._write_batch)
        except RuntimeError:
            # The interpreter is shutting down and the executor accepts no more tasks.
            # This thread writes the lines itself.
            self.flush()

    def _write_batch(self) -> None:
        time.sleep(BATCH_INTERVAL_S)
        # Reset `_batch_due` before the flush. If it were reset after the flush, a line
        # that is added between the flush and the reset would schedule no batch, and
        # would stay pending until another line is added.
        self._batch_due = False
        self.flush()
        dropped, self._dropped = self._dropped, 0
        if dropped:
            self.emit("events_dropped", count=dropped)
