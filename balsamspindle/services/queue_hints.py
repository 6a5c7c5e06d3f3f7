"""Records how long requests wait in the queues of gates that refused a request."""

import threading

__all__ = ["QueueHints"]

# No hint is used for longer than this. A queue changes within the run time of one or
# two requests. With an older hint, an ingress would avoid a gate that has free slots
# again.
HINT_VALID_MAX_S = 0.5
HINTS_MAX = 10_000
_NO_HINT = (0.0, float("-inf"))


class QueueHints:
    """The latest queue wait reported for each backend server; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # By backend server id: the wait in ms, and the time when the hint expires.
        self._hints: dict[str, tuple[float, float]] = {}

    def record(self, backend_server_id: str, wait_ms: float, now_s: float) -> None:
        """Record the queue wait that a refusal reported.

        The hint expires after `wait_ms`, or after `HINT_VALID_MAX_S` if that is
        sooner.
        """
        until_s = now_s + min(wait_ms / 1000, HINT_VALID_MAX_S)
        with self._lock:
            self._hints.pop(backend_server_id, None)
            self._hints[backend_server_id] = wait_ms, until_s
            if len(self._hints) > HINTS_MAX:
                del self._hints[next(iter(self._hints))]

    def wait_ms(self, backend_server_id: str, now_s: float) -> float | None:
        """Return the wait in a backend server's queue; None without a valid hint."""
        with self._lock:
            hint_ms, until_s = self._hints.get(backend_server_id, _NO_HINT)
        return hint_ms if until_s > now_s else None

    def longer_than(self, wait_ms: float, now_s: float) -> set[str]:
        """Return the ids of backend servers with a valid hint longer than `wait_ms`."""
        with self._lock:
            return {
                server_id
                for server_id, (hint_ms, until_s) in self._hints.items()
                if hint_ms > wait_ms and until_s > now_s
            }
