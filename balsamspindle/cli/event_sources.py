"""Reads events from log files and from running nodes."""

from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

from expression import Result

from balsamspindle.cli.admin_client import AdminClient
from balsamspindle.timeline import EventPage
from balsamspindle.timeline.merge import TimelineEvent, merge, parse_lines

__all__ = ["CollectedEvents", "collect_events"]


class CollectedEvents(NamedTuple):
    """The events of all sources, merged into one timeline.

    Attributes
    ----------
    warnings : list of str
        Messages about lines that are not events, events that a node no longer has,
        and sources that could not be read.
    sources_read : int
        Number of sources that could be read, including those without events.
    """

    events: list[TimelineEvent]
    warnings: list[str]
    sources_read: int


class _Source(NamedTuple):
    events: list[TimelineEvent]
    warnings: list[str]
    was_read: bool


def collect_events(logs: Iterable[Path], nodes: Iterable[str]) -> CollectedEvents:
    """Read all sources and merge their events.

    Parameters
    ----------
    logs : iterable of Path
        Log files.
    nodes : iterable of str
        Admin addresses of running nodes.
    """
    sources = [_read_log(path) for path in logs]
    sources += [_read_node(AdminClient(address)) for address in nodes]
    return CollectedEvents(
        merge(event for source in sources for event in source.events),
        [warning for source in sources for warning in source.warnings],
        sum(source.was_read for source in sources),
    )


def _read_log(path: Path) -> _Source:
    try:
        with path.open(encoding="utf-8", errors="replace", newline="\n") as lines:
            events, garbage_lines = parse_lines(lines)
    except OSError as error:
        return _Source([], [f"{path}: {error.strerror}"], False)
    return _Source(events, _garbage_warnings(str(path), garbage_lines), True)


def _read_node(client: AdminClient) -> _Source:
    events: list[TimelineEvent] = []
    warnings: list[str] = []
    for page in client.events():
        match page:
            case Result(tag="ok", ok=EventPage() as found):
                parsed = parse_lines(f"{line}\n" for line in found.lines)
                events += parsed.events
                warnings += _garbage_warnings(client.address, parsed.garbage_lines)
                if found.lost:
                    warnings.append(
                        f"{client.address}: the node no longer has {found.lost} older "
                        "events; read its log file for them"
                    )
            case Result(error=error):
                return _Source(events, [*warnings, error.message], False)
    return _Source(events, warnings, True)


def _garbage_warnings(source: str, garbage_lines: int) -> list[str]:
    if not garbage_lines:
        return []
    return [f"{source}: {garbage_lines} lines are not events and were skipped"]
