"""The requests with an Idempotency-Key that ran, or may have, at this gate."""

import heapq
import threading
from collections import OrderedDict
from dataclasses import dataclass
from typing import NamedTuple

from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.wire import Dispatch, Reply

__all__ = ["KEY_MEMORY_S", "Earlier", "HeldKey", "KeyRefused", "RunLedger"]

# A key is remembered this long after its request ended.
KEY_MEMORY_S = 1800.0
# At that memory 28 keyed requests a second for each gate.
KEYS_MAX = 50_000
ANSWERS_MAX_BYTES = 16 * 1024 * 1024

Key = tuple[str, str]


@dataclass(frozen=True)
class KeyRefused:
    """The attempt must not run."""

    outcome: Outcome
    reason: Reason


@dataclass(frozen=True)
class Earlier:
    """The first attempt's answer, to be given again."""

    reply: Reply


class HeldKey(NamedTuple):
    """A key that ran at this gate, or may have.

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
    """One key that runs, ran or may have run."""

    fingerprint: tuple[str, str, int]
    claimed_s: float
    # When the claim was last written into the store, or a little earlier.
    stored_s: float
    reply: Reply | None = None


class RunLedger:
    """Which keys ran at this gate, and with which answer.

    A key's claim names the one gate, of one incarnation, that may run it. A
    key that the ledger does not know and whose claim is younger than the
    ledger's memory never ran: its entry would still be there. With an older
    claim it may have run, and is told `unknown`.

    Parameters
    ----------
    node_id, incarnation
        Of this gate.
    """

    def __init__(self, node_id: str, incarnation: int) -> None:
        self._node_id = node_id
        self._incarnation = incarnation
        self._lock = threading.Lock()
        self._entries: dict[Key, _Entry] = {}
        # The highest version of a key's claim under which this gate said
        # 'not run': the key may have been claimed elsewhere since.
        self._given_up: dict[Key, int] = {}
        self._answers: OrderedDict[Key, int] = OrderedDict()
        self._answers_bytes = 0
        # Claims of lower versions may be gone from the store.
        self._version_min = 0
        # When to forget what: the version of a given up claim, 0 for an entry.
        self._expiries: list[tuple[float, Key, int]] = []

    def begin(self, dispatch: Dispatch, now_s: float) -> KeyRefused | Earlier | None:
        """Take a key for an attempt; None lets the attempt run."""
        key = _key(dispatch)
        with self._lock:
            self._expire(now_s)
            verdict = self._judge(key, dispatch, now_s)
            if verdict is None:
                claimed_s = dispatch.claim.gate_time_s
                self._entries[key] = _Entry(
                    _fingerprint(dispatch), claimed_s, claimed_s
                )
            return verdict

    def begin_era(
        self, version_min: int, after_s: float, now_s: float
    ) -> list[HeldKey]:
        """Return the keys whose claims the store may have lost.

        They are about to be written again. From now on no key is begun under a claim
        of a lower version: it would not be among these, and could be claimed anew
        elsewhere.

        Parameters
        ----------
        after_s : float
            Claims written earlier are not lost.
        """
        with self._lock:
            self._version_min = max(self._version_min, version_min)
            held = []
            for key, entry in self._entries.items():
                if entry.stored_s > after_s:
                    entry.stored_s = now_s
                    held.append(HeldKey(*key, entry.claimed_s))
            return held

    def end(self, dispatch: Dispatch, reply: Reply, now_s: float) -> None:
        """Take the end of an attempt that `begin` let run."""
        key = _key(dispatch)
        with self._lock:
            if reply.outcome is Outcome.NOT_RUN:
                del self._entries[key]
                version = dispatch.claim.version
                self._given_up[key] = version
                self._forget_later(key, version, now_s)
                return
            if reply.outcome is Outcome.ANSWERED:
                self._keep_answer(key, self._entries[key], reply)
            self._forget_later(key, 0, now_s)

    def _judge(
        self, key: Key, dispatch: Dispatch, now_s: float
    ) -> KeyRefused | Earlier | None:
        entry = self._entries.get(key)
        if entry is not None:
            return _judge_known(entry, _fingerprint(dispatch))
        claim = dispatch.claim
        if claim is None or claim[:2] != (self._node_id, self._incarnation):
            # The claim is another gate's, or this gate's before it was
            # replaced: the key may have run there.
            return KeyRefused(Outcome.UNKNOWN, Reason.DUPLICATE)
        if now_s - claim.gate_time_s >= KEY_MEMORY_S:
            return KeyRefused(Outcome.UNKNOWN, Reason.DUPLICATE)
        if claim.version < self._version_min:
            return KeyRefused(Outcome.NOT_RUN, Reason.CLAIM_MOVED)
        if claim.version <= self._given_up.get(key, 0):
            return KeyRefused(Outcome.NOT_RUN, Reason.CLAIM_MOVED)
        if len(self._entries) + len(self._given_up) >= KEYS_MAX:
            # 'Not run' would let the claim move, and there is no room to
            # remember that it did.
            return KeyRefused(Outcome.UNKNOWN, Reason.NO_FREE_SLOT)
        return None

    def _keep_answer(self, key: Key, entry: _Entry, reply: Reply) -> None:
        entry.reply = reply
        self._answers[key] = len(reply.body)
        self._answers_bytes += len(reply.body)
        while self._answers_bytes > ANSWERS_MAX_BYTES:
            # Its key stays known: a resend is told 'unknown', not run again.
            oldest, size = self._answers.popitem(last=False)
            self._answers_bytes -= size
            self._entries[oldest].reply = None

    def _forget_later(self, key: Key, version: int, now_s: float) -> None:
        heapq.heappush(self._expiries, (now_s + KEY_MEMORY_S, key, version))

    def _expire(self, now_s: float) -> None:
        while self._expiries and self._expiries[0][0] <= now_s:
            _, key, version = heapq.heappop(self._expiries)
            if version == 0:
                del self._entries[key]
                self._answers_bytes -= self._answers.pop(key, 0)
            elif self._given_up.get(key) == version:
                del self._given_up[key]


def _judge_known(entry: _Entry, fingerprint) -> KeyRefused | Earlier:
    if entry.fingerprint != fingerprint:
        return KeyRefused(Outcome.NOT_RUN, Reason.KEY_REUSED)
    if entry.reply is None:
        return KeyRefused(Outcome.UNKNOWN, Reason.DUPLICATE)
    return Earlier(entry.reply)


def _key(dispatch: Dispatch) -> Key:
    return dispatch.service, dispatch.idempotency_key


def _fingerprint(dispatch: Dispatch) -> tuple[str, str, int]:
    return dispatch.method, dispatch.target, dispatch.body_checksum
