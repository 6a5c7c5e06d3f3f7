"""Who may run the request with an Idempotency-Key: one gate, agreed on.

A gate remembers the keys that it ran, but a caller's resend may come to
another gate, and two ingresses that see different nodes would choose
different ones. So the first attempt of a key writes one row into the
platform's table service: the key's claim names the only gate that may run it,
with the incarnation of its process. The row is written only while it is
absent, or, to move the claim, while it still has the version that the old
gate has declared void by saying 'not run'. No lease and no clock is involved:
a claim does not lapse while its holder is paused.
"""

import threading
import time
from collections import deque
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.claim_eras import ClaimEras
from balsamspindle.tables import (
    Check,
    Conflict,
    Put,
    Row,
    TableService,
    Transaction,
    Unknown,
)
from balsamspindle.wire import Claim, Dispatch, Reply

__all__ = [
    "CLAIMS_TABLE",
    "ClaimBook",
    "GateIdentity",
    "KeyClaimant",
    "MadeClaim",
    "StoredClaim",
    "claim_key",
    "note_reply",
    "with_claim",
]

CLAIMS_TABLE = "claims"
CALLS_AT_ONCE_MAX = 16
WRITES_MAX = 2
# Past a request's time, how long the last look at its claim may take: some calls to a
# store that answers within milliseconds. Without an answer the caller is told
# `unknown`, which costs it a resend with the same key.
LAST_LOOK_S = 0.1
# Under a claim of this version a gate repeats its answer and runs nothing.
NOTHING_NEW_VERSION = 0
MADE_KEPT = 5000


class GateIdentity(NamedTuple):
    """One process of a gate, as it named itself."""

    node_id: str
    incarnation: int


class StoredClaim(msgspec.Struct, frozen=True):
    """A row of the claims table.

    Attributes
    ----------
    claimed_wall_s : float
        For whoever removes old rows; decides nothing here.
    """

    node_id: str
    incarnation: int
    gate_time_s: float
    claimed_wall_s: float


class MadeClaim(NamedTuple):
    """A claim that this process wrote.

    Attributes
    ----------
    key : str
        Of its row.
    made_s : float
        When, on the monotonic clock.
    """

    key: str
    stored: StoredClaim
    made_s: float


