"""The requests with an Idempotency-Key that ran, or may have run, at this gate."""

import heapq
import threading
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.wire import Dispatch, Reply

__all__ = ["KEY_RETENTION_S", "EarlierAnswer", "ClaimedKey", "KeyRefused", "RunLedger"]

# How long the ledger keeps a key after the key's request has ended.
KEY_RETENTION_S = 1800.0
# Enough for 28 keyed requests a second at each gate if each key is kept for
# `KEY_RETENTION_S`.
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
    """The stored answer to a key's first attempt, which later attempts get again."""

    reply: Reply


class ClaimedKey(NamedTuple):
    """A key that ran at this gate, or may have run.

    Attributes
    ----------
    claimed_s : float
        Time of its claim, on this gate's monotonic clock.
    """

    service: str
    key: str
    claimed_s: float


@dataclass
class _Entry:
    """A key whose request is running, ran or may have run at this gate."""

    fingerprint: tuple[str, str, int]
    claimed_s: float
    # When the claim was last written into the store, or a moment before the write.
    stored_s: float
    reply: Reply | None = None


class RunLedger:
    """Records which keys ran at this gate, and their answers.

    The claim of a key names the only gate, and the incarnation of that gate, that may
    run the key's request. If the claim is younger than `KEY_RETENTION_S` and the ledger
    has no entry for the key, the request never ran: the entry would still be there. If
    the claim is older, the request may have run, and the outcome is `unknown`.

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
        # The highest version of each key's claim for which this gate replied
        # 'not run'. Another gate may have claimed the key since, so the key must not
        # run under a claim of this version or a lower one.
        self._released_versions: dict[Key, int] = {}
        # Sizes of the stored answers, oldest first.
        self._answers: OrderedDict[Key, int] = OrderedDict()
        self._answers_bytes = 0
        # Claims with a version below this are refused: the store may have lost them.
        self._version_min = 0
        # Time of expiry, key and version of each item that will expire. The version is
        # that of a released claim, or 0 for an item of `_entries`.
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
        """Return the keys whose claims the store may have lost.

        The code that calls this method writes the claims of these keys into the store
        again. From now on `begin` refuses each attempt whose claim has a version below
        `version_min`. If it registered the key of such an attempt, the key would be
        missing from the returned list, and another gate could claim it.

        Parameters
        ----------
        after_s : float
            Claims written before this time are not lost.
        """
        with self._lock:
            self._version_min = max(self._version_min, version_min)
            held = []
            for key, entry in self._entries.items():
                if entry.stored_s > after_s:
                    entry.stored_s = now_s
                    held.append(ClaimedKey(*key, entry.claimed_s))
            return held

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
            # gate: the key may have run there.
            return KeyRefused(Outcome.UNKNOWN, Reason.DUPLICATE)
        if now_s - claim.gate_time_s >= KEY_RETENTION_S:
            return KeyRefused(Outcome.UNKNOWN, Reason.DUPLICATE)
        if claim.version < self._version_min:
            return KeyRefused(Outcome.NOT_RUN, Reason.CLAIM_MOVED)
        if claim.version <= self._released_versions.get(key, 0):
            return KeyRefused(Outcome.NOT_RUN, Reason.CLAIM_MOVED)
        if len(self._entries) + len(self._released_versions) >= KEYS_MAX:
            # The outcome must not be 'not run': another gate could then claim the key,
            # and there is no room to record that this claim no longer counts.
            return KeyRefused(Outcome.UNKNOWN, Reason.NO_FREE_SLOT)
        return None

    def _store_answer(self, key: Key, entry: _Entry, reply: Reply) -> None:
        entry.reply = reply
        self._answers[key] = len(reply.body)
        self._answers_bytes += len(reply.body)
        while self._answers_bytes > ANSWERS_MAX_BYTES:
            # The key stays registered: a resend gets 'unknown' and does not run again.
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
