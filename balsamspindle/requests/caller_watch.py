"""Detects callers that disconnect while this node's own gate runs their requests.

If a request runs at another node's gate, the task that serves its caller waits for
messages on the link to that node and checks the caller's connection while it waits. If
a request runs at the own gate, the task calls the backend server itself, without a
transfer of the call to another thread. The task cannot check the caller's connection
during the call. Therefore one separate thread checks the connections of all callers
whose requests run at the own gate.
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
        Called with the id of each attempt whose caller disconnected.
    """

    def __init__(self, cancel: Callable[[AttemptId], None]) -> None:
        self._cancel = cancel
        self._changed = threading.Condition()
        self._callers: dict[AttemptId, HttpConnection] = {}
        threading.Thread(target=self._run, name="caller-watch", daemon=True).start()

    @contextmanager
    def watching(self, attempt_id: AttemptId, caller: HttpConnection) -> Iterator[None]:
        """Cancel the attempt if the caller disconnects while the context is open."""
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
            # Most attempts end during this sleep and need no check.
            time.sleep(CHECK_INTERVAL_S)
            self._cancel_disconnected()

    def _cancel_disconnected(self) -> None:
        # While the lock is held, no context of `watching` ends, so the callers'
        # connections stay open. If a connection were closed during the check, its file
        # descriptor might already belong to another connection.
        with self._changed:
            disconnected = [
                attempt_id
                for attempt_id, caller in self._callers.items()
                if caller.caller_left()
            ]
            for attempt_id in disconnected:
                del self._callers[attempt_id]
        for attempt_id in disconnected:
            self._cancel(attempt_id)
