"""Decides whether an Idempotency-Key without a claim in the store was never claimed.

A store that is restored from an older copy has lost the claims written after the copy
was made, and it starts a new era. In that era a key without a claim may have been
claimed before the restore. The era is settled when every process that may know lost
claims has written its claims again and has confirmed in the store that it wrote them.
In a settled era, a key without a claim counts as unclaimed. If one of these processes
ended before it wrote this confirmation, the era is settled only when callers can no
longer resend the keys of the lost claims. Until the era is settled, requests whose keys
have no claim are not run.
"""

import threading
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

import msgspec

from balsamspindle.settings.process import KEY_RESEND_MAX_S
from balsamspindle.wire.member_messages import Count

__all__ = [
    "COPY_AGE_MAX_S",
    "FIRST_ERA",
    "ClaimEras",
    "Confirmation",
    "ClaimHolder",
]

# The era of a store until its first restore from a copy. Era 0 means that the store has
# not reported an era.
FIRST_ERA = 1
# A store is not restored from a copy that is older than this.
COPY_AGE_MAX_S = 60.0
# Time after its start by which a process knows all other processes of the fleet.
FLEET_KNOWN_AFTER_S = 5.0
# An era is settled (a key without a claim counts as unclaimed) no earlier than this
# time after the era's start. If a process reaches the store but not its peers, the
# peers may not know this process, and may then not wait for its confirmation. This time
# is long enough for such a process to write its claims again.
RESTORE_MIN_S = 1.0
# Until this time after an era's start, requests that claim a key wait for the era to be
# settled. After this time, such requests don't wait. If the era is still not settled,
# their keys are not claimed, and the requests are not run.
RESTORE_WAIT_S = 2.0


class ClaimHolder(NamedTuple):
    """A process that may know claims.

    Its gate ran requests with the claimed keys, or its ingress wrote the claims.
    """

    node_id: str
    incarnation: int


class Confirmation(msgspec.Struct, frozen=True):
    """Row of the store in which a process confirms that it wrote its claims again.

    Attributes
    ----------
    era : int
        Era of the store in which the process wrote its claims again.
    """

    incarnation: Count
    era: Count


class ClaimEras:
    """Tracks which eras of the store are settled; thread-safe.

    In a settled era, a key without a claim in the store counts as unclaimed.

    Parameters
    ----------
    resend_max_s : float
        Time for which callers may resend a key. If a process ended before it wrote its
        `Confirmation` of an era, the era is settled only this time after the era began.
    on_request : callable
        Called with an era when a request waits for the era to be settled.
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
        # Processes that have to write a `Confirmation` of the current era; None if this
        # process doesn't know all of these processes.
        self._required: set[ClaimHolder] | None = set()

    def record_holders(
        self, holders: Iterable[ClaimHolder], answered_s: float, now_s: float
    ) -> None:
        """Record which processes of the fleet are running now.

        Removes the processes that ended more than `COPY_AGE_MAX_S` before the store's
        last answer. The store can only be restored from a copy that was made after
        these processes ended. Such a copy contains all their claims, so no confirmation
        of these processes is required.

        Parameters
        ----------
        answered_s : float
            Time of the store's last answer in the current era. If the store has been
            restored since, the copy was made at most `COPY_AGE_MAX_S` before this time.
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
        """Begin an era; return False if this era or a later one has already begun."""
        with self._changed:
            if era <= self._era:
                return False
            self._required = self._holders_before(now_s)
            self._era, self._era_began_s = era, now_s
            self._changed.notify_all()
            return True

    @property
    def newest_settled(self) -> int:
        """The newest settled era; all earlier eras are settled, too."""
        return self._newest_settled_era

    def is_settled(self, era: int) -> bool:
        """Return whether an era is settled.

        In a settled era, a key without a claim in the store counts as unclaimed. In
        any other era, the store may have lost the key's claim.
        """
        return era <= self._newest_settled_era

    def settle(self, era: int) -> None:
        """Record that an era is settled.

        Either all claims were written again, or callers can no longer resend the keys
        of the lost claims.
        """
        with self._changed:
            self._newest_settled_era = max(self._newest_settled_era, era)
            self._changed.notify_all()

    def wait_until_settled(self, era: int, now_s: float, deadline_s: float) -> bool:
        """Wait for an era to be settled; return whether it is.

        Calls `on_request` first. The wait ends at `deadline_s`, or `RESTORE_WAIT_S`
        after the current era began if that is sooner. Once `RESTORE_WAIT_S` has passed,
        calls return at once: a process that has not written its `Confirmation` by then
        may have ended and may never write it.
        """
        self._on_request(era)
        with self._changed:
            until_s = min(deadline_s, self._era_began_s + RESTORE_WAIT_S)
            return self._changed.wait_for(
                lambda: self.is_settled(era), max(0.0, until_s - now_s)
            )

    def missing_holders(
        self, confirmed: Mapping[str, Confirmation]
    ) -> set[ClaimHolder] | None:
        """Return the processes whose `Confirmation` of the current era is missing.

        Returns None if this process doesn't know all processes that have to write one.

        Parameters
        ----------
        confirmed : mapping of str to Confirmation
            The confirmations in the store, by node id.
        """
        with self._changed:
            if self._required is None:
                return None
            return {
                holder
                for holder in self._required
                if not _confirms(confirmed.get(holder.node_id), holder, self._era)
            }

    def can_settle(self, missing: set[ClaimHolder] | None, now_s: float) -> bool:
        """Return whether this process can declare the current era settled.

        If no confirmation is missing, the result is True from `RESTORE_MIN_S` after the
        era began. Otherwise, the result is True from `resend_max_s` after the era
        began, when callers can no longer resend the keys of lost claims.

        Parameters
        ----------
        missing : set of ClaimHolder or None
            Result of `missing_holders`.
        """
        if missing == set():
            return now_s - self._era_began_s >= RESTORE_MIN_S
        return now_s - self._era_began_s >= self._resend_max_s

    def _holders_before(self, now_s: float) -> set[ClaimHolder] | None:
        """Return the processes that must write a `Confirmation` of an era begun now.

        The store may have lost claims that these processes know. Returns None if this
        process may not know all of these processes.
        """
        if self._era == 0 or self._first_seen_s is None:
            return None
        if now_s - self._first_seen_s < FLEET_KNOWN_AFTER_S:
            return None
        if self.is_settled(self._era):
            return set(self._seen_s)
        return None if self._required is None else self._required | set(self._seen_s)


def _confirms(confirmation: Confirmation | None, holder: ClaimHolder, era: int) -> bool:
    """Return whether a node's confirmation of an era is from the given process.

    The confirmation may be from a process that started after `holder` on the same node.
    That process has a higher incarnation than `holder` ever had. A confirmation by
    `holder` itself contains the incarnation with which `holder` started. Then
    `holder.incarnation` is equal or higher, because a process raises its incarnation to
    refute outdated reports about itself. So the confirmation is from `holder` if the
    incarnation in the confirmation is at most `holder.incarnation`.
    """
    if confirmation is None or confirmation.era < era:
        return False
    return confirmation.incarnation <= holder.incarnation
