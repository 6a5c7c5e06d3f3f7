"""``balsamspindle-load``: sends load, injects faults and audits the outcomes."""

import uuid
from pathlib import Path

import msgspec
import typer
from expression import Result

from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.cli.program import VERSION_OPTION, fail, make_app
from balsamspindle.load import (
    LoadPlan,
    Report,
    load_plan,
    report_lines,
    run_experiment,
)
from balsamspindle.load.plan import DURATION_MAX_S

EXAMPLES = """
    Example of a plan:

    \b
    {"nodes": {"node-0": "127.0.0.1:8080"},
     "node_admins": {"node-0": "127.0.0.1:8083"},
     "backend_servers": {"board-0": "127.0.0.1:9001"},
     "duration_s": 20, "seed": 7,
     "arrivals": [{"kind": "read", "target": "/board", "rate_per_s": 20}],
     "faults": [{"target": "board-0", "start_s": 5, "end_s": 15,
                 "switch": {"mode": "hang", "delay_s": 30}}]}

    Example: balsamspindle-load plan.json

    Example: balsamspindle-load plan.json --json --seed 8 --duration-s 60
"""

app = make_app("Send load to the fleet, inject faults and audit the outcomes.")


@app.command(
    epilog="Exit status: 0 no guarantee was violated, 1 a guarantee was violated, "
    "2 invalid command line or plan."
)
def run(
    plan: Path = typer.Argument(..., help="JSON file with the plan."),
    as_json: bool = typer.Option(False, "--json", help="Print the report as JSON."),
    seed: int | None = typer.Option(None, help="Seed; replaces the seed of the plan."),
    duration_s: float | None = typer.Option(
        None,
        min=0.1,
        max=DURATION_MAX_S,
        help="Duration in seconds; replaces the duration of the plan.",
    ),
    version: bool = VERSION_OPTION,
) -> None:
    """Send the requests of a plan, inject its faults and report the outcomes.

    For each kind of request, the report contains the outcomes and latencies.
    It also contains the fraction of correctly answered requests, weighted by
    kind; for how long each faulty backend server received requests, by its own
    count; and false ejections.

    The report lists each violated guarantee: requests that ran although their
    outcome was not_run, non-idempotent requests that ran more than once, and
    answers that were incomplete or belonged to another request.
    """
    match load_plan(plan):
        case Result(tag="ok", ok=loaded):
            report = run_experiment(_override(loaded, seed, duration_s), _run_id())
            _print(report, as_json)
            if not report.truthfulness.all_guarantees_hold:
                raise typer.Exit(ExitStatus.FAILED)
        case Result(error=error):
            fail(error.message, ExitStatus.USAGE)


run.__doc__ += EXAMPLES


def _run_id() -> str:
    return uuid.uuid4().hex[:12]


def _override(plan: LoadPlan, seed: int | None, duration_s: float | None) -> LoadPlan:
    changes = {"seed": seed, "duration_s": duration_s}
    given = {name: value for name, value in changes.items() if value is not None}
    return msgspec.structs.replace(plan, **given)


def _print(report: Report, as_json: bool) -> None:
    if as_json:
        typer.echo(msgspec.json.encode(report).decode())
        return
    for line in report_lines(report):
        typer.echo(line)


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
