"""Detects callers that disconnect while this node's own gate runs their requests.

When the gate is on another node, the task that serves the caller waits for messages on
the link to that node, and checks the caller's connection while it waits. When the gate
is in the same process, the task itself calls the backend server, so that the call
passes through no other thread. During the call the task can't check the caller's
connection, so a separate thread checks the connections of all these callers.
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
            self._cancel_if_gone()

    def _cancel_if_gone(self) -> None:
        # While the lock is held, no attempt leaves `watching`, so the callers'
        # connections stay open. If one were closed during the check, its file
        # descriptor might already belong to another connection.
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
