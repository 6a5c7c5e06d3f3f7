"""Suspicions: which nodes are suspected to be dead, by whom, and until when."""

import math
from typing import NamedTuple

from balsamspindle.membership.node_view import Epoch

__all__ = ["CONFIRMATIONS", "Suspicions", "timeout_s"]

TIMEOUT_MIN_S = 2.0
TIMEOUT_MAX_S = 8.0
# With this many suspecters besides the first one, the time-out of a suspicion is at
# its minimum.
CONFIRMATIONS = 3
# Suspecters needed to declare a node dead. If one were enough, a single node with a
# broken link or a slow member task could have healthy nodes declared dead.
SUSPECTERS_MIN = 2


def timeout_s(suspecters: int, confirmations: int) -> float:
    """Return the time in seconds that a suspected node has to refute the suspicion.

    Parameters
    ----------
    suspecters : int
        Number of nodes that suspect the node, including the first one.
    confirmations : int
        Number of suspecters besides the first one at which the time-out is at its
        minimum: `CONFIRMATIONS`, or fewer in a small fleet.

    Notes
    -----
    As in Lifeguard (Dadgar et al., 2017), the time-out shrinks with the
    logarithm of the number of independent suspecters.
    """
    if confirmations <= 0:
        return TIMEOUT_MIN_S
    fraction = math.log(max(suspecters, 1)) / math.log(confirmations + 1)
    span_s = TIMEOUT_MAX_S - TIMEOUT_MIN_S
    return max(TIMEOUT_MIN_S, TIMEOUT_MAX_S - span_s * fraction)


class ExpiredSuspicion(NamedTuple):
    """A suspicion whose time-out has passed.

    Attributes
    ----------
    confirmed : bool
        Whether enough nodes suspected the node to declare it dead.
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
        """Return the epoch at which a node is suspected; None if it is not."""
        suspicion = self._suspicions.get(node_id)
        return None if suspicion is None else suspicion.epoch

    def add(self, node_id: str, epoch: Epoch, suspecter_id: str, now_s: float) -> bool:
        """Record that a node suspects another; return whether to notify peers.

        Returns False if the epoch is outdated, the suspecter is already recorded, or
        enough suspecters are recorded.
        """
        known = self._suspicions.get(node_id)
        if known is None or epoch > known.epoch:
            self._suspicions[node_id] = _Suspicion(
                epoch, now_s, frozenset({suspecter_id})
            )
            return True
        if (
            epoch < known.epoch
            or suspecter_id in known.suspecters
            or len(known.suspecters) > CONFIRMATIONS
        ):
            return False
        self._suspicions[node_id] = known._replace(
            suspecters=known.suspecters | {suspecter_id}
        )
        return True

    def refute(self, node_id: str, epoch: Epoch) -> bool:
        """Remove the suspicion of a node that announced a later epoch of itself.

        Returns whether there was a suspicion of an epoch before `epoch`.
        """
        known = self._suspicions.get(node_id)
        if known is None or epoch <= known.epoch:
            return False
        del self._suspicions[node_id]
        return True

    def remove(self, node_id: str) -> None:
        """Remove the suspicion of a node, if there is one."""
        self._suspicions.pop(node_id, None)

    def clear(self) -> None:
        """Remove all suspicions without declaring any node dead."""
        self._suspicions.clear()

    def expire(self, confirmations: int, now_s: float) -> list[ExpiredSuspicion]:
        """Remove the suspicions whose time-out has passed, and return them."""
        expired = [
            ExpiredSuspicion(node_id, one.epoch, len(one.suspecters) >= SUSPECTERS_MIN)
            for node_id, one in self._suspicions.items()
            if now_s - one.started_s >= timeout_s(len(one.suspecters), confirmations)
        ]
        for suspicion in expired:
            del self._suspicions[suspicion.node_id]
        return expired
