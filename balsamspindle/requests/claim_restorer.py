"""Writes this process's claims again after the store was restored from an older copy.

A process knows the keys of the requests that its gate ran, and the claims that its
ingress wrote. The process writes claims for these keys, and the claims of its ingress,
to the store again. Then it writes a `Confirmation` into its node's row of
`CLAIM_ERAS_TABLE`. When all processes have written their confirmations, one of them
marks the store's new era as settled: a key without a claim then counts as unclaimed
(see `balsamspindle.requests.claim_eras`).

A process without claims writes its `Confirmation` only when a request with a key waits,
at any node, for the era to be settled. If the callers of a fleet send no keys, its
processes thus make no calls to the store.
"""

import math
import random
import threading
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec
from expression import Result

from balsamspindle.backend_servers.ledger import ClaimedKey
from balsamspindle.requests.claim_eras import (
    COPY_AGE_MAX_S,
    FIRST_ERA,
    ClaimEras,
    ClaimHolder,
    Confirmation,
)
from balsamspindle.requests.claims import (
    CLAIMS_TABLE,
    StoredClaim,
    WrittenClaim,
    claim_key,
)
from balsamspindle.tables import (
    Check,
    Conflict,
    Put,
    RowDecoder,
    TableService,
    Transaction,
)
from balsamspindle.tables.eras import era_of, pack_version
from balsamspindle.timeline import EventLog

__all__ = ["CLAIM_ERAS_TABLE", "ClaimRestorer"]

CLAIM_ERAS_TABLE = "claim-eras"
# Key of the row that marks an era as settled. Node ids do not begin with "_", so no
# node's row has this key.
SETTLED_KEY = "_settled"
CLAIMS_PER_BATCH = 50
# Maximum number of tries to write a batch of claims. A try fails if a row of the batch
# does not have the expected version.
BATCH_ATTEMPTS_MAX = 8
# Interval at which `run` checks for a new era of the store when nothing wakes it.
IDLE_INTERVAL_S = 1.0
RETRY_DELAY_MIN_S, RETRY_DELAY_MAX_S = 0.1, 10.0
# Incarnation that no process has. If the claim of a key has this incarnation, no gate
# runs a request with the key. Gates reply that such a request may have run.
NO_INCARNATION = 0


class _ClaimRewrite(NamedTuple):
    """A claim to be written again.

    Attributes
    ----------
    overrides : bool
        Whether this claim replaces a different claim that the store has for the key.
        True if a request with the key ran, or may have run, at this process's gate.
    """

    key: str
    stored: StoredClaim
    overrides: bool


