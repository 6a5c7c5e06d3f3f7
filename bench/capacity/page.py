"""Writes the table of docs/CAPACITY.md from the baseline's figures."""

from pathlib import Path

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


def render_tables(measured: dict) -> str:
    """Return the generated part of the page."""
    rows = [_cells(row) for row in capacity_rows(measured)]
    return (
        _table(_TITLES, rows) + "\n" + _table(("figure", "value"), _figures(measured))
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
