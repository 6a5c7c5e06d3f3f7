"""``python -m bench.capacity``: measure costs, print and optionally write them."""

import json
import platform
import sys
from pathlib import Path
from typing import Annotated

import typer

from bench.capacity import (
    bad_days,
    customers,
    in_force,
    joining,
    look_ups,
    members,
    memory,
    page,
    processes,
    settings,
)

__all__ = ["BASELINE", "PARTS"]

BASELINE = Path(__file__).parent.parent / "baselines" / "capacity.json"
PARTS = {
    "memory": memory.measure,
    "customers": customers.measure,
    "look_ups": look_ups.measure,
    "members": members.measure,
    "bad_days": bad_days.measure,
    "joining": joining.measure,
    "in_force": in_force.measure,
    "settings": settings.measure,
    "processes": processes.measure,
}


def run(
    parts: Annotated[
        list[str] | None, typer.Argument(help=f"Any of: {', '.join(PARTS)}.")
    ] = None,
    write: Annotated[
        bool, typer.Option(help="Write the figures to the baseline and the page.")
    ] = False,
    as_json: Annotated[
        bool, typer.Option("--json", help="Omit progress messages.")
    ] = False,
) -> None:
    """Measure the costs of the given parts, or of all parts, and print them as JSON.

    Example: python -m bench.capacity memory look_ups --write
    """
    unknown = set(parts or ()) - set(PARTS)
    if unknown:
        raise typer.BadParameter(f"unknown parts: {', '.join(sorted(unknown))}")
    figures = {}
    for name in parts or PARTS:
        if not as_json:
            typer.echo(f"measuring {name}", err=True)
        figures[name] = PARTS[name]()
    typer.echo(json.dumps(figures, indent=2))
    if write:
        _write_baseline(figures)


def _write_baseline(figures: dict) -> None:
    baseline = json.loads(BASELINE.read_text()) if BASELINE.exists() else {}
    baseline["python"] = platform.python_version()
    baseline.setdefault("measured", {}).update(figures)
    BASELINE.write_text(json.dumps(baseline, indent=2, sort_keys=True) + "\n")
    page.update(baseline["measured"])


if __name__ == "__main__":
    sys.exit(typer.run(run))