class ClaimRestorer:
    """Background task that restores claims in each new era of the store.

    It writes the claims of this process again. Once all processes have confirmed that
    they wrote theirs, it marks the era as settled: from then on, a key without a claim
    in the store counts as unclaimed.

    Parameters
    ----------
    begin_era : callable
        See `RunLedger.begin_era`.
    take_written_claims : callable
        See `ClaimsTable.take_written_claims`.
    fleet : callable
        Returns the processes of the fleet that are running now.
    is_isolated : callable
        Returns whether no peer answers this node.
    """

    def __init__(
        self,
        tables: TableService,
        own: ClaimHolder,
        eras: ClaimEras,
        begin_era: Callable[[int, float, float], list[ClaimedKey]],
        take_written_claims: Callable[[float, float], list[WrittenClaim]],
        fleet: Callable[[], Iterable[ClaimHolder]],
        is_isolated: Callable[[], bool],
        events: EventLog,
    ) -> None:
        self._tables = tables
        self._own = own
        self._eras = eras
        self._begin_era = begin_era
        self._take_written_claims = take_written_claims
        self._fleet = fleet
        self._is_isolated = is_isolated
        self._events = events
        self._claim_rows = RowDecoder(CLAIMS_TABLE, StoredClaim, events)
        self._era_rows = RowDecoder(CLAIM_ERAS_TABLE, Confirmation, events)
        self._random = random.Random(f"{own.node_id}/{own.incarnation}/claims")
        self._changed = threading.Event()
        self._stopped = False
        self._era = self._confirmed_era = self._requested_era = 0
        # Claims to write again in this era; None until they have been collected.
        self._to_rewrite: list[_ClaimRewrite] | None = None
        self._answered_s = -math.inf
        # The store may have lost claims that were written after this time.
        self._lost_after_s = math.inf
        self._reported_missing: set[ClaimHolder] = set()

    def run(self) -> None:
        """Restore claims in each new era until `stop` is called."""
        retry_delay_s = RETRY_DELAY_MIN_S
        while not self._stopped:
            now_s = time.monotonic()
            if self.step(now_s):
                retry_delay_s = RETRY_DELAY_MIN_S
                self._changed.wait(IDLE_INTERVAL_S)
            else:
                self._changed.wait(retry_delay_s * self._random.uniform(0.5, 1.5))
                retry_delay_s = min(2 * retry_delay_s, RETRY_DELAY_MAX_S)
            if self._changed.is_set():
                retry_delay_s = RETRY_DELAY_MIN_S
                self._changed.clear()

    def stop(self) -> None:
        """Make `run` return after its current step."""
        self._stopped = True
        self._changed.set()

    def wake(self) -> None:
        """Make `run` check the era of the store without waiting for its interval."""
        self._changed.set()

    def request_era(self, era: int) -> None:
        """Record that a request waits until an era is settled, and wake `run`."""
        self._requested_era = max(self._requested_era, era)
        self._changed.set()

    def step(self, now_s: float) -> bool:
        """Restore claims as far as the store and the other processes allow now.

        Returns
        -------
        bool
            False if the step has to be repeated. True if the next step is due only when
            a new era begins, or when a request waits for the current era to be settled.
        """
        era = self._tables.era
        self._update_era(era, now_s)
        self._record_fleet(now_s)
        if self._eras.is_settled(era) and self._confirmed_era >= era:
            return True
        if self._to_rewrite is None:
            self._to_rewrite = self._collect_claims(era, now_s)
        if not self._to_rewrite and self._requested_era < era:
            return True
        if self._confirmed_era < era and not self._write_and_confirm(
            self._to_rewrite, era
        ):
            return False
        return self._eras.is_settled(era) or self._try_settle(era, now_s)

    def _update_era(self, era: int, now_s: float) -> None:
        self._eras.begin(era, now_s)
        if era > self._era:
            # `_answered_s` is the time of the last answer that this process got from
            # the store in the previous era. The store was restored after this
            # time, from a copy that was at most COPY_AGE_MAX_S old. So the copy was
            # made no earlier than COPY_AGE_MAX_S before this time. Claims that were
            # written after the copy was made may be lost.
            oldest_s = self._answered_s - COPY_AGE_MAX_S
            self._lost_after_s = min(self._lost_after_s, oldest_s)
            self._era, self._to_rewrite = era, None
        if era <= FIRST_ERA:
            self._set_confirmed(era)

    def _set_confirmed(self, era: int) -> None:
        self._confirmed_era = era
        self._lost_after_s = math.inf

    def _record_fleet(self, now_s: float) -> None:
        self._answered_s = self._tables.answered_s
        # A process that gets no answers from its peers does not see all processes of
        # the fleet. So it passes the time -inf, with which `record_holders` removes no
        # process that was seen earlier.
        answered_s = -math.inf if self._is_isolated() else self._answered_s
        self._eras.record_holders([self._own, *self._fleet()], answered_s, now_s)

    def _collect_claims(self, era: int, now_s: float) -> list[_ClaimRewrite]:
        """Return the claims of this process that the store may have lost."""
        after_s = self._lost_after_s
        claimed_keys = self._begin_era(pack_version(era, 0), after_s, now_s)
        claims = [self._rewrite_after_run(claimed_key) for claimed_key in claimed_keys]
        known = {claim.key for claim in claims}
        claims += [
            _rewrite_without_run(written_claim)
            for written_claim in self._take_written_claims(after_s, now_s)
            if written_claim.key not in known
        ]
        # A key has several claims in this list if its claim was moved to another gate.
        # Only the claim that was written last is in force, so the others are dropped.
        return list({claim.key: claim for claim in claims}.values())

    def _write_and_confirm(self, claims: list[_ClaimRewrite], era: int) -> bool:
        """Write claims to the store, and then this process's `Confirmation`.

        Returns True if both writes succeeded in this era of the store.
        """
        for first in range(0, len(claims), CLAIMS_PER_BATCH):
            if not self._write_batch(claims[first : first + CLAIMS_PER_BATCH], era):
                return False
        confirmation = Confirmation(self._own.incarnation, era)
        if not self._put(self._own.node_id, confirmation, era):
            return False
        self._set_confirmed(era)
        self._events.emit("claims_restored", era=era, keys=len(claims))
        return True

    def _rewrite_after_run(self, claimed_key: ClaimedKey) -> _ClaimRewrite:
        stored = StoredClaim(*self._own, claimed_key.claimed_s, time.time())
        return _ClaimRewrite(
            claim_key(claimed_key.service, claimed_key.key), stored, True
        )

    def _write_batch(self, claims: list[_ClaimRewrite], era: int) -> bool:
        """Write a batch of claims; return whether the store has them in this era.

        If the store has no claim of a key, the key's claim is written. If the store has
        one, `_must_write` decides whether the new claim replaces the stored claim.
        Returns False if the store fails or changes its era, or after
        `BATCH_ATTEMPTS_MAX` tries.
        """
        versions = dict.fromkeys((claim.key for claim in claims), 0)
        for _ in range(BATCH_ATTEMPTS_MAX):
            if not claims:
                return True
            transaction = Transaction(
                [
                    Check(CLAIMS_TABLE, claim.key, versions[claim.key])
                    for claim in claims
                ],
                [
                    Put(CLAIMS_TABLE, claim.key, msgspec.to_builtins(claim.stored))
                    for claim in claims
                ],
            )
            match self._tables.transact(transaction):
                case Result(tag="ok", ok=version):
                    return era_of(version) == era
                case Result(error=Conflict(rows)):
                    versions = {row.key: row.version for row in rows}
                    found = {row.key: row for row in rows}
                    claims = [
                        claim
                        for claim in claims
                        if _must_write(claim, self._claim_rows.decode(found[claim.key]))
                    ]
                case Result(error=error):
                    self._events.emit("claims_unwritten", era=era, cause=error.message)
                    return False
        return False

    def _try_settle(self, era: int, now_s: float) -> bool:
        """Mark the era as settled if allowed; return whether it is settled.

        If another process has written the mark into the store, only `ClaimEras` is
        updated. Otherwise, this process writes the mark if `ClaimEras.can_settle`
        returns True. If not, it reports the processes without a `Confirmation`.
        """
        match self._tables.scan(CLAIM_ERAS_TABLE):
            case Result(tag="ok", ok=rows):
                confirmations = {row.key: self._era_rows.decode(row) for row in rows}
            case Result(error=error):
                self._events.emit("claims_unread", era=era, cause=error.message)
                return False
        settled = confirmations.pop(SETTLED_KEY, None)
        if settled is not None and settled.era >= era:
            return self._settle(era)
        missing = self._eras.missing_holders(confirmations)
        if self._eras.can_settle(missing, now_s):
            confirmation = Confirmation(self._own.incarnation, era)
            return self._put(SETTLED_KEY, confirmation, era) and self._settle(era)
        self._report_missing(era, missing)
        return False

    def _settle(self, era: int) -> bool:
        if self._tables.era != era:
            return False
        self._eras.settle(era)
        self._events.emit("claims_settled", era=era)
        self._reported_missing = set()
        return True

    def _report_missing(self, era: int, missing: set[ClaimHolder] | None) -> None:
        if missing is None or missing <= self._reported_missing:
            return
        self._reported_missing = missing
        names = ",".join(
            sorted(f"{holder.node_id}/{holder.incarnation}" for holder in missing)
        )
        self._events.emit("claims_missing", era=era, of=names[:200])

    def _put(self, key: str, confirmation: Confirmation, era: int) -> bool:
        put = Put(CLAIM_ERAS_TABLE, key, msgspec.to_builtins(confirmation))
        match self._tables.transact(Transaction([], [put])):
            case Result(tag="ok", ok=version):
                return era_of(version) == era
            case Result(error=error):
                self._events.emit("claims_unwritten", era=era, cause=error.message)
        return False


def _rewrite_without_run(written_claim: WrittenClaim) -> _ClaimRewrite:
    """Return a claim of this node's ingress, changed so that no gate runs the request.

    The original claim is not written again. After that claim was written, its gate may
    have replied 'not run', and another gate may have run the request. Written again,
    the original claim would get a new version, with which its gate could run the
    request a second time. The process of its gate may also have ended. If a gate ran
    the request, that gate's process replaces the changed claim (`_rewrite_after_run`).
    """
    stored = msgspec.structs.replace(written_claim.stored, incarnation=NO_INCARNATION)
    return _ClaimRewrite(written_claim.key, stored, False)


def _must_write(claim: _ClaimRewrite, present: StoredClaim | None) -> bool:
    """Return whether to write a claim in place of the present one of its key.

    The result is True if the key's row has no claim that can be decoded. Otherwise, it
    is True only for a claim with `overrides`, and only if the two claims name different
    gate processes.
    """
    if present is None:
        return True
    is_same = _holder(present) == _holder(claim.stored)
    return claim.overrides and not is_same


def _holder(stored: StoredClaim) -> ClaimHolder:
    return ClaimHolder(stored.node_id, stored.incarnation)
