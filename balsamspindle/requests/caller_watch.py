"""Notices that a caller left while this node's own gate works for it.

Over a link the task that serves the caller waits and can look at the caller's
connection meanwhile. At the gate of the same process that task makes the call
to the backend server itself, so that no other thread stands on the path; this
one looks in its place.
"""

import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from balsamspindle.requests.http import HttpConnection
from balsamspindle.wire import AttemptId

__all__ = ["CallerWatch"]

WATCH_INTERVAL_S = 0.05


class CallerWatch:
    """Cancels the attempts of callers that closed their connections.

    Parameters
    ----------
    cancel : callable
        Cancels one attempt of a caller that left.
    """

    def __init__(self, cancel: Callable[[AttemptId], None]) -> None:
        self._cancel = cancel
        self._changed = threading.Condition()
        self._callers: dict[AttemptId, HttpConnection] = {}
        threading.Thread(target=self._run, name="caller-watch", daemon=True).start()

    @contextmanager
    def watching(self, attempt_id: AttemptId, caller: HttpConnection) -> Iterator[None]:
        """Watch a caller while the attempt runs."""
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
            # Most attempts are over before the first look: they cost nothing.
            time.sleep(WATCH_INTERVAL_S)
            self._look()

    def _look(self) -> None:
        # Under the lock, so that no attempt ends meanwhile and its connection
        # is not closed and its descriptor not another connection's.
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
