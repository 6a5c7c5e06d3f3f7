"""Decodes rows whose values other programs may have written."""

from typing import Any

from balsamspindle.protocol.decoding import InputError, convert_input, shorten
from balsamspindle.tables.protocol import Row
from balsamspindle.timeline import EventLog

__all__ = ["RowDecoder"]

# Rows of a table that one process reports. Thousands of odd rows would otherwise fill
# the log each time that the table is read.
REPORTED_MAX = 100


class RowDecoder:
    """Decodes the rows of one table, and reports each row that it can't decode once.

    Parameters
    ----------
    kind : type
        Type of the rows' values.
    events : EventLog or None
        None to report nothing.
    """

    def __init__(self, table: str, kind: Any, events: EventLog | None) -> None:
        self._table = table
        self._kind = kind
        self._events = events
        self._reported: set[tuple[str, int]] = set()

    def decode(self, row: Row) -> Any | None:
        """Return the row's value; None if the row is missing or can't be decoded."""
        if row.fault:
            self.report(row, row.fault)
            return None
        if row.value is None:
            return None
        try:
            return convert_input(row.value, self._kind)
        except InputError as error:
            self.report(row, str(error))
            return None

    def report(self, row: Row, cause: str) -> None:
        """Emit `row_unreadable`, unless it was emitted for this version of the row."""
        key = (row.key, row.version)
        if self._events is None or key in self._reported:
            return
        if len(self._reported) >= REPORTED_MAX:
            return
        self._reported.add(key)
        self._events.emit(
            "row_unreadable",
            table=self._table,
            key=shorten(row.key),
            row_version=row.version,
            cause=cause,
        )
