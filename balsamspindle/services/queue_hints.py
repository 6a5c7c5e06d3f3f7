"""How long gates said that their queues are, as an ingress heard it lately."""

import threading

__all__ = ["QueueHints"]

# A queue changes within the time of a request or two; an older hint would keep
# work from a gate that has long been free.
BELIEVED_MAX_S = 0.5
KEPT_MAX = 10_000
_NOT_TOLD = (0.0, float("-inf"))


class QueueHints:
    """The waits that gates told when they refused; safe from all threads."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._told: dict[str, tuple[float, float]] = {}

    def note(self, backend_server_id: str, wait_ms: float, now_s: float) -> None:
        """Take what a refusal said."""
        until_s = now_s + min(wait_ms / 1000, BELIEVED_MAX_S)
        with self._lock:
            self._told.pop(backend_server_id, None)
            self._told[backend_server_id] = wait_ms, until_s
            if len(self._told) > KEPT_MAX:
                del self._told[next(iter(self._told))]

    def wait_ms(self, backend_server_id: str, now_s: float) -> float | None:
        """Return how long a queue is believed to be; None when not known."""
        with self._lock:
            told_ms, until_s = self._told.get(backend_server_id, _NOT_TOLD)
        return told_ms if until_s > now_s else None

    def longer_than(self, wait_ms: float, now_s: float) -> set[str]:
        """Return the backend servers whose queues are believed to be longer."""
        with self._lock:
            return {
                server_id
                for server_id, (told_ms, until_s) in self._told.items()
                if told_ms > wait_ms and until_s > now_s
            }
