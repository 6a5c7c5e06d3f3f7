"""When a key without a claim in the store was surely never claimed.

A store that comes back from an older copy has lost the claims of its last seconds. In
the new era a claim that is missing proves nothing until each process that may have
held one has written its claims again and said so. Processes that ended before they
could do that leave the rest in doubt: as long as callers may send such keys again,
no key without a claim is run.
"""

import threading
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import msgspec

from balsamspindle.settings.process import KEY_RESEND_MAX_S

__all__ = [
    "COPY_AGE_MAX_S",
    "FIRST_ERA",
    "ClaimEras",
    "Confirmation",
    "Holder",
]

# A store that has never come back from a copy; 0 is one that tells no era.
FIRST_ERA = 1
# The age of the oldest copy that a store may come back from.
COPY_AGE_MAX_S = 60.0
# How long after its start a process knows all others of its fleet.
FLEET_KNOWN_AFTER_S = 5.0
# Processes that are cut off from their peers, and not from the store, write their
# claims again within this time without being waited for.
RESTORE_MIN_S = 1.0
# How long a request waits for the claims to be written again before it is given up.
RESTORE_WAIT_S = 2.0


class Holder(NamedTuple):
    """One process that may hold claims: as a gate, or as the ingress that made them."""

    node_id: str
    incarnation: int


class Confirmation(msgspec.Struct, frozen=True):
    """A process's word that its claims are in the store.

    Attributes
    ----------
    era : int
        Of the store in which they are.
    """

    incarnation: int
    era: int


class ClaimEras:
    """In which eras of the store all claims are known; safe from all threads.

    Parameters
    ----------
    resend_max_s : float
        How long claims of processes that are gone are in doubt.
    on_wanted : callable
        Told an era in which a request waits for claims to be written again.
    """

    def __init__(
        self,
        resend_max_s: float = KEY_RESEND_MAX_S,
        on_wanted: Callable[[int], None] = lambda era: None,
    ) -> None:
        self._resend_max_s = resend_max_s
        self._on_wanted = on_wanted
        self._changed = threading.Condition()
        self._seen_s: dict[Holder, float] = {}
        self._first_seen_s: float | None = None
        self._era = 0
        self._era_began_s = 0.0
        self._settled = FIRST_ERA
        # None where this process does not know who held claims.
        self._required: set[Holder] | None = set()

    def note_holders(
        self, holders: Iterable[Holder], answered_s: float, now_s: float
    ) -> None:
        """Take the processes of the fleet that run now.

        Parameters
        ----------
        answered_s : float
            When the store last answered in the present era: if it has come back
            since, its copy is at most so much older.
        """
        with self._changed:
            if self._first_seen_s is None:
                self._first_seen_s = now_s
            self._seen_s.update(dict.fromkeys(holders, now_s))
            oldest_s = min(now_s, answered_s) - COPY_AGE_MAX_S
            for holder in [one for one, s in self._seen_s.items() if s < oldest_s]:
                del self._seen_s[holder]

    def begin(self, era: int, now_s: float) -> bool:
        """Take the era that the store is in; tell whether it is new here."""
        with self._changed:
            if era <= self._era:
                return False
            self._required = self._holders_before(now_s)
            self._era, self._era_began_s = era, now_s
            self._changed.notify_all()
            return True

    def is_settled(self, era: int) -> bool:
        """Tell whether a claim that is missing in an era was never made."""
        return era <= self._settled

    def settle(self, era: int) -> None:
        """Take that all claims are written again in an era, or no longer resent."""
        with self._changed:
            self._settled = max(self._settled, era)
            self._changed.notify_all()

    def wait_settled(self, era: int, now_s: float, give_up_s: float) -> bool:
        """Wait while claims are being written again; tell whether all of them are.

        Who asks later is told at once: a process is missing that may not come back.
        """
        self._on_wanted(era)
        with self._changed:
            until_s = min(give_up_s, self._era_began_s + RESTORE_WAIT_S)
            return self._changed.wait_for(
                lambda: self.is_settled(era), max(0.0, until_s - now_s)
            )

    def missing(self, confirmed: Mapping[str, Confirmation]) -> set[Holder] | None:
        """Return the processes that have not confirmed the era; None: not known."""
        with self._changed:
            if self._required is None:
                return None
            return {
                holder
                for holder in self._required
                if not _confirms(confirmed.get(holder.node_id), holder, self._era)
            }

    def may_settle(self, missing: set[Holder] | None, now_s: float) -> bool:
        """Tell whether a claim that is not in the store was never made.

        Parameters
        ----------
        missing : set of Holder or None
            As `missing` returned it.
        """
        if missing == set():
            return now_s - self._era_began_s >= RESTORE_MIN_S
        return now_s - self._era_began_s >= self._resend_max_s

    def _holders_before(self, now_s: float) -> set[Holder] | None:
        """Return who may hold claims that an era which begins now has lost."""
        if self._era == 0 or self._first_seen_s is None:
            return None
        if now_s - self._first_seen_s < FLEET_KNOWN_AFTER_S:
            return None
        if self.is_settled(self._era):
            return set(self._seen_s)
        return None if self._required is None else self._required | set(self._seen_s)


def _confirms(word: Confirmation | None, holder: Holder, era: int) -> bool:
    """Tell whether a word is that of a process which ran when the era began.

    Peers may know it by a higher incarnation than its own, with which it has outbid
    old news of itself. A later process of the node has a higher one than both.
    """
    if word is None or word.era < era:
        return False
    return word.incarnation <= holder.incarnation
