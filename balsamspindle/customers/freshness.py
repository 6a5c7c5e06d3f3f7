"""Proofs that this node's settings are new enough for its keys to be used.

A revoked key must stop working on all nodes within a few seconds, even on a node that
receives no messages. So a node uses keys only while it can prove that a short time ago
its settings were the store's newest. A proof is a read of the newest revision in the
store. A node can use the proof if the revision that was read, or a newer one, is in
force at the node. The age of a proof counts from the start of the read, because the
result may lack changes that the store accepted later. If a node received no message
about a newer revision, this proves nothing: the message may have been lost.
"""

import threading
from typing import NamedTuple

__all__ = ["Freshness", "Proof"]


class Proof(NamedTuple):
    """The newest revision in the store when a read of the store began.

    Attributes
    ----------
    began_s : float
        When the read began, on this process's monotonic clock.
    source : str
        Member address of the peer that sent the proof; empty if this node read the
        store.
    """

    began_s: float
    revision: int
    source: str = ""


_NO_PROOF = Proof(float("-inf"), -1)


class Freshness:
    """Stores the newest proof and the newest usable proof; thread-safe.

    A proof is usable once the revision in force at this node is that of the proof or a
    newer one. So the newest proof is not usable while this node has yet to load the
    proof's revision.

    Parameters
    ----------
    age_max_s : float or None
        Age at which a proof expires; None if keys are used without a proof.
    """

    def __init__(self, age_max_s: float | None) -> None:
        self._age_max_s = age_max_s
        self._lock = threading.Lock()
        self._newest = _NO_PROOF
        # The newest proof that was usable when it was last compared with the revision
        # in force at this node.
        self._usable = _NO_PROOF

    @property
    def requires_proof(self) -> bool:
        """Whether keys are used only with a proof."""
        return self._age_max_s is not None

    def record(self, proof: Proof, own_revision: int) -> None:
        """Store a proof if its read began later than that of the newest proof.

        Parameters
        ----------
        own_revision : int
            The revision in force at this node.
        """
        with self._lock:
            self._update_usable(own_revision)
            if proof.began_s > self._newest.began_s:
                self._newest = proof
            self._update_usable(own_revision)

    def usable_proof(self, own_revision: int) -> Proof:
        """Return the newest usable proof; its revision is -1 if there is none."""
        with self._lock:
            self._update_usable(own_revision)
            return self._usable

    def is_fresh(self, own_revision: int, now_s: float) -> bool:
        """Return whether keys may be used now.

        True if the newest usable proof is younger than `age_max_s`, or if keys are used
        without a proof.
        """
        return self.is_young(self.usable_proof(own_revision), now_s)

    def is_young(self, proof: Proof, now_s: float) -> bool:
        """Return whether keys may be used by a proof, or without one."""
        return self._age_max_s is None or now_s - proof.began_s < self._age_max_s

    def _update_usable(self, own_revision: int) -> None:
        if self._newest.revision <= own_revision:
            self._usable = self._newest
