"""Which backend servers' gates keep work away now, as an ingress heard it."""

import threading

__all__ = ["Suspects"]

KEPT_MAX = 10_000


class Suspects:
    """Until when each gate said that it refuses usual work.

    Each reply tells it, refusals and answers alike, so an ingress asks a gate
    in vain at most once in a hold-out. It is a hint: the gate decides.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._until_s: dict[str, float] = {}

    def note(self, backend_server_id: str, held_out_ms: float, now_s: float) -> None:
        """Take what a reply said."""
        if not held_out_ms and backend_server_id not in self._until_s:
            return
        with self._lock:
            self._until_s.pop(backend_server_id, None)
            if held_out_ms:
                self._until_s[backend_server_id] = now_s + held_out_ms / 1000
                if len(self._until_s) > KEPT_MAX:
                    del self._until_s[next(iter(self._until_s))]

    def at(self, now_s: float) -> set[str]:
        """Return the ids of those that refuse work now."""
        if not self._until_s:
            return set()
        with self._lock:
            return {
                backend_server_id
                for backend_server_id, until_s in self._until_s.items()
                if until_s > now_s
            }
