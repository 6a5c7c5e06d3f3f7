"""Writes the table of docs/CAPACITY.md from the baseline's figures."""

from pathlib import Path

from bench.capacity.bad_day_rows import BadDay, bad_day_rows
from bench.capacity.rows import Row, capacity_rows

__all__ = ["PAGE", "render_tables", "update"]

PAGE = Path(__file__).parent.parent.parent / "docs" / "CAPACITY.md"
BEGIN = "<!-- from bench/baselines/capacity.json; do not edit by hand -->\n"
END = "<!-- end of generated tables -->\n"
_TITLES = (
    "role",
    "quantity",
    "unit",
    "target",
    "extrapolated",
    "margin",
    "mechanism",
    "measured up to",
    "breaks first, or next step",
)

_DAY_TITLES = (
    "event",
    "what comes to a node",
    "processor, % of a core",
    "bytes/s sent",
    "settled after, s",
    "source",
    "remark",
)
_HEADINGS = ("Targets", "Bad days", "Figures of the run")


def render_tables(measured: dict) -> str:
    """Return the generated part of the page."""
    tables = (
        _table(_TITLES, [_cells(row) for row in capacity_rows(measured)]),
        _table(_DAY_TITLES, [_day_cells(day) for day in bad_day_rows(measured)]),
        _table(("figure", "value"), _figures(measured)),
    )
    return "\n".join(
        f"## {title}\n\n{table}" for title, table in zip(_HEADINGS, tables, strict=True)
    )


def update(measured: dict) -> None:
    """Put new tables between the page's two marks."""
    head, _, rest = PAGE.read_text().partition(BEGIN)
    _, _, tail = rest.partition(END)
    PAGE.write_text(head + BEGIN + "\n" + render_tables(measured) + "\n" + END + tail)


def _cells(row: Row) -> tuple[str, ...]:
    return (
        row.role,
        row.quantity,
        row.unit,
        _number(row.target),
        _number(row.extrapolated),
        row.margin,
        row.mechanism,
        row.measured_up_to,
        row.breaks_first,
    )


def _day_cells(day: BadDay) -> tuple[str, ...]:
    return (
        day.event,
        day.comes,
        _number(day.cpu_percent),
        _number(day.sent_bytes_per_s),
        _number(day.settled_s),
        day.source,
        day.remark,
    )


def _figures(measured: dict) -> list[tuple[str, str]]:
    return [
        (f"`{part}.{name}`", _number(value))
        for part, figures in sorted(measured.items())
        for name, value in sorted(figures.items())
    ]


def _number(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def _table(titles, rows) -> str:
    lines = [titles, ["---"] * len(titles), *rows]
    return "".join(f"| {' | '.join(cells)} |\n" for cells in lines)
