"""Writes the claims of this process again when the store comes back from a copy.

A gate knows the keys that it ran, and an ingress the claims that it made. Both write
them again, then confirm so in a row of their own. When the confirmations of all are
there, one process says that the era is settled: a key without a claim has none.

Processes that have nothing to write wait until a request with a key comes anywhere: a
fleet whose callers send no keys makes no calls.
"""

import math
import random
import threading
import time
from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec
from expression import Result

from balsamspindle.backend_servers.ledger import HeldKey
from balsamspindle.requests.claim_eras import (
    COPY_AGE_MAX_S,
    FIRST_ERA,
    ClaimEras,
    Confirmation,
    Holder,
)
from balsamspindle.requests.claims import (
    CLAIMS_TABLE,
    MadeClaim,
    StoredClaim,
    claim_key,
)
from balsamspindle.tables import Check, Conflict, Put, Row, TableService, Transaction
from balsamspindle.tables.eras import era_of, packed_version
from balsamspindle.timeline import EventLog

__all__ = ["CLAIM_ERAS_TABLE", "ClaimRestorer"]

CLAIM_ERAS_TABLE = "claim-eras"
# No name of a node begins so.
SETTLED_KEY = "_settled"
ROWS_PER_WRITE = 50
# Whose rows differ from what was read is read and written again.
WRITES_PER_BATCH_MAX = 8
# How long until a process hears of an era that no call of its own has shown.
IDLE_WAIT_S = 1.0
LOOK_FIRST_S, LOOK_MAX_S = 0.1, 10.0
# The incarnation of no process: a gate tells that such a key may have run.
NO_INCARNATION = 0


class _Restored(NamedTuple):
    """A claim to be written again.

    Attributes
    ----------
    overrides : bool
        It stands whatever the row says: the key ran here.
    """

    key: str
    stored: StoredClaim
    overrides: bool


