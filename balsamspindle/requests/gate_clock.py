"""Estimates of other nodes' monotonic clocks."""

__all__ = ["GateClock"]

# Upper bound for the relative drift between two quartz clocks.
CLOCK_DRIFT_MAX = 0.0005


class GateClock:
    """An estimate of the monotonic clock of the gate at the other end of a link.

    The gate's time in a message is out of date when the message arrives, so the
    estimate is never ahead of the gate's clock. A deadline that is converted to the
    gate's time is therefore never too late. It is too early by at most the delay of one
    message from the gate.
    """

    def __init__(self) -> None:
        self._offset_s = float("-inf")
        self._updated_s = 0.0

    def update(self, gate_time_s: float, now_s: float) -> None:
        """Update the estimate from a message that was just received."""
        drift_s = (now_s - self._updated_s) * CLOCK_DRIFT_MAX
        self._offset_s = max(gate_time_s - now_s, self._offset_s - drift_s)
        self._updated_s = now_s

    def at(self, local_s: float) -> float:
        """Convert a local time to the gate's time, or to a slightly earlier one."""
        drift_s = max(0.0, local_s - self._updated_s) * CLOCK_DRIFT_MAX
        return local_s + self._offset_s - drift_s
