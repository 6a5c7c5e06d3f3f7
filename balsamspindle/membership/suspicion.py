"""Who is suspected of being dead, by whom, and when that becomes a verdict."""

import math
from typing import NamedTuple

from balsamspindle.membership.node_view import Epoch

__all__ = ["CONFIRMATIONS", "Suspicions", "timeout_s"]

TIMEOUT_MIN_S = 2.0
TIMEOUT_MAX_S = 8.0
# Independent nodes besides the first that shorten the time-out to its least.
CONFIRMATIONS = 3
# A death needs this many who say so: one node whose own link is broken, or
# whose task is slow, never kills another.
SUSPECTERS_MIN = 2


def timeout_s(suspecters: int, confirmations: int) -> float:
    """Return how long a suspected node has to refute.

    Parameters
    ----------
    suspecters : int
        Nodes that suspect it, the first one included.
    confirmations : int
        Further suspecters that can be expected: `CONFIRMATIONS`, or fewer in
        a small fleet.

    Notes
    -----
    As in Lifeguard (Dadgar et al., 2017): it shrinks with the logarithm of
    the number of independent suspecters.
    """
    if confirmations <= 0:
        return TIMEOUT_MIN_S
    share = math.log(max(suspecters, 1)) / math.log(confirmations + 1)
    span_s = TIMEOUT_MAX_S - TIMEOUT_MIN_S
    return max(TIMEOUT_MIN_S, TIMEOUT_MAX_S - span_s * share)


class Expired(NamedTuple):
    """A suspicion whose time is over.

    Attributes
    ----------
    confirmed : bool
        Enough nodes said so: the node is dead.
    """

    node_id: str
    epoch: Epoch
    confirmed: bool


class _Suspicion(NamedTuple):
    epoch: Epoch
    started_s: float
    suspecters: frozenset[str]


class Suspicions:
    """The suspected nodes; used by the member task alone."""

    def __init__(self) -> None:
        self._suspicions: dict[str, _Suspicion] = {}

    def __len__(self) -> int:
        return len(self._suspicions)

    def __contains__(self, node_id: str) -> bool:
        return node_id in self._suspicions

    def epoch_of(self, node_id: str) -> Epoch | None:
        """Return the epoch at which a node is suspected, or None."""
        suspicion = self._suspicions.get(node_id)
        return None if suspicion is None else suspicion.epoch

    def add(self, node_id: str, epoch: Epoch, by: str, now_s: float) -> bool:
        """Note one suspecter; return True when that is worth passing on."""
        known = self._suspicions.get(node_id)
        if known is None or epoch > known.epoch:
            self._suspicions[node_id] = _Suspicion(epoch, now_s, frozenset({by}))
            return True
        if (
            epoch < known.epoch
            or by in known.suspecters
            or len(known.suspecters) > CONFIRMATIONS
        ):
            return False
        self._suspicions[node_id] = known._replace(suspecters=known.suspecters | {by})
        return True

    def refute(self, node_id: str, epoch: Epoch) -> bool:
        """End a suspicion that is older than what the node says of itself."""
        known = self._suspicions.get(node_id)
        if known is None or epoch <= known.epoch:
            return False
        del self._suspicions[node_id]
        return True

    def drop(self, node_id: str) -> None:
        """End a suspicion."""
        self._suspicions.pop(node_id, None)

    def clear(self) -> None:
        """End all suspicions without a verdict."""
        self._suspicions.clear()

    def expire(self, confirmations: int, now_s: float) -> list[Expired]:
        """Take out the suspicions whose time is over."""
        expired = [
            Expired(node_id, one.epoch, len(one.suspecters) >= SUSPECTERS_MIN)
            for node_id, one in self._suspicions.items()
            if now_s - one.started_s >= timeout_s(len(one.suspecters), confirmations)
        ]
        for verdict in expired:
            del self._suspicions[verdict.node_id]
        return expired
