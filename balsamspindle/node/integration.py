"""Options that a deployment passes to a node in code, besides its settings."""

from dataclasses import dataclass
from typing import TextIO

from balsamspindle.settings.watcher import OperatorRow

__all__ = ["Integration"]


@dataclass(frozen=True)
class Integration:
    """Options of one deployment; the defaults are those of the product.

    Attributes
    ----------
    operator_row : OperatorRow or None
        The row of the store that contains all settings; None if teams edit subtrees
        of the settings.
    log_stream : file or None
        Destination of the event log; standard error if None.
    """

    operator_row: OperatorRow | None = None
    log_stream: TextIO | None = None