class ClaimBook:
    """The claims table, asked by a few threads for a bounded time.

    Parameters
    ----------
    tables : TableService or None
        None when the node has no platform: no key can be claimed.
    eras : ClaimEras, default=only the first era of the store is settled
    clock : callable, default=time.monotonic
        Tells the present time.
    """

    def __init__(
        self,
        tables: TableService | None,
        eras: ClaimEras | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._tables = tables
        self._eras = eras or ClaimEras()
        self._clock = clock
        self._executor = ThreadPoolExecutor(CALLS_AT_ONCE_MAX, "claims")
        self._lock = threading.Lock()
        self._made: deque[MadeClaim] = deque(maxlen=MADE_KEPT)

    def write(
        self,
        key: str,
        version: int,
        gate: GateIdentity,
        gate_time_s: float,
        deadline_s: float,
    ) -> Claim | None:
        """Claim a key for a gate, unless it changed since `version`.

        Parameters
        ----------
        version : int
            0 for a key that nobody has claimed.
        deadline_s : float
            How long to wait for the platform, on the monotonic clock.

        Returns
        -------
        Claim or None
            The claim in force, whoever made it; None when the platform did
            not say, or may have lost it.
        """
        if not self._waits_until_settled(deadline_s):
            return self.read(key, deadline_s).default_value(None)
        value = StoredClaim(*gate, gate_time_s, time.time())
        claim = self._ask(deadline_s, lambda: self._write(key, version, value))
        # It may have come back older during the call: what it had lost by then did
        # not stand against this claim.
        return claim if self._is_settled() else None

    def read(self, key: str, deadline_s: float) -> Result[Claim | None, None]:
        """Return the claim in force, if any; an error when nobody can tell.

        While claims may be missing, a gate that is asked under one which is there
        runs nothing new: it may stand in the place of one that was lost.
        """
        answer = self._ask(deadline_s, lambda: self._tables.read(CLAIMS_TABLE, [key]))
        match answer:
            case Result(tag="ok", ok=[row]):
                claim = _claim(row)
            case _:
                return Error(None)
        if self._is_settled():
            return Ok(claim)
        if claim is None:
            return Error(None)
        return Ok(claim._replace(version=NOTHING_NEW_VERSION))

    def take_made(self, after_s: float, now_s: float) -> list[MadeClaim]:
        """Return the claims that this process wrote later than that.

        They are about to be written again, and count as written now.
        """
        with self._lock:
            taken = [
                made._replace(made_s=now_s)
                for made in self._made
                if made.made_s > after_s
            ]
            self._made = deque(taken, MADE_KEPT)
            return taken

    def _is_settled(self) -> bool:
        return self._tables is None or self._eras.is_settled(self._tables.era)

    def _waits_until_settled(self, deadline_s: float) -> bool:
        if self._is_settled():
            return True
        now_s = self._clock()
        self._eras.begin(self._tables.era, now_s)
        return self._eras.wait_settled(self._tables.era, now_s, deadline_s)

    def _ask(self, deadline_s: float, call: Callable):
        """Make a call in a thread of ours and wait no longer than allowed.

        The platform may hang for longer than the caller waits. A write that
        takes effect after we gave up harms nobody: the claim it makes is
        for a gate that may run the key, and a resend will find it.
        """
        if self._tables is None:
            return None
        future: Future = self._executor.submit(call)
        try:
            return future.result(max(0, deadline_s - time.monotonic()))
        except FutureTimeoutError:
            future.cancel()
            return None

    def _write(self, key: str, version: int, value: StoredClaim) -> Claim | None:
        transaction = Transaction(
            [Check(CLAIMS_TABLE, key, version)],
            [Put(CLAIMS_TABLE, key, msgspec.to_builtins(value))],
        )
        for _ in range(WRITES_MAX):
            match self._tables.transact(transaction):
                case Result(tag="ok", ok=written):
                    with self._lock:
                        self._made.append(MadeClaim(key, value, self._clock()))
                    return _claim(Row(key, written, msgspec.to_builtins(value)))
                case Result(error=Conflict(rows)):
                    # Possibly our own row, from a write whose reply was lost.
                    return _claim(rows[0])
                case Result(error=Unknown()):
                    continue
            return None
        return None


def claim_key(service: str, key: str) -> str:
    """Return the key of a claim's row."""
    return f"{service}:{key}"


def _claim(row: Row) -> Claim | None:
    if row.value is None:
        return None
    stored = msgspec.convert(row.value, StoredClaim)
    return Claim(stored.node_id, stored.incarnation, row.version, stored.gate_time_s)


class KeyClaimant:
    """One request's dealings with the claim of its key.

    Parameters
    ----------
    service, key : str
        A key counts within its service.
    deadline_s : float
        Of the request, on the monotonic clock.
    """

    def __init__(
        self, book: ClaimBook, service: str, key: str, deadline_s: float
    ) -> None:
        self._book = book
        self._key = claim_key(service, key)
        self._deadline_s = deadline_s
        self._claim: Claim | None = None
        self._is_void = False
        self._is_unclaimed = False
        self._unavailable = False

    def look_up(self) -> None:
        """Read the key's claim, for a request that has nowhere to go.

        The gate that holds the claim can still tell what it ran.
        """
        if self._claim is not None or self._unavailable:
            return
        match self._book.read(self._key, self._deadline_s):
            case Result(tag="ok", ok=claim):
                self._claim, self._is_unclaimed = claim, claim is None
            case _:
                self._unavailable = True

    def owner(self) -> str | None:
        """Return the id of the node that the attempt has to go to, if known."""
        if self._claim is None or self._is_void:
            return None
        return self._claim.node_id

    def claim_for(self, gate: GateIdentity, gate_time_s: float) -> Claim | Reason:
        """Return the claim for an attempt at a gate, or why there is none.

        Parameters
        ----------
        gate_time_s : float
            The gate's monotonic clock now, or a little less.
        """
        if self._claim is None or self._is_void:
            version = self._claim.version if self._claim else 0
            claim = self._book.write(
                self._key, version, gate, gate_time_s, self._deadline_s
            )
            if claim is None:
                self._unavailable = True
                return Reason.CLAIMS_UNAVAILABLE
            self._claim, self._is_void = claim, False
        if self._claim[:2] != gate:
            return Reason.CLAIM_MOVED
        return self._claim

    def note(self, reply: Reply) -> None:
        """Take a gate's own reply to an attempt under the claim."""
        if reply.outcome is Outcome.NOT_RUN and reply.reason is not Reason.KEY_REUSED:
            self._is_void = True

    def final(self, reply: Reply) -> Reply:
        """Return what the caller is told.

        'Not run' is said of the key, not of this attempt alone: a caller
        that hears it after an earlier 'unknown' would sign again with a
        fresh key. A claim whose gate refused may have been moved by a resend
        that runs elsewhere by now, so it is looked at once more.
        """
        if reply.outcome is not Outcome.NOT_RUN or reply.reason is Reason.KEY_REUSED:
            return reply
        if self._claim is None:
            self.look_up()
        if self._claim is None and self._is_unclaimed:
            return reply
        if self._is_void and not self._has_moved():
            return reply
        reason = reply.reason
        if reason is Reason.CLAIM_MOVED:
            # The gate that holds the claim can't be asked.
            reason = Reason.DUPLICATE
        return msgspec.structs.replace(reply, outcome=Outcome.UNKNOWN, reason=reason)

    def _has_moved(self) -> bool:
        """Tell whether another request may have moved the claim."""
        if self._claim.version == NOTHING_NEW_VERSION:
            return True
        match self._book.read(self._key, self._deadline_s + LAST_LOOK_S):
            case Result(tag="ok", ok=Claim(version=version)):
                return version != self._claim.version
        return True


def with_claim(
    claimant: KeyClaimant | None,
    dispatch: Dispatch,
    gate: GateIdentity,
    gate_time_s: float,
) -> Dispatch | Reply:
    """Put the key's claim into an attempt; a reply when it must not be made.

    Parameters
    ----------
    claimant : KeyClaimant or None
        None for a request without a key.
    """
    if claimant is None:
        return dispatch
    match claimant.claim_for(gate, gate_time_s):
        case Reason() as reason:
            return Reply(dispatch.attempt_id, Outcome.NOT_RUN, reason)
        case claim:
            return msgspec.structs.replace(dispatch, claim=claim)


def note_reply(claimant: KeyClaimant | None, reply: Reply) -> None:
    """Let a request's claim learn from the reply to an attempt."""
    if claimant is not None:
        claimant.note(reply)
