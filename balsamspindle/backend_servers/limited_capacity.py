"""Computes the capacity that a gate reports of a backend server that names a limit."""

__all__ = ["UNATTEMPTED_S", "LimitedCapacity"]

# A limited backend server without any attempt for this long reports all of its slots.
# Each ingress that knows of the limit sends an attempt more often; see
# `services.limit_checks`. So without attempts, no ingress with requests knows of it,
# and with the lower capacity, the backend server would get none after the limit's end.
UNATTEMPTED_S = 7.0


class LimitedCapacity:
    """Fraction of its slots that a limited backend server can occupy.

    The fraction is computed once for each limit, with the mean service time at that
    time. Otherwise it would change, and be sent to the fleet, with each answer.
    """

    def __init__(self) -> None:
        self._limit_per_s: float | None = None
        self._fraction = 1.0
        self._attempted_s = 0.0

    def record_attempt(self, now_s: float) -> None:
        """Record an attempt for the backend server, refused or not."""
        self._attempted_s = now_s

    def fraction(
        self,
        limit_per_s: float | None,
        service_time_s: float,
        slots: int,
        now_s: float,
    ) -> float:
        """Return the fraction of the slots to report now.

        Parameters
        ----------
        limit_per_s : float or None
            The limit in force; None without one.
        service_time_s : float
            Mean service time; 0 when unknown.
        """
        if limit_per_s != self._limit_per_s:
            self._limit_per_s, self._attempted_s = limit_per_s, now_s
            self._fraction = 1.0
            if limit_per_s is not None and service_time_s:
                self._fraction = min(1.0, limit_per_s * service_time_s / slots)
        is_unattempted = now_s - self._attempted_s > UNATTEMPTED_S
        return 1.0 if is_unattempted else self._fraction
