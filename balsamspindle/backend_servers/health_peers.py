"""Summaries of a backend server's peers: the service's other backend servers.

A gate compares each backend server with its peers, but does not see the peers' answers.
Ingresses see the answers of many backend servers, and add a summary of the peers to
each dispatch. The comparison therefore needs no messages of its own.
"""

import math

from balsamspindle.wire import PeerEvidence

__all__ = ["PeerAggregate"]

DECAY_TIME_S = 3.0
# Number of good peers added to the peers seen when the fraction of bad peers is
# calculated. Without them, one bad peer among few would be a large fraction.
PRIOR_GOOD_PEERS = 2.0
# Weight of a new summary's 99th percentile in the moving average.
P99_SMOOTHING = 0.1


class PeerAggregate:
    """A decaying average of the peer summaries that ingresses send.

    Attributes
    ----------
    p99_ms : float
        The peers' 99th percentile of latency; 0 while unknown.
    """

    def __init__(self) -> None:
        self.p99_ms = 0.0
        self._peers_seen = 0.0
        self._peers_bad = 0.0
        self._updated_s = 0.0
        self._is_p99_stale = False

    def record(self, evidence: PeerEvidence, now_s: float) -> None:
        """Add the summary that came with one dispatch to the average."""
        if not evidence.judged_count:
            return
        decay = self._decay_factor(now_s)
        self._peers_seen = self._peers_seen * decay + evidence.judged_count
        self._peers_bad = self._peers_bad * decay + evidence.bad_count
        self._updated_s = now_s
        if evidence.median_p99_ms > 0:
            estimate_ms = self.p99_ms or evidence.median_p99_ms
            if self._is_p99_stale and evidence.median_p99_ms > estimate_ms:
                estimate_ms = evidence.median_p99_ms
                self._is_p99_stale = False
            self.p99_ms = estimate_ms + P99_SMOOTHING * (
                evidence.median_p99_ms - estimate_ms
            )

    def mark_p99_stale(self) -> None:
        """Let the next summary with a higher percentile replace the average.

        A backend server that is held out gets no dispatches, and therefore few
        summaries of its peers. If all peers become slow during the hold-out, the
        average is too low when the hold-out ends. Each summary would correct only a
        tenth of the difference. A backend server that is as slow as its peers would
        then count as slow after its first answer. Its next hold-out would be twice as
        long.
        """
        self._is_p99_stale = True

    def bad_fraction(self, now_s: float) -> float:
        """Return the estimated fraction of bad peers, between 0 and 1."""
        decay = self._decay_factor(now_s)
        return self._peers_bad * decay / (self._peers_seen * decay + PRIOR_GOOD_PEERS)

    def _decay_factor(self, now_s: float) -> float:
        return math.exp(-max(0.0, now_s - self._updated_s) / DECAY_TIME_S)
