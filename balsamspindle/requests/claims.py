"""Claims, which name the only gate that may run requests with an Idempotency-Key.

A gate runs at most one request with a key. But a caller may resend a request through
another ingress, which may see other nodes and choose another gate. Therefore an ingress
claims a key before its first attempt with the key: the ingress writes a row into the
platform's table service. The claim names the gate and the incarnation of the gate's
process. A claim is written only if the key has no claim yet. After the gate replied
'not run', the claim may be moved to another gate, but only if its row still has the
version that the gate got with the attempt. The gate never runs a request with the key
under that version again. Claims depend on no lease or clock, so a claim does not expire
while its gate is paused.
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
    "ClaimsTable",
    "GateIdentity",
    "KeyClaimant",
    "StoredClaim",
    "WrittenClaim",
    "claim_key",
    "record_claim_reply",
    "with_claim",
]

CLAIMS_TABLE = "claims"
STORE_CALLS_MAX = 16
WRITE_ATTEMPTS_MAX = 2
# How long after a request's deadline its claim may be read for the caller's reply. This
# is enough for a few calls to a store that answers within milliseconds. If the read
# fails, the caller gets `unknown` and has to resend the request with the same key.
FINAL_READ_TIMEOUT_S = 0.1
# For a claim with this version, a gate repeats an earlier answer but starts no run.
REPEAT_ONLY_VERSION = 0
WRITTEN_CLAIMS_MAX = 5000


class GateIdentity(NamedTuple):
    """A gate's process, identified by its node and the incarnation it announced."""

    node_id: str
    incarnation: int


class StoredClaim(msgspec.Struct, frozen=True):
    """A row of the claims table.

    Attributes
    ----------
    gate_time_s : float
        Time of the claim on the gate's monotonic clock, estimated by the ingress. The
        time in a message from the gate is out of date on arrival, so the estimate may
        be early by the delay of one such message. `GateClock` makes the estimate.
    claimed_wall_s : float
        Wall-clock time of the claim, only for the removal of old rows. No decision
        about a key depends on it.
    """

    node_id: str
    incarnation: int
    gate_time_s: float
    claimed_wall_s: float


class WrittenClaim(NamedTuple):
    """A claim that this process wrote.

    Attributes
    ----------
    key : str
        Key of the claim's row.
    written_s : float
        Monotonic time of the write.
    """

    key: str
    stored: StoredClaim
    written_s: float


class ClaimsTable:
    """Reads and writes the claims table; each call has a deadline.

    Parameters
    ----------
    tables : TableService or None
        None if the node has no platform; then no key can be claimed.
    eras : ClaimEras, default=only the first era of the store is settled
    clock : callable, default=time.monotonic
        Returns the current time in seconds.
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
        self._executor = ThreadPoolExecutor(STORE_CALLS_MAX, "claims")
        self._lock = threading.Lock()
        self._written: deque[WrittenClaim] = deque(maxlen=WRITTEN_CLAIMS_MAX)

    def write(
        self,
        key: str,
        version: int,
        gate: GateIdentity,
        gate_time_s: float,
        deadline_s: float,
    ) -> Claim | None:
        """Claim a key for a gate, if the key's row has the expected version.

        Parameters
        ----------
        version : int
            Expected version of the row; 0 if the key should have no claim.
        deadline_s : float
            Monotonic time until which to wait for the platform.

        Returns
        -------
        Claim or None
            The claim in force, possibly written by another process; None if the
            platform did not answer or may have lost the claim.
        """
        if not self._wait_until_settled(deadline_s):
            return self.read(key, deadline_s).default_value(None)
        value = StoredClaim(*gate, gate_time_s, time.time())
        claim = self._call_store(deadline_s, lambda: self._write(key, version, value))
        # The store may have been restored from an older copy during the call and may
        # have lost a claim of this key. Then the write found no conflict, but another
        # gate may run the request. So the new claim is used only in a settled era.
        return claim if self._is_settled() else None

    def read(self, key: str, deadline_s: float) -> Result[Claim | None, None]:
        """Read a key's claim.

        Returns `Error` if the platform did not answer. In a settled era of the store,
        returns `Ok` with the claim, or with None if the key has no claim.

        In any other era, the store may have lost claims. Returns `Error` if the key has
        no claim. If it has one, that claim may have been written in place of a lost
        claim. So the claim is returned with `REPEAT_ONLY_VERSION`.
        """
        answer = self._call_store(
            deadline_s, lambda: self._tables.read(CLAIMS_TABLE, [key])
        )
        match answer:
            case Result(tag="ok", ok=[row]):
                claim = _claim(row)
            case _:
                return Error(None)
        if self._is_settled():
            return Ok(claim)
        if claim is None:
            return Error(None)
        return Ok(claim._replace(version=REPEAT_ONLY_VERSION))

    def take_written_claims(self, after_s: float, now_s: float) -> list[WrittenClaim]:
        """Return the claims that this process wrote later than `after_s`.

        The calling code writes these claims again, so their time of writing is set to
        `now_s`. Claims that were written at `after_s` or earlier are discarded.
        """
        with self._lock:
            recent = [
                written_claim._replace(written_s=now_s)
                for written_claim in self._written
                if written_claim.written_s > after_s
            ]
            self._written = deque(recent, WRITTEN_CLAIMS_MAX)
            return recent

    def _is_settled(self) -> bool:
        return self._tables is None or self._eras.is_settled(self._tables.era)

    def _wait_until_settled(self, deadline_s: float) -> bool:
        if self._is_settled():
            return True
        now_s = self._clock()
        self._eras.begin(self._tables.era, now_s)
        return self._eras.wait_until_settled(self._tables.era, now_s, deadline_s)

    def _call_store(self, deadline_s: float, call: Callable):
        """Return the result of a call to the store, made in a thread of the pool.

        The platform may need longer for its answer than the request can wait. So this
        method returns None if the deadline passes before the call ends. It also returns
        None if the node has no platform. A write that takes effect after the deadline
        is harmless: if the caller resends the request, the written claim is used.
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
        for _ in range(WRITE_ATTEMPTS_MAX):
            match self._tables.transact(transaction):
                case Result(tag="ok", ok=written_version):
                    with self._lock:
                        self._written.append(WrittenClaim(key, value, self._clock()))
                    return _claim(Row(key, written_version, msgspec.to_builtins(value)))
                case Result(error=Conflict(rows)):
                    # The row does not have the expected version. If the answer to the
                    # previous try was lost, that try may have written the row. Then
                    # the row has the claim that this call was to write.
                    return _claim(rows[0])
                case Result(error=Unknown()):
                    continue
            return None
        return None


