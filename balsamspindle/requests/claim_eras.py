"""Decides when a key without a claim in the store is known to be unclaimed.

A store restored from an older copy has lost the claims of its last seconds and starts
a new era. In that era a missing claim proves nothing until every process that may have
held claims has written them again and confirmed it; then the era is settled. If such
a process ended before it confirmed, keys without a claim are not run until callers
can no longer resend the keys of the lost claims.
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
    "ClaimHolder",
]

# Era of a store that was never restored from a copy; 0 if the store reports no era.
FIRST_ERA = 1
# Age of the oldest copy from which a store may be restored.
COPY_AGE_MAX_S = 60.0
# Time after its start until a process knows all other processes of the fleet.
FLEET_KNOWN_AFTER_S = 5.0
# An era is settled this long after it began at the earliest. Processes that are cut
# off from their peers but not from the store may be missing from the processes that
# have to confirm; they write their claims again within this time.
RESTORE_MIN_S = 1.0
# Time after the start of an era during which requests wait for it to be settled.
RESTORE_WAIT_S = 2.0


class ClaimHolder(NamedTuple):
    """A process that may hold claims, as a gate or as the ingress that wrote them."""

    node_id: str
    incarnation: int


class Confirmation(msgspec.Struct, frozen=True):
    """A stored row by which a process confirms that its claims are in the store.

    Attributes
    ----------
    era : int
        Era of the store in which the claims were written.
    """

    incarnation: int
    era: int


class ClaimEras:
    """Tracks the eras of the store in which all claims are known; thread-safe.

    Parameters
    ----------
    resend_max_s : float
        Time for which callers may resend a key, and for which the claims of processes
        that have ended are therefore in doubt.
    on_request : callable
        Called with an era when a request waits for its claims to be written again.
    """

    def __init__(
        self,
        resend_max_s: float = KEY_RESEND_MAX_S,
        on_request: Callable[[int], None] = lambda era: None,
    ) -> None:
        self._resend_max_s = resend_max_s
        self._on_request = on_request
        self._changed = threading.Condition()
        self._seen_s: dict[ClaimHolder, float] = {}
        self._first_seen_s: float | None = None
        self._era = 0
        self._era_began_s = 0.0
        self._newest_settled_era = FIRST_ERA
        # Processes that have to confirm the era; None if this process doesn't know.
        self._required: set[ClaimHolder] | None = set()

    def record_holders(
        self, holders: Iterable[ClaimHolder], answered_s: float, now_s: float
    ) -> None:
        """Record which processes of the fleet are running now.

        Processes that ended before the oldest copy that may be restored are removed.

        Parameters
        ----------
        answered_s : float
            Time of the store's last answer in the current era. If the store has been
            restored since, its copy may be up to `COPY_AGE_MAX_S` older than this.
        """
        with self._changed:
            if self._first_seen_s is None:
                self._first_seen_s = now_s
            self._seen_s.update(dict.fromkeys(holders, now_s))
            oldest_s = min(now_s, answered_s) - COPY_AGE_MAX_S
            for ended in [
                holder for holder, seen_s in self._seen_s.items() if seen_s < oldest_s
            ]:
                del self._seen_s[ended]

    def begin(self, era: int, now_s: float) -> bool:
        """Begin an era of the store; return False if it is not newer than the last."""
        with self._changed:
            if era <= self._era:
                return False
            self._required = self._holders_before(now_s)
            self._era, self._era_began_s = era, now_s
            self._changed.notify_all()
            return True

    def is_settled(self, era: int) -> bool:
        """Return whether a claim that is missing in an era was never made."""
        return era <= self._newest_settled_era

    def settle(self, era: int) -> None:
        """Record that in an era no missing claim is in doubt any more.

        All claims were written again, or callers can no longer resend their keys.
        """
        with self._changed:
            self._newest_settled_era = max(self._newest_settled_era, era)
            self._changed.notify_all()

    def wait_until_settled(self, era: int, now_s: float, give_up_s: float) -> bool:
        """Wait while claims are being written again; return whether the era is settled.

        The wait ends at `give_up_s` or `RESTORE_WAIT_S` after the era began. A later
        call does not wait: the missing process may never return.
        """
        self._on_request(era)
        with self._changed:
            until_s = min(give_up_s, self._era_began_s + RESTORE_WAIT_S)
            return self._changed.wait_for(
                lambda: self.is_settled(era), max(0.0, until_s - now_s)
            )

    def missing_holders(
        self, confirmed: Mapping[str, Confirmation]
    ) -> set[ClaimHolder] | None:
        """Return the processes that have not confirmed the era; None if not known."""
        with self._changed:
            if self._required is None:
                return None
            return {
                holder
                for holder in self._required
                if not _confirms(confirmed.get(holder.node_id), holder, self._era)
            }

    def can_settle(self, missing: set[ClaimHolder] | None, now_s: float) -> bool:
        """Return whether the current era may be settled.

        Parameters
        ----------
        missing : set of ClaimHolder or None
            Result of `missing_holders`.
        """
        if missing == set():
            return now_s - self._era_began_s >= RESTORE_MIN_S
        return now_s - self._era_began_s >= self._resend_max_s

    def _holders_before(self, now_s: float) -> set[ClaimHolder] | None:
        """Return the processes that may hold claims lost in an era that begins now.

        None if this process can't know all of them.
        """
        if self._era == 0 or self._first_seen_s is None:
            return None
        if now_s - self._first_seen_s < FLEET_KNOWN_AFTER_S:
            return None
        if self.is_settled(self._era):
            return set(self._seen_s)
        return None if self._required is None else self._required | set(self._seen_s)


def _confirms(confirmation: Confirmation | None, holder: ClaimHolder, era: int) -> bool:
    """Return whether a confirmation is from a process that ran when the era began.

    Peers may know that process by a higher incarnation than its own, since a process
    raises its incarnation to refute outdated reports about itself. A later process of
    the same node has an incarnation that is higher than both.
    """
    if confirmation is None or confirmation.era < era:
        return False
    return confirmation.incarnation <= holder.incarnation
