"""A pool of the handles that call backend servers."""

import threading
from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from balsamspindle.backend_servers.curl_calls import Handle
from balsamspindle.backend_servers.idle_limits import IdleLimits
from balsamspindle.backend_servers.stray_answers import StrayAnswers
from balsamspindle.protocol.outcomes import Execution

__all__ = ["HandlePool", "StrayAnswer"]

IDLE_HANDLES_MAX = 512


class StrayAnswer(NamedTuple):
    """Bytes on a kept connection that belong to no request.

    Attributes
    ----------
    request_id : str
        Id of the request for which the connection was to be used.
    detail : str
        What the bytes were.
    may_keep : bool
        Whether connections to the address are still kept.
    """

    address: str
    request_id: str
    detail: str
    may_keep: bool


class HandlePool:
    """Idle handles, shared by all threads.

    The pool's lock is also the memory barrier when a handle passes from one thread to
    another. The gate's slots limit the handles in use, and thereby the connections
    to each backend server. If each thread cached its own handles instead, there would
    be a connection for each pair of thread and backend server.

    Parameters
    ----------
    on_stray : callable, default=nothing
        Called with each stray answer, without the lock.
    """

    def __init__(
        self, on_stray: Callable[[StrayAnswer], None] = lambda stray: None
    ) -> None:
        self._on_stray = on_stray
        self._lock = threading.Lock()
        self._idle: OrderedDict[str, list[Handle]] = OrderedDict()
        self._count = 0
        self._idle_limits = IdleLimits()
        self._stray_answers = StrayAnswers()

    def acquire(
        self, address: str, execution: Execution, request_id: str, now_s: float
    ) -> Handle:
        """Return an idle handle that may send a request to an address, or a new one."""
        key = _pool_key(address, execution)
        with self._lock:
            earliest_s = now_s - self._idle_limits.idle_max_s(key, now_s)
            may_keep = self._stray_answers.may_keep(key, now_s)
        while (handle := self._pop(key, request_id)) is not None:
            if may_keep and handle.used_s >= earliest_s and handle.is_clean():
                return handle
            handle.close()
            if handle.has_stray_bytes:
                self.record_stray(address, request_id, "before the request", now_s)
        return Handle(execution)

    def record_clean(self, address: str, now_s: float) -> None:
        """Record a request on a kept connection that met no stray answer."""
        with self._lock:
            self._stray_answers.record(address, False, now_s)

    def record_stray(
        self, address: str, request_id: str, detail: str, now_s: float
    ) -> None:
        """Record that a kept connection contained bytes that belong to no request."""
        with self._lock:
            self._stray_answers.record(address, True, now_s)
            may_keep = self._stray_answers.may_keep(address, now_s)
        self._on_stray(StrayAnswer(address, request_id, detail, may_keep))

    def record_stale(self, address: str, idle_s: float, now_s: float) -> None:
        """Record that a connection was closed after it had been idle for some time."""
        with self._lock:
            self._idle_limits.record_stale(address, idle_s, now_s)

    def release(self, address: str, execution: Execution, handle: Handle) -> None:
        """Return a handle to the pool; close one if there are too many."""
        key = _pool_key(address, execution)
        with self._lock:
            may_keep = self._stray_answers.may_keep(key, handle.used_s)
        if not may_keep or not handle.may_send(""):
            handle.close()
            return
        with self._lock:
            self._idle.setdefault(key, []).append(handle)
            self._idle.move_to_end(key)
            self._count += 1
            surplus = self._pop_surplus()
        if surplus is not None:
            surplus.close()

    def _pop(self, key: str, request_id: str) -> Handle | None:
        """Remove and return a handle that may send a request; None without one."""
        with self._lock:
            idle = self._idle.get(key, [])
            for index in reversed(range(len(idle))):
                if idle[index].may_send(request_id):
                    self._count -= 1
                    return idle.pop(index)
            return None

    def _pop_surplus(self) -> Handle | None:
        """Remove and return a handle of the least recently used address.

        Return None if the pool contains at most `IDLE_HANDLES_MAX` handles.
        """
        if self._count <= IDLE_HANDLES_MAX:
            return None
        while True:
            key, handles = next(iter(self._idle.items()))
            if handles:
                self._count -= 1
                return handles.pop(0)
            del self._idle[key]


def _pool_key(address: str, execution: Execution) -> str:
    """Return the pool key of a handle.

    A handle for non-idempotent requests closes its connection after each call, so it
    can be used for any address. All such handles have the same key.
    """
    return address if execution is Execution.IDEMPOTENT else ""
