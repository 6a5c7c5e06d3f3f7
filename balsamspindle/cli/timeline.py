"""``balsamspindle-timeline``: merges the events of all processes into one timeline."""

from pathlib import Path

import msgspec
import typer

from balsamspindle.cli.event_sources import collect_events
from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.cli.program import (
    JSON_OPTION,
    NODES_OPTION,
    VERSION_OPTION,
    fail,
    make_app,
    warn,
)
from balsamspindle.timeline.losses import (
    Loss,
    count_losses,
    count_lost_calls,
    lost_requests,
)
from balsamspindle.timeline.merge import (
    EventFilter,
    TimelineEvent,
    filter_events,
    format_human_readable,
)
from balsamspindle.timeline.run_ends import RunEnd, count_run_ends

app = make_app("Merge the events of many processes into one timeline.")


@app.command()
def show(
    logs: list[Path] = typer.Argument(None, help="Log files of nodes."),
    nodes: list[str] = NODES_OPTION,
    request: str = typer.Option(None, help="Only events of this request id."),
    service: str = typer.Option(None, help="Only events of this service, TEAM/NAME."),
    with_requests: bool = typer.Option(
        False, help="With --service: also show the events of its requests."
    ),
    event: str = typer.Option(None, help="Only events of this name."),
    losses: bool = typer.Option(
        False, help="Count the requests that were not served, by cause."
    ),
    runs: bool = typer.Option(
        False,
        help="Count how runs at backend servers ended, by the health that the gate "
        "assumed of the backend server at the start of the run.",
    ),
    as_json: bool = JSON_OPTION,
    version: bool = VERSION_OPTION,
) -> None:
    """Show the events of all sources in one order, each effect after its cause.

    With --losses or --runs, counts are shown instead of events; of the filters, only
    --service applies to them.

    Example: balsamspindle-timeline --request 7f3a node-1.log node-2.log

    Example: balsamspindle-timeline --node 127.0.0.1:8083 --service crew/contracts

    Example: balsamspindle-timeline --losses node-1.log node-2.log

    Example: balsamspindle-timeline --runs node-1.log node-2.log
    """
    if losses and runs:
        fail("give only one of --losses and --runs", ExitStatus.USAGE)
    if not logs and not nodes:
        fail("name log files or give --node IP:PORT", ExitStatus.USAGE)
    collected = collect_events(logs or [], nodes or [])
    for warning in collected.warnings:
        warn(warning)
    if not collected.sources_read:
        fail("no source could be read", ExitStatus.UNAVAILABLE)
    event_filter = EventFilter(request, service, event, with_requests)
    if losses:
        _show_losses(collected.events, service, as_json)
        return
    if runs:
        _show_runs(collected.events, service, as_json)
        return
    for found in filter_events(collected.events, event_filter):
        if as_json:
            typer.echo(msgspec.json.encode(found._asdict()).decode())
        else:
            typer.echo(format_human_readable(found))


def _show_losses(
    events: list[TimelineEvent], service: str | None, as_json: bool
) -> None:
    lost = [
        request
        for request in lost_requests(events)
        if service in (None, request.service)
    ]
    if as_json:
        for request in lost:
            typer.echo(msgspec.json.encode(request._asdict()).decode())
        return
    for (name, cause), count in count_losses(lost).most_common():
        typer.echo(f"{count:>7}  {name:<30} {cause}")
    for (name, cause), count in count_lost_calls(lost).most_common():
        typer.echo(
            f"{count:>7}  {name:<30} {Loss.ERROR_AFTER_LOST_CALL}: {cause or 'unknown'}"
        )


def _show_runs(events: list[TimelineEvent], service: str | None, as_json: bool) -> None:
    ends = count_run_ends(events)
    for (name, health), counts in sorted(ends.counts.items()):
        if service not in (None, name):
            continue
        if as_json:
            row = {"service": name, "believed": health} | dict(counts)
            typer.echo(msgspec.json.encode(row).decode())
            continue
        total = counts.total()
        cells = "  ".join(f"{end} {counts[end]}" for end in RunEnd)
        served_percent = 100 * counts[RunEnd.SERVED] / total
        typer.echo(
            f"{name:<30} {health:<10} {total:>7} {served_percent:>4.0f}%  {cells}"
        )
    if ends.left_out:
        warn(
            f"{ends.left_out} runs not counted: their start or service is not in the "
            "events that were read"
        )


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
