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

from balsamspindle.requests.claim_eras import ClaimEras
from balsamspindle.tables import (
    Check,
    Conflict,
    Put,
    Row,
    RowDecoder,
    TableService,
    Transaction,
    Unknown,
)
from balsamspindle.timeline import EventLog
from balsamspindle.wire import Claim
from balsamspindle.wire.member_messages import Count, NodeId

__all__ = [
    "CLAIMS_TABLE",
    "REPEAT_ONLY_VERSION",
    "ClaimsTable",
    "GateIdentity",
    "StoredClaim",
    "WrittenClaim",
    "claim_key",
]

CLAIMS_TABLE = "claims"
STORE_CALLS_MAX = 16
WRITE_ATTEMPTS_MAX = 2
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

    node_id: NodeId
    incarnation: Count
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
    events : EventLog, optional
        Names the rows that can't be decoded.
    """

    def __init__(
        self,
        tables: TableService | None,
        eras: ClaimEras | None = None,
        clock: Callable[[], float] = time.monotonic,
        events: EventLog | None = None,
    ) -> None:
        self._tables = tables
        self._rows = RowDecoder(CLAIMS_TABLE, StoredClaim, events)
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
        settled_era = self._eras.newest_settled
        claim = self._call_store(deadline_s, lambda: self._write(key, version, value))
        # The store may have been restored from an older copy during the call and may
        # have lost a claim of this key. Then the write found no conflict, but another
        # gate may run the request. So the claim is used only if the store's era was
        # settled before the call; an era that was settled meanwhile does not suffice.
        return claim if self._was_settled(settled_era) else None

    def read(self, key: str, deadline_s: float) -> Result[Claim | None, None]:
        """Read a key's claim.

        Returns `Error` if the platform did not answer, or if the row can't be decoded:
        another writer may have overwritten the claim of a request that ran. In a
        settled era of the store, returns `Ok` with the claim, or with None if the key
        has no claim.

        In any other era, the store may have lost claims. Returns `Error` if the key has
        no claim. If it has one, that claim may have been written in place of a lost
        claim. So the claim is returned with `REPEAT_ONLY_VERSION`. The same holds if
        the era is settled during the call.
        """
        settled_era = self._eras.newest_settled
        answer = self._call_store(
            deadline_s, lambda: self._tables.read(CLAIMS_TABLE, [key])
        )
        match answer:
            case Result(tag="ok", ok=[row]):
                claim = self._decode(row)
                if claim is None and row.version:
                    return Error(None)
            case _:
                return Error(None)
        if self._was_settled(settled_era):
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

    def _was_settled(self, settled_era: int) -> bool:
        """Return whether a call that just ended was made in a settled era.

        Parameters
        ----------
        settled_era : int
            The newest era that was settled before the call.
        """
        return self._tables is None or self._tables.era <= settled_era

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
                    return _claim(value, written_version)
                case Result(error=Conflict(rows)):
                    # The row does not have the expected version. If the answer to the
                    # previous try was lost, that try may have written the row. Then
                    # the row has the claim that this call was to write.
                    return self._decode(rows[0])
                case Result(error=Unknown()):
                    continue
            return None
        return None

    def _decode(self, row: Row) -> Claim | None:
        """Return a row's claim; None if the row is missing or can't be decoded."""
        stored = self._rows.decode(row)
        return None if stored is None else _claim(stored, row.version)


def claim_key(service: str, key: str) -> str:
    """Return the key of a claim's row in `CLAIMS_TABLE`."""
    return f"{service}:{key}"


def _claim(stored: StoredClaim, version: int) -> Claim:
    return Claim(stored.node_id, stored.incarnation, version, stored.gate_time_s)
