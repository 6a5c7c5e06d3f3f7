"""The fraction of its slots that a backend server may use, as the fleet is told."""

from balsamspindle.backend_servers.servers import LocalBackendServer

__all__ = ["announced_capacity"]

CAPACITY_STEPS = 4


def announced_capacity(
    server: LocalBackendServer, slots: int, limit_per_s: float | None
) -> float:
    """Return the fraction of its slots that a backend server may use now.

    The fraction is rounded down to a multiple of 1/4, and at least 1/4. Each change
    is sent to the whole fleet; due to rounding, a cold start causes few changes.

    Parameters
    ----------
    slots : int
        Slots that are usable now.
    limit_per_s : float or None
        Requests a second that the backend server allows; None without a limit.
    """
    fraction = slots / server.announcement.slots
    fraction = min(fraction, _limited_fraction(server, limit_per_s))
    return max(1, int(fraction * CAPACITY_STEPS)) / CAPACITY_STEPS


def _limited_fraction(server: LocalBackendServer, limit_per_s: float | None) -> float:
    """Return the fraction of its slots that a limited backend server can occupy.

    The fraction is computed once for each limit, with the mean service time at that
    time. Otherwise it would change, and be sent to the fleet, with each answer.
    """
    if server.limited_fraction[0] != limit_per_s:
        server.limited_fraction = limit_per_s, 1.0
        service_time_s = server.account.service_time_s
        if limit_per_s is not None and service_time_s:
            occupied = limit_per_s * service_time_s
            fraction = min(1.0, occupied / server.announcement.slots)
            server.limited_fraction = limit_per_s, fraction
    return server.limited_fraction[1]
