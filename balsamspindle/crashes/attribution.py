"""Attributes each crash that a node knows to the request that caused it, if any."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from balsamspindle.crashes.records import Crash
from balsamspindle.crashes.verdicts import (
    NO_EVIDENCE,
    RATE_LEAD_S,
    AttributedCrash,
    CauseEvidence,
    coincidence_probability,
    likeliest_cause,
)

__all__ = ["CrashAttribution", "KnownCrash"]


@dataclass
class KnownCrash:
    """A crash in the history of one node.

    Attributes
    ----------
    at_s : float
        Time of the crash, on this node's monotonic clock.
    runs : dict of int to float
        Run time in seconds of each request that was running, by its content hash. A
        request that is answered after the crash is removed.
    """

    crash: Crash
    at_s: float
    runs: dict[int, float]


class CrashAttribution:
    """Attributes each crash to the request that most probably caused it.

    Results are cached, so crashes and quarantines must not change while an instance is
    in use.

    Parameters
    ----------
    is_quarantined : callable
        Returns whether the request with a content hash is quarantined.
    count_servers : callable
        Returns the number of a service's backend servers.
    """

    def __init__(
        self,
        crashes: Collection[KnownCrash],
        is_quarantined: Callable[[int], bool],
        count_servers: Callable[[str], int],
    ) -> None:
        self._crashes = crashes
        self._is_quarantined = is_quarantined
        self._count_servers = count_servers
        self._probabilities: dict[int, float] = {}

    def cause_of(self, known: KnownCrash) -> int | None:
        """Return the content hash of the cause of a crash; None when unclear.

        If quarantined requests were running at the crash, only they are considered.
        """
        quarantined = self._quarantined_in(known)
        probabilities = dict.fromkeys(known.runs, 1.0)
        if not quarantined:
            probabilities = {
                content_hash: self._probability(content_hash)
                for content_hash in known.runs
            }
        return likeliest_cause(probabilities, quarantined)

    def evidence(self, content_hash: int) -> CauseEvidence:
        """Return the evidence that a request causes the crashes attributed to it."""
        return self._evidence_for(
            content_hash,
            [
                known
                for known in self._crashes
                if content_hash in known.runs and self.cause_of(known) == content_hash
            ],
        )

    def _probability(self, content_hash: int) -> float:
        """Return the probability that a request ran at its crashes by coincidence.

        Crashes at which a quarantined request was running are left out.
        """
        if content_hash not in self._probabilities:
            unexplained = [
                known
                for known in self._crashes
                if content_hash in known.runs and not self._quarantined_in(known)
            ]
            self._probabilities[content_hash] = coincidence_probability(
                self._evidence_for(content_hash, unexplained)
            )
        return self._probabilities[content_hash]

    def _evidence_for(
        self, content_hash: int, attributed: list[KnownCrash]
    ) -> CauseEvidence:
        if not attributed:
            return NO_EVIDENCE
        own_crashes = sorted(
            AttributedCrash(known.at_s, known.runs[content_hash])
            for known in attributed
        )
        services = {known.crash.service for known in attributed}
        service_crash_count = sum(
            own_crashes[0].at_s - RATE_LEAD_S <= known.at_s <= own_crashes[-1].at_s
            and known.crash.service in services
            and not self._quarantined_in(known)
            for known in self._crashes
        )
        return CauseEvidence(
            own_crashes, service_crash_count, sum(map(self._count_servers, services))
        )

    def _quarantined_in(self, known: KnownCrash) -> list[int]:
        return list(filter(self._is_quarantined, known.runs))
