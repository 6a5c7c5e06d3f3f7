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

from balsamspindle.settings.configuration import Configuration, CurrentConfiguration

__all__ = ["Freshness", "Proof", "ProvenConfiguration"]


class Proof(NamedTuple):
    """The newest revision in the store when a read of the store began.

    Attributes
    ----------
    began_s : float
        When the read began, on the clock of `proof_time_s`.
    source : str
        Member address of the peer that sent the proof; empty if this node read the
        store.
    """

    began_s: float
    revision: int
    source: str = ""


NO_PROOF = Proof(float("-inf"), -1)


class ProvenConfiguration(NamedTuple):
    """The configuration in force with the newest proof that covers it.

    Both are read at one moment. A request whose key is looked up in one configuration
    and accepted by the proof of another could use a key that is revoked.

    Attributes
    ----------
    configuration : Configuration or None
        None if none is in force yet.
    proof : Proof
        Its revision is that of the configuration or an older one; -1 without a proof.
    """

    configuration: Configuration | None
    proof: Proof

    @property
    def revision(self) -> int:
        """Revision of the configuration; -1 if there is none."""
        return -1 if self.configuration is None else self.configuration.revision

    def age_s(self, now_s: float) -> float:
        """Return the age of the proof; infinite without a proof.

        Parameters
        ----------
        now_s : float
            Present time on the clock of `proof_time_s`.
        """
        return now_s - self.proof.began_s


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

    def __init__(
        self, age_max_s: float | None, configuration: CurrentConfiguration
    ) -> None:
        self._age_max_s = age_max_s
        self._configuration = configuration
        self._lock = threading.Lock()
        self._newest = NO_PROOF
        # The newest proof that was usable when it was last compared with the revision
        # in force at this node.
        self._usable = NO_PROOF

    @property
    def requires_proof(self) -> bool:
        """Whether keys are used only with a proof."""
        return self._age_max_s is not None

    def record(self, proof: Proof) -> None:
        """Store a proof if its read began later than that of the newest proof."""
        with self._lock:
            self._read_proven()
            if proof.began_s > self._newest.began_s:
                self._newest = proof

    def proven(self) -> ProvenConfiguration:
        """Return the configuration in force and its newest usable proof."""
        with self._lock:
            return self._read_proven()

    def is_fresh(self, proven: ProvenConfiguration, now_s: float) -> bool:
        """Return whether keys of a configuration may be used now.

        True if its proof is younger than `age_max_s`, or if keys are used without a
        proof.
        """
        return self._age_max_s is None or proven.age_s(now_s) < self._age_max_s

    def _read_proven(self) -> ProvenConfiguration:
        # The lock is held from here to the comparison, and the revision in force never
        # decreases. So a proof that was usable before covers this configuration, too.
        proven = ProvenConfiguration(self._configuration.get(), self._usable)
        if self._newest.revision <= proven.revision:
            self._usable = self._newest
        return proven._replace(proof=self._usable)