class ClaimRestorer:
    """The task that follows the eras of the store.

    Parameters
    ----------
    begin_era : callable
        See `RunLedger.begin_era`.
    take_made : callable
        See `ClaimBook.take_made`.
    fleet : callable
        Returns the processes of the fleet that run now.
    is_isolated : callable
        Tells whether no peer answers this node.
    """

    def __init__(
        self,
        tables: TableService,
        own: Holder,
        eras: ClaimEras,
        begin_era: Callable[[int, float, float], list[HeldKey]],
        take_made: Callable[[float, float], list[MadeClaim]],
        fleet: Callable[[], Iterable[Holder]],
        is_isolated: Callable[[], bool],
        events: EventLog,
    ) -> None:
        self._tables = tables
        self._own = own
        self._eras = eras
        self._begin_era = begin_era
        self._take_made = take_made
        self._fleet = fleet
        self._is_isolated = is_isolated
        self._events = events
        self._random = random.Random(f"{own.node_id}/{own.incarnation}/claims")
        self._changed = threading.Event()
        self._stopped = False
        self._era = self._confirmed_era = self._wanted_era = 0
        # Claims to write in this era; None before they are known.
        self._due: list[_Restored] | None = None
        self._answered_s = -math.inf
        # The time of the oldest claim that may be gone.
        self._lost_after_s = math.inf
        self._told_missing: set[Holder] = set()

    def run(self) -> None:
        """Follow the eras until `stop` is called."""
        look_s = LOOK_FIRST_S
        while not self._stopped:
            now_s = time.monotonic()
            if self.step(now_s):
                look_s = LOOK_FIRST_S
                self._changed.wait(IDLE_WAIT_S)
            else:
                self._changed.wait(look_s * self._random.uniform(0.5, 1.5))
                look_s = min(2 * look_s, LOOK_MAX_S)
            if self._changed.is_set():
                look_s = LOOK_FIRST_S
                self._changed.clear()

    def stop(self) -> None:
        """End `run` soon."""
        self._stopped = True
        self._changed.set()

    def hurry(self) -> None:
        """Take that the store may be in another era."""
        self._changed.set()

    def want(self, era: int) -> None:
        """Take that callers wait for the claims of an era."""
        self._wanted_era = max(self._wanted_era, era)
        self._changed.set()

    def step(self, now_s: float) -> bool:
        """Do what is due; tell whether to wait for another era, or for callers."""
        era = self._tables.era
        self._note_era(era, now_s)
        self._note_fleet(now_s)
        if self._eras.is_settled(era) and self._confirmed_era >= era:
            return True
        if self._due is None:
            self._due = self._gather(era, now_s)
        if not self._due and self._wanted_era < era:
            return True
        if self._confirmed_era < era and not self._restore(self._due, era):
            return False
        return self._eras.is_settled(era) or self._look(era, now_s)

    def _note_era(self, era: int, now_s: float) -> None:
        self._eras.begin(era, now_s)
        if era > self._era:
            # When the store last answered it was still in the era before.
            oldest_s = self._answered_s - COPY_AGE_MAX_S
            self._lost_after_s = min(self._lost_after_s, oldest_s)
            self._era, self._due = era, None
        if era <= FIRST_ERA:
            self._note_confirmed(era)

    def _note_confirmed(self, era: int) -> None:
        self._confirmed_era = era
        self._lost_after_s = math.inf

    def _note_fleet(self, now_s: float) -> None:
        self._answered_s = self._tables.answered_s
        # One that is cut off knows of fewer processes than there are.
        answered_s = -math.inf if self._is_isolated() else self._answered_s
        self._eras.note_holders([self._own, *self._fleet()], answered_s, now_s)

    def _gather(self, era: int, now_s: float) -> list[_Restored]:
        """Return the claims of this process that the store may have lost."""
        after_s = self._lost_after_s
        held = self._begin_era(packed_version(era, 0), after_s, now_s)
        claims = [self._ran_here(one) for one in held]
        known = {claim.key for claim in claims}
        claims += [
            _without_gate(made)
            for made in self._take_made(after_s, now_s)
            if made.key not in known
        ]
        # The last one of a key: an earlier one was moved.
        return list({claim.key: claim for claim in claims}.values())

    def _restore(self, claims: list[_Restored], era: int) -> bool:
        """Write claims again, then confirm; False where that failed."""
        for first in range(0, len(claims), ROWS_PER_WRITE):
            if not self._write(claims[first : first + ROWS_PER_WRITE], era):
                return False
        word = Confirmation(self._own.incarnation, era)
        if not self._put(self._own.node_id, word, era):
            return False
        self._note_confirmed(era)
        self._events.emit("claims_restored", era=era, keys=len(claims))
        return True

    def _ran_here(self, held: HeldKey) -> _Restored:
        stored = StoredClaim(*self._own, held.claimed_s, time.time())
        return _Restored(claim_key(held.service, held.key), stored, True)

    def _write(self, claims: list[_Restored], era: int) -> bool:
        """Write claims that are not in the store; False where that failed."""
        versions = dict.fromkeys((claim.key for claim in claims), 0)
        for _ in range(WRITES_PER_BATCH_MAX):
            if not claims:
                return True
            transaction = Transaction(
                [Check(CLAIMS_TABLE, one.key, versions[one.key]) for one in claims],
                [
                    Put(CLAIMS_TABLE, one.key, msgspec.to_builtins(one.stored))
                    for one in claims
                ],
            )
            match self._tables.transact(transaction):
                case Result(tag="ok", ok=version):
                    return era_of(version) == era
                case Result(error=Conflict(rows)):
                    versions = {row.key: row.version for row in rows}
                    found = {row.key: row for row in rows}
                    claims = [one for one in claims if _is_due(one, found[one.key])]
                case Result(error=error):
                    self._events.emit("claims_unwritten", era=era, cause=error.message)
                    return False
        return False

    def _look(self, era: int, now_s: float) -> bool:
        """Learn whether the era is settled; say so when it is."""
        match self._tables.scan(CLAIM_ERAS_TABLE):
            case Result(tag="ok", ok=rows):
                words = {row.key: _word(row) for row in rows}
            case Result(error=error):
                self._events.emit("claims_unread", era=era, cause=error.message)
                return False
        settled = words.pop(SETTLED_KEY, None)
        if settled is not None and settled.era >= era:
            return self._settle(era)
        missing = self._eras.missing(words)
        if self._eras.may_settle(missing, now_s):
            word = Confirmation(self._own.incarnation, era)
            return self._put(SETTLED_KEY, word, era) and self._settle(era)
        self._tell_missing(era, missing)
        return False

    def _settle(self, era: int) -> bool:
        if self._tables.era != era:
            return False
        self._eras.settle(era)
        self._events.emit("claims_settled", era=era)
        self._told_missing = set()
        return True

    def _tell_missing(self, era: int, missing: set[Holder] | None) -> None:
        if missing is None or missing <= self._told_missing:
            return
        self._told_missing = missing
        names = ",".join(sorted(f"{one.node_id}/{one.incarnation}" for one in missing))
        self._events.emit("claims_missing", era=era, of=names[:200])

    def _put(self, key: str, word: Confirmation, era: int) -> bool:
        put = Put(CLAIM_ERAS_TABLE, key, msgspec.to_builtins(word))
        match self._tables.transact(Transaction([], [put])):
            case Result(tag="ok", ok=version):
                return era_of(version) == era
            case Result(error=error):
                self._events.emit("claims_unwritten", era=era, cause=error.message)
        return False


def _without_gate(made: MadeClaim) -> _Restored:
    """Return a claim that the own ingress made, as one that lets nothing run.

    Its gate may have given it up, or may be gone. One that ran the key puts its own
    claim in this one's place.
    """
    stored = msgspec.structs.replace(made.stored, incarnation=NO_INCARNATION)
    return _Restored(made.key, stored, False)


def _is_due(claim: _Restored, row: Row) -> bool:
    """Tell whether a claim still has to be written, given the row that is there."""
    if row.value is None:
        return True
    present = msgspec.convert(row.value, StoredClaim)
    is_same = _holder(present) == _holder(claim.stored)
    return claim.overrides and not is_same


def _holder(stored: StoredClaim) -> Holder:
    return Holder(stored.node_id, stored.incarnation)


def _word(row: Row) -> Confirmation | None:
    """Return a row's value, None where it is missing or not readable."""
    try:
        return msgspec.convert(row.value, Confirmation)
    except msgspec.ValidationError:
        return None
