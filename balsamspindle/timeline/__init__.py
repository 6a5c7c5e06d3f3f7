"""One time line of events over all processes."""

from balsamspindle.timeline.clock import HybridClock
from balsamspindle.timeline.events import EventLog, format_event, parse_event
from balsamspindle.timeline.recent import EventPage
from balsamspindle.timeline.tasks import submit_logged

__all__ = [
    "EventLog",
    "EventPage",
    "HybridClock",
    "format_event",
    "parse_event",
    "submit_logged",
]
