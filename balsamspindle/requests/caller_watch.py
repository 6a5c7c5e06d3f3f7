"""Detects that a caller left while this node's own gate runs its request.

When the gate is on another node, the task that serves the caller waits for the link
and checks the caller's connection meanwhile. When the gate is in the same process,
that task calls the backend server itself, so that the call passes through no other
thread. A separate thread then checks the connections of all such callers.
"""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from balsamspindle.requests.http import HttpConnection
from balsamspindle.wire import AttemptId

__all__ = ["CallerWatch"]

CHECK_INTERVAL_S = 0.05


class CallerWatch:
    """Cancels the attempts of callers that closed their connections.

    Parameters
    ----------
    cancel : callable
        Called with the id of each attempt whose caller left.
    """

    def __init__(self, cancel: Callable[[AttemptId], None]) -> None:
        self._cancel = cancel
        self._changed = threading.Condition()
        self._callers: dict[AttemptId, HttpConnection] = {}
        threading.Thread(target=self._run, name="caller-watch", daemon=True).start()

    @contextmanager
    def watching(self, attempt_id: AttemptId, caller: HttpConnection) -> Iterator[None]:
        """Check the caller's connection for as long as the context is open."""
        with self._changed:
            if not self._callers:
                self._changed.notify()
            self._callers[attempt_id] = caller
        try:
            yield
        finally:
            with self._changed:
                self._callers.pop(attempt_id, None)

    def _run(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._callers)
            # Most attempts end before their first check, which they then don't need.
            time.sleep(CHECK_INTERVAL_S)
            self._cancel_if_gone()

    def _cancel_if_gone(self) -> None:
        # The lock keeps attempts from ending during the checks. Otherwise a connection
        # could be closed and its descriptor reused by another connection.
        with self._changed:
            gone = [
                attempt_id
                for attempt_id, caller in self._callers.items()
                if caller.caller_gone()
            ]
            for attempt_id in gone:
                del self._callers[attempt_id]
        for attempt_id in gone:
            self._cancel(attempt_id)
