"""Formats tables as text."""

from collections.abc import Sequence

__all__ = ["format_table"]

COLUMN_GAP = "  "


def format_table(header: Sequence[str], rows: Sequence[Sequence[object]]) -> str:
    """Return a table with aligned columns."""
    lines = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(_format_row(line, widths) for line in lines)


def _format_row(cells: Sequence[str], widths: Sequence[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return COLUMN_GAP.join(padded).rstrip()
