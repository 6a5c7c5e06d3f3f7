"""Event log of each process, and one timeline merged from all of them.

`events.py` writes the events of a process and `clock.py` gives them an order across
processes. `merge.py` reads the logs of many processes and merges them;
`request_summary.py` summarizes the events of one request.
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
