"""Prevents different suspected requests from running together at a backend server.

If two requests are always lost in the same crashes, it is unknown which of them causes
the crashes. If the two requests run at different times, or at different backend
servers, the next crash identifies the cause, and the other request is answered.
"""

import threading
from collections import Counter

__all__ = ["SuspectRuns"]


class SuspectRuns:
    """Running requests that are suspected of crashing backend servers; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._running: dict[str, Counter[int]] = {}

    def begin(self, backend_server_id: str, content_hash: int) -> bool:
        """Register a run, unless a different suspected request runs at the server.

        Requests with different content hashes are different. Return False if the run
        was not registered. In this case, the run must not start.
        """
        with self._lock:
            running = self._running.setdefault(backend_server_id, Counter())
            if any(other != content_hash for other in running):
                return False
            running[content_hash] += 1
            return True

    def end(self, backend_server_id: str, content_hash: int) -> None:
        """Remove a run that `begin` registered."""
        with self._lock:
            running = self._running[backend_server_id]
            running[content_hash] -= 1
            if not running[content_hash]:
                del self._running[backend_server_id]
