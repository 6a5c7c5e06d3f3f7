"""Ledger of the keyed requests that ran, or may have run, at a gate.

A keyed request has an Idempotency-Key.
"""

import heapq
import threading
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.wire import Dispatch, Reply

__all__ = ["KEY_RETENTION_S", "EarlierAnswer", "ClaimedKey", "KeyRefused", "RunLedger"]

# How long a key's entry remains in the ledger after the key's request has ended.
KEY_RETENTION_S = 1800.0
# Maximum number of entries and released versions together. This is enough for 28 keyed
# requests a second at each gate if each of them is stored for `KEY_RETENTION_S`.
KEYS_MAX = 50_000
ANSWERS_MAX_BYTES = 16 * 1024 * 1024

Key = tuple[str, str]


@dataclass(frozen=True)
class KeyRefused:
    """The attempt must not run; its reply carries this outcome and reason."""

    outcome: Outcome
    reason: Reason


@dataclass(frozen=True)
class EarlierAnswer:
    """The stored answer to a key's request, returned to each later attempt."""

    reply: Reply


class ClaimedKey(NamedTuple):
    """A key whose request ran, or may have run, at this gate.

    Attributes
    ----------
    claimed_s : float
        When the key was claimed, on this gate's monotonic clock.
    """

    service: str
    key: str
    claimed_s: float


@dataclass
class _Entry:
    """A key whose request is running, ran or may have run at this gate."""

    fingerprint: tuple[str, str, int]
    claimed_s: float
    # When the claim was last written into the store, or a moment before that write.
    stored_s: float
    reply: Reply | None = None


