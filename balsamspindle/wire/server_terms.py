"""What a backend server announced of itself, as gates and ingresses exchange it."""

from typing import NamedTuple

__all__ = ["ServerTerms"]


class ServerTerms(NamedTuple):
    """The terms of one lifetime of a backend server.

    A gate reports them in its replies. Ingresses send them back with their attempts,
    so that a gate knows them again after a restart of its node.

    Attributes
    ----------
    boot_id : str
        Differs for each lifetime.
    limit_per_s : float or None
        Requests per second that the backend server takes from all nodes together; None
        if it names no limit any more.
    is_leaving : bool
        Whether the backend server wants no new requests, because it is about to end.
    """

    boot_id: str
    limit_per_s: float | None = None
    is_leaving: bool = False
