"""One time line of events over all processes.

Start with `events.py`, which writes a process's events, and `clock.py`, which
orders them; `merge.py` and `story.py` read them again.
"""

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