class RunLedger:
    """Records the keys whose requests ran at this gate, and the answers.

    The claim of a key names the only gate, and the only incarnation of that gate, that
    may run the key's request. If the ledger has no entry for the key and the claim is
    younger than `KEY_RETENTION_S`, the request never ran: its entry could not have
    expired yet. If the claim is older, the request may have run and its entry may have
    expired, so the outcome is `unknown`.

    Parameters
    ----------
    node_id, incarnation
        Identify this gate.
    """

    def __init__(self, node_id: str, incarnation: int) -> None:
        self._node_id = node_id
        self._incarnation = incarnation
        self._lock = threading.Lock()
        self._entries: dict[Key, _Entry] = {}
        # For each key, the highest version of its claim for which this gate replied
        # 'not run'. After the reply another gate may have claimed the key, so the
        # request must not run here with a claim of this version or a lower one.
        self._released_versions: dict[Key, int] = {}
        # Sizes of the stored answers in bytes, oldest first.
        self._answers: OrderedDict[Key, int] = OrderedDict()
        self._answers_bytes = 0
        # Claims with a version below this are refused: the store may have lost them.
        self._version_min = 0
        # Heap of expiry times, each with the key and version of the item that expires.
        # The version is 0 for an item of `_entries`, and above 0 for an item of
        # `_released_versions`.
        self._expiries: list[tuple[float, Key, int]] = []

    def begin(
        self, dispatch: Dispatch, now_s: float
    ) -> KeyRefused | EarlierAnswer | None:
        """Register an attempt's key and return None if the attempt may run.

        Otherwise return the refusal, or the stored answer to an earlier attempt.
        """
        key = _key(dispatch)
        with self._lock:
            self._expire(now_s)
            result = self._check(key, dispatch, now_s)
            if result is None:
                claimed_s = dispatch.claim.gate_time_s
                self._entries[key] = _Entry(
                    _fingerprint(dispatch), claimed_s, claimed_s
                )
            return result

    def begin_era(
        self, version_min: int, after_s: float, now_s: float
    ) -> list[ClaimedKey]:
        """Return the keys whose claims the store may have lost; refuse old claims.

        The code that calls this method writes the claims of the returned keys into the
        store again; this method records `now_s` as the time of these writes. From now
        on, `begin` refuses each attempt whose claim has a version below `version_min`.
        If `begin` accepted such an attempt, nothing would write its claim again,
        because its key is not in the returned list. Another gate could then claim the
        key and run the request a second time.

        Parameters
        ----------
        after_s : float
            The store still has all claims written at or before this time.
        """
        with self._lock:
            self._version_min = max(self._version_min, version_min)
            keys = []
            for key, entry in self._entries.items():
                if entry.stored_s > after_s:
                    entry.stored_s = now_s
                    keys.append(ClaimedKey(*key, entry.claimed_s))
            return keys

    def end(self, dispatch: Dispatch, reply: Reply, now_s: float) -> None:
        """Record the result of an attempt for which `begin` returned None."""
        key = _key(dispatch)
        with self._lock:
            if reply.outcome is Outcome.NOT_RUN:
                del self._entries[key]
                version = dispatch.claim.version
                self._released_versions[key] = version
                self._expire_later(key, version, now_s)
                return
            if reply.outcome is Outcome.ANSWERED:
                self._store_answer(key, self._entries[key], reply)
            self._expire_later(key, 0, now_s)

    def _check(
        self, key: Key, dispatch: Dispatch, now_s: float
    ) -> KeyRefused | EarlierAnswer | None:
        entry = self._entries.get(key)
        if entry is not None:
            return _check_known(entry, _fingerprint(dispatch))
        claim = dispatch.claim
        if claim is None or claim[:2] != (self._node_id, self._incarnation):
            # The claim belongs to another gate, or to an earlier incarnation of this
            # gate: the request may have run there.
            return KeyRefused(Outcome.UNKNOWN, Reason.DUPLICATE)
        if now_s - claim.gate_time_s >= KEY_RETENTION_S:
            return KeyRefused(Outcome.UNKNOWN, Reason.DUPLICATE)
        if claim.version < self._version_min:
            return KeyRefused(Outcome.NOT_RUN, Reason.CLAIM_MOVED)
        if claim.version <= self._released_versions.get(key, 0):
            return KeyRefused(Outcome.NOT_RUN, Reason.CLAIM_MOVED)
        if len(self._entries) + len(self._released_versions) >= KEYS_MAX:
            # The ledger is full. After the outcome 'not run', another gate could claim
            # the key, so this gate would have to record that the present claim is
            # released. There is no room for this record, so the outcome is 'unknown',
            # although the request has not run.
            return KeyRefused(Outcome.UNKNOWN, Reason.NO_FREE_SLOT)
        return None

    def _store_answer(self, key: Key, entry: _Entry, reply: Reply) -> None:
        entry.reply = reply
        self._answers[key] = len(reply.body)
        self._answers_bytes += len(reply.body)
        while self._answers_bytes > ANSWERS_MAX_BYTES:
            # Only the answer is discarded. The entry remains, so that a resent request
            # gets the outcome 'unknown' and does not run again.
            oldest, size = self._answers.popitem(last=False)
            self._answers_bytes -= size
            self._entries[oldest].reply = None

    def _expire_later(self, key: Key, version: int, now_s: float) -> None:
        heapq.heappush(self._expiries, (now_s + KEY_RETENTION_S, key, version))

    def _expire(self, now_s: float) -> None:
        while self._expiries and self._expiries[0][0] <= now_s:
            _, key, version = heapq.heappop(self._expiries)
            if version == 0:
                del self._entries[key]
                self._answers_bytes -= self._answers.pop(key, 0)
            elif self._released_versions.get(key) == version:
                del self._released_versions[key]


def _check_known(entry: _Entry, fingerprint) -> KeyRefused | EarlierAnswer:
    if entry.fingerprint != fingerprint:
        return KeyRefused(Outcome.NOT_RUN, Reason.KEY_REUSED)
    if entry.reply is None:
        return KeyRefused(Outcome.UNKNOWN, Reason.DUPLICATE)
    return EarlierAnswer(entry.reply)


def _key(dispatch: Dispatch) -> Key:
    return dispatch.service, dispatch.idempotency_key


def _fingerprint(dispatch: Dispatch) -> tuple[str, str, int]:
    return dispatch.method, dispatch.target, dispatch.body_checksum
