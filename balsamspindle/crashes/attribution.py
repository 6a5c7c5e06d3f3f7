"""Who is blamed for which crash, given all that a node knows."""

from collections.abc import Callable, Collection
from dataclasses import dataclass

from balsamspindle.crashes.records import Crash
from balsamspindle.crashes.verdicts import NO_CASE, WAVE_S, Case, Hit, chance, leader

__all__ = ["Blame", "KnownCrash"]


@dataclass
class KnownCrash:
    """A crash as one node knows it.

    Attributes
    ----------
    at_s : float
        On this node's monotonic clock.
    runs : dict of int to float
        How long each content had run; those that are answered later are taken out.
    """

    crash: Crash
    at_s: float
    runs: dict[int, float]


class Blame:
    """One look at all crashes; made anew when they or the quarantines change.

    Parameters
    ----------
    is_quarantined : callable
        Tells whether a content is known to crash backend servers.
    servers : callable
        Returns the number of a service's backend servers.
    """

    def __init__(
        self,
        crashes: Collection[KnownCrash],
        is_quarantined: Callable[[int], bool],
        servers: Callable[[str], int],
    ) -> None:
        self._crashes = crashes
        self._is_quarantined = is_quarantined
        self._servers = servers
        self._chances: dict[int, float] = {}

    def leader(self, known: KnownCrash) -> int | None:
        """Return the content that is blamed for a crash, if there is one."""
        quarantined = self._quarantined_in(known)
        chances = dict.fromkeys(known.runs, 1.0)
        if not quarantined:
            chances = {content: self._chance(content) for content in known.runs}
        return leader(chances, quarantined)

    def case(self, content: int) -> Case:
        """Return what speaks for a request being the cause of crashes."""
        return self._case_of(
            content,
            [
                known
                for known in self._crashes
                if content in known.runs and self.leader(known) == content
            ],
        )

    def _chance(self, content: int) -> float:
        """Return how likely all crashes of a request are by chance."""
        if content not in self._chances:
            unexplained = [
                known
                for known in self._crashes
                if content in known.runs and not self._quarantined_in(known)
            ]
            self._chances[content] = chance(self._case_of(content, unexplained))
        return self._chances[content]

    def _case_of(self, content: int, blamed: list[KnownCrash]) -> Case:
        if not blamed:
            return NO_CASE
        hits = sorted(Hit(known.at_s, known.runs[content]) for known in blamed)
        services = {known.crash.service for known in blamed}
        crashes = sum(
            hits[0].at_s - WAVE_S <= known.at_s <= hits[-1].at_s
            and known.crash.service in services
            and not self._quarantined_in(known)
            for known in self._crashes
        )
        return Case(hits, crashes, sum(map(self._servers, services)))

    def _quarantined_in(self, known: KnownCrash) -> list[int]:
        return list(filter(self._is_quarantined, known.runs))
