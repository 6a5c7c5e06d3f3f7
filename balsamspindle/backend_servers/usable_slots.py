"""Computes how many slots of a backend server may be used after a start or a limit."""

from balsamspindle.backend_servers.servers import LocalBackendServer
from balsamspindle.backend_servers.slots import ramped_slots
from balsamspindle.settings.documents import ServiceDocument

__all__ = ["capacity_fraction", "usable_slots"]

CAPACITY_STEPS = 4
# Fraction of its slots that a backend server may use while it reports that it is cold.
# A cold backend server takes about twice as long for each request, so it can answer
# only half as many requests per second. Ingresses choose a backend server by its usable
# slots, so these are halved, too.
COLD_SLOTS_FRACTION = 0.5


def usable_slots(
    server: LocalBackendServer, document: ServiceDocument, now_s: float
) -> int:
    """Return how many slots are usable now; fewer after a start and while cold."""
    announcement = server.announcement
    slots = ramped_slots(
        announcement.slots, now_s - server.started_s, document.cold_start_s
    )
    if now_s < server.cold_until_s:
        slots = min(slots, max(1, int(announcement.slots * COLD_SLOTS_FRACTION)))
    return slots


def capacity_fraction(
    server: LocalBackendServer, slots: int, limit_per_s: float | None, now_s: float
) -> float:
    """Return the fraction of its slots that a backend server may use now.

    The fraction is rounded down to a multiple of 1/4, and at least 1/4. Each change
    is sent to the whole fleet; due to rounding, a cold start causes few changes.

    Parameters
    ----------
    slots : int
        The slots that are usable now.
    limit_per_s : float or None
        Requests per second that the backend server's limit allows; None without one.
    """
    fraction = slots / server.announcement.slots
    limited = server.limited_capacity.fraction(
        limit_per_s, server.account.service_time_s, server.announcement.slots, now_s
    )
    return max(1, int(min(fraction, limited) * CAPACITY_STEPS)) / CAPACITY_STEPS