def claim_key(service: str, key: str) -> str:
    """Return the key of a claim's row in `CLAIMS_TABLE`."""
    return f"{service}:{key}"


def _claim(row: Row) -> Claim | None:
    if row.value is None:
        return None
    stored = msgspec.convert(row.value, StoredClaim)
    return Claim(stored.node_id, stored.incarnation, row.version, stored.gate_time_s)


class KeyClaimant:
    """Reads, writes and moves the claim of one request's key.

    Parameters
    ----------
    service, key : str
        The request's service, and its Idempotency-Key. Two services may use the same
        key for different requests.
    deadline_s : float
        Deadline of the request, on the monotonic clock.
    """

    def __init__(
        self, claims: ClaimsTable, service: str, key: str, deadline_s: float
    ) -> None:
        self._claims = claims
        self._key = claim_key(service, key)
        self._deadline_s = deadline_s
        self._claim: Claim | None = None
        self._is_void = False
        self._is_unclaimed = False
        self._unavailable = False

    def look_up(self) -> None:
        """Read the key's claim, unless it is known or an earlier read got no answer.

        The claim is needed even if no backend server can run the request now: the
        claim's gate can still report whether a request with the key ran.
        """
        if self._claim is not None or self._unavailable:
            return
        match self._claims.read(self._key, self._deadline_s):
            case Result(tag="ok", ok=claim):
                self._claim, self._is_unclaimed = claim, claim is None
            case _:
                self._unavailable = True

    def owner_id(self) -> str | None:
        """Return the id of the only node that may run the request; None if unknown."""
        if self._claim is None or self._is_void:
            return None
        return self._claim.node_id

    def claim_for(self, gate: GateIdentity, gate_time_s: float) -> Claim | Reason:
        """Return the claim for an attempt, or why the attempt must not be sent.

        Claims the key for the gate if no claim is known, or if the gate that the known
        claim names replied 'not run'.

        Parameters
        ----------
        gate_time_s : float
            Current time on the gate's monotonic clock; see `StoredClaim.gate_time_s`.
        """
        if self._claim is None or self._is_void:
            version = self._claim.version if self._claim else 0
            claim = self._claims.write(
                self._key, version, gate, gate_time_s, self._deadline_s
            )
            if claim is None:
                self._unavailable = True
                return Reason.CLAIMS_UNAVAILABLE
            self._claim, self._is_void = claim, False
        if self._claim[:2] != gate:
            return Reason.CLAIM_MOVED
        return self._claim

    def record_reply(self, reply: Reply) -> None:
        """Record the reply to an attempt at the gate that the claim names.

        After the reply 'not run', the claim may be moved to another gate.
        """
        if reply.outcome is Outcome.NOT_RUN and reply.reason is not Reason.KEY_REUSED:
            self._is_void = True

    def final_reply(self, reply: Reply) -> Reply:
        """Return the reply for the caller.

        The caller gets 'not run' only if no request with the key ran. Suppose that an
        earlier request with the key had the outcome 'unknown'. After 'not run', the
        caller would send the request with a new key, and the request could run twice.

        Even if the claim's gate replied 'not run', a request that the caller resent may
        have moved the claim to another gate and may be running there. So the claim is
        read once more.
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
            # No attempt was sent to the gate that the claim names, and that gate may
            # have run a request with the key.
            reason = Reason.DUPLICATE
        return msgspec.structs.replace(reply, outcome=Outcome.UNKNOWN, reason=reason)

    def _has_moved(self) -> bool:
        """Return whether another request may have moved the claim to another gate."""
        if self._claim.version == REPEAT_ONLY_VERSION:
            return True
        match self._claims.read(self._key, self._deadline_s + FINAL_READ_TIMEOUT_S):
            case Result(tag="ok", ok=Claim(version=version)):
                return version != self._claim.version
        return True


def with_claim(
    claimant: KeyClaimant | None,
    dispatch: Dispatch,
    gate: GateIdentity,
    gate_time_s: float,
) -> Dispatch | Reply:
    """Claim the request's key for a gate; return the dispatch with the claim.

    Returns a 'not run' reply instead if the dispatch must not be sent.

    Parameters
    ----------
    claimant : KeyClaimant or None
        None for a request without a key; its dispatch is returned unchanged.
    """
    if claimant is None:
        return dispatch
    match claimant.claim_for(gate, gate_time_s):
        case Reason() as reason:
            return Reply(dispatch.attempt_id, Outcome.NOT_RUN, reason)
        case claim:
            return msgspec.structs.replace(dispatch, claim=claim)


def record_claim_reply(claimant: KeyClaimant | None, reply: Reply) -> None:
    """Pass a gate's reply to `KeyClaimant.record_reply` if the request has a key."""
    if claimant is not None:
        claimant.record_reply(reply)
