"""Times at which the nodes of a soak were killed or suspended."""

import time
from collections.abc import Iterator
from contextlib import contextmanager

__all__ = ["Disturbances"]


class Disturbances:
    """Records the disturbances of nodes, which are numbered from 0.

    Attributes
    ----------
    times_s : list of list of list of float
        By node: start and end of each disturbance on the monotonic clock. The end is
        infinite while the disturbance lasts.
    """

    def __init__(self, nodes: int) -> None:
        self.times_s: list[list[list[float]]] = [[] for _ in range(nodes)]

    @contextmanager
    def record(self, number: int) -> Iterator[None]:
        """Record that a node is disturbed for the duration of the block."""
        times_s = [time.monotonic(), float("inf")]
        self.times_s[number].append(times_s)
        yield
        times_s[1] = time.monotonic()

    def is_undisturbed(self, number: int, at_s: float, for_s: float) -> bool:
        """Return whether a node was undisturbed for `for_s` up to `at_s`."""
        return not any(
            started_s <= at_s <= ended_s + for_s
            for started_s, ended_s in self.times_s[number]
        )
