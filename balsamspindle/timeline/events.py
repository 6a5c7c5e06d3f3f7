"""The events of one process: one line of key=value pairs each."""

import json
import sys
import time

from loguru import logger

from balsamspindle.timeline.clock import HybridClock

__all__ = ["EventLog", "format_event", "parse_event"]

_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-:/+"
)


def format_event(fields: dict[str, object]) -> str:
    """Return the fields as key=value pairs; odd values are JSON strings."""
    return " ".join(f"{key}={_value(value)}" for key, value in fields.items())


def _value(value: object) -> str:
    text = str(value)
    if text and _PLAIN.issuperset(text):
        return text
    return json.dumps(text)


def parse_event(line: str) -> dict[str, str] | None:
    """Return the fields of a line, or None when it is no event."""
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

    Parameters
    ----------
    node_id : str
        Name of the process in the time line.
    incarnation : int
        Told apart from earlier runs under the same name.
    clock : HybridClock
        Shared with the process's messages.
    stream : file, default=None
        Where the lines go; standard error when None.
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

    def emit(self, event: str, **fields: object) -> int:
        """Write one event and return its hybrid time."""
        wall_s = time.time()
        hlc = self.clock.tick(wall_s)
        line = format_event(
            {
                "wall_s": f"{wall_s:.6f}",
                "hlc": hlc,
                "node": self.node_id,
                "incarnation": self.incarnation,
                "event": event,
                **{key: value for key, value in fields.items() if value is not None},
            }
        )
        self._logger.info(line + "\n")
        return hlc
