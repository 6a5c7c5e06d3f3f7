"""Reading, merging and filtering the events of many processes.

Events are ordered by the hybrid logical clock, so an effect never comes before its
cause, even if the wall clocks of two VMs differ by seconds.
"""

from collections.abc import Iterable
from datetime import UTC, datetime
from typing import NamedTuple

from balsamspindle.timeline.clock import COUNTER_BITS
from balsamspindle.timeline.events import format_event, parse_event

__all__ = [
    "ParsedLines",
    "EventFilter",
    "TimelineEvent",
    "format_human_readable",
    "merge",
    "parse_lines",
    "filter_events",
]


class TimelineEvent(NamedTuple):
    """One event of one process.

    Attributes
    ----------
    hlc : int
        Hybrid logical time.
    wall_s : float
        Wall time on the VM of the process.
    details : dict of str to str
        All other fields of the event's line.
    """

    hlc: int
    node: str
    incarnation: int
    event: str
    wall_s: float
    details: dict[str, str]


class ParsedLines(NamedTuple):
    """The events in some lines, and the number of lines that are not events."""

    events: list[TimelineEvent]
    garbage_lines: int


class EventFilter(NamedTuple):
    """Criteria for events; None matches any value.

    Attributes
    ----------
    with_requests : bool
        Whether the events of a service include the events of its requests. Events of
        requests are left out by default: their large number would hide the few events
        that show why a backend server was ejected.
    """

    request: str | None = None
    service: str | None = None
    event: str | None = None
    with_requests: bool = False


def parse_lines(lines: Iterable[str]) -> ParsedLines:
    """Parse the log lines of one process.

    A line without a line break was cut off when the process died. Its last field may
    be incomplete, so the line counts as garbage.
    """
    events = []
    garbage_lines = 0
    for line in lines:
        event = _parse(line) if line.endswith("\n") else None
        if event is not None:
            events.append(event)
        elif line.strip():
            garbage_lines += 1
    return ParsedLines(events, garbage_lines)


def _parse(line: str) -> TimelineEvent | None:
    fields = parse_event(line)
    if fields is None:
        return None
    try:
        return TimelineEvent(
            int(fields.pop("hlc")),
            fields.pop("node"),
            int(fields.pop("incarnation")),
            fields.pop("event"),
            float(fields.pop("wall_s")),
            fields,
        )
    except (KeyError, ValueError):
        return None


def merge(events: Iterable[TimelineEvent]) -> list[TimelineEvent]:
    """Return the events in the order of their hybrid time, without duplicates.

    The same event may be read from a log file and from the running process. Events of
    the same process with the same hybrid time count as duplicates.
    """
    unique = {(event.hlc, event.node, event.incarnation): event for event in events}
    return [unique[key] for key in sorted(unique)]


def filter_events(
    events: list[TimelineEvent], event_filter: EventFilter
) -> list[TimelineEvent]:
    """Return the events that match all criteria, in the given order."""
    servers = _backend_servers(events, event_filter.service)
    return [
        event
        for event in events
        if _matches(event_filter.request, event.details.get("request"))
        and _matches(event_filter.event, event.event)
        and _is_of_service(event, event_filter, servers)
    ]


def _matches(wanted: str | None, value: str | None) -> bool:
    return wanted is None or wanted == value


def _backend_servers(events: list[TimelineEvent], service: str | None) -> set[str]:
    """Return the backend servers of a service that are named in its events."""
    return {
        event.details["backend_server"]
        for event in events
        if service is not None
        and event.details.get("service") == service
        and "backend_server" in event.details
    }


def _is_of_service(
    event: TimelineEvent, event_filter: EventFilter, servers: set[str]
) -> bool:
    if event_filter.service is None:
        return True
    if "request" in event.details and not event_filter.with_requests:
        return False
    if event.details.get("service") == event_filter.service:
        return True
    return event.details.get("backend_server") in servers


def format_human_readable(event: TimelineEvent) -> str:
    """Return an event as one line: time in UTC, node, event name and fields."""
    hybrid_s = (event.hlc >> COUNTER_BITS) / 1000
    time = datetime.fromtimestamp(hybrid_s, UTC).strftime("%H:%M:%S.%f")[:-3]
    line = f"{time}  {event.node:<16} {event.event:<26} {format_event(event.details)}"
    return line.rstrip()
