"""What a deployment gives a node besides its settings."""

from dataclasses import dataclass
from typing import TextIO

from balsamspindle.settings.watcher import OperatorRow

__all__ = ["Integration"]


@dataclass(frozen=True)
class Integration:
    """Ways of one deployment; the defaults are the product's own.

    Attributes
    ----------
    operator_row : OperatorRow or None
        The row of the store that holds the whole settings; None where teams
        edit subtrees of them.
    log_stream : file or None
        Where events go; standard error when None.
    """

    operator_row: OperatorRow | None = None
    log_stream: TextIO | None = None
