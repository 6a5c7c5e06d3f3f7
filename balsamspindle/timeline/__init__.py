"""One time line of events over all processes."""

from balsamspindle.timeline.clock import HybridClock
from balsamspindle.timeline.events import EventLog, format_event, parse_event

__all__ = ["EventLog", "HybridClock", "format_event", "parse_event"]
