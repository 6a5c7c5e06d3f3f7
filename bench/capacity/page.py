"""Writes the tables of docs/CAPACITY.md from the figures of the baseline."""

from pathlib import Path

from bench.capacity.bad_day_rows import EventCost, bad_day_rows
from bench.capacity.rows import Row, capacity_rows

__all__ = ["PAGE", "render_tables", "update"]

PAGE = Path(__file__).parent.parent.parent / "docs" / "CAPACITY.md"
BEGIN_MARK = "<!-- from bench/baselines/capacity.json; do not edit by hand -->\n"
END_MARK = "<!-- end of generated tables -->\n"
_ROW_TITLES = (
    "role",
    "quantity",
    "unit",
    "target",
    "extrapolated",
    "margin",
    "mechanism",
    "measured up to",
    "first bottleneck; next step",
)

_EVENT_TITLES = (
    "event",
    "received by a node",
    "processor, % of a core",
    "bytes/s sent",
    "settled after, s",
    "source",
    "remark",
)
_HEADINGS = ("Targets", "Bad days", "Figures of the run")


def render_tables(measured: dict) -> str:
    """Return the tables of the page as Markdown, each below its heading."""
    tables = (
        _format_table(
            _ROW_TITLES, [_row_cells(row) for row in capacity_rows(measured)]
        ),
        _format_table(
            _EVENT_TITLES, [_event_cells(cost) for cost in bad_day_rows(measured)]
        ),
        _format_table(("figure", "value"), _figure_cells(measured)),
    )
    return "\n".join(
        f"## {title}\n\n{table}" for title, table in zip(_HEADINGS, tables, strict=True)
    )


def update(measured: dict) -> None:
    """Replace the tables between `BEGIN_MARK` and `END_MARK` in the page file."""
    head, _, rest = PAGE.read_text().partition(BEGIN_MARK)
    _, _, tail = rest.partition(END_MARK)
    PAGE.write_text(
        head + BEGIN_MARK + "\n" + render_tables(measured) + "\n" + END_MARK + tail
    )


def _row_cells(row: Row) -> tuple[str, ...]:
    return (
        row.role,
        row.quantity,
        row.unit,
        _format_number(row.target),
        _format_number(row.extrapolated),
        row.margin,
        row.mechanism,
        row.measured_up_to,
        row.breaks_first,
    )


def _event_cells(cost: EventCost) -> tuple[str, ...]:
    return (
        cost.event,
        cost.incoming,
        _format_number(cost.cpu_percent),
        _format_number(cost.sent_bytes_per_s),
        _format_number(cost.settled_s),
        cost.source,
        cost.remark,
    )


def _figure_cells(measured: dict) -> list[tuple[str, str]]:
    return [
        (f"`{part}.{name}`", _format_number(value))
        for part, figures in sorted(measured.items())
        for name, value in sorted(figures.items())
    ]


def _format_number(value: float) -> str:
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def _format_table(titles, rows) -> str:
    lines = [titles, ["---"] * len(titles), *rows]
    return "".join(f"| {' | '.join(cells)} |\n" for cells in lines)
