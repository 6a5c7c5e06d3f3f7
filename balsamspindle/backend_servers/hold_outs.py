"""Makes hold-outs longer in zones with many backend servers of a service.

Only services with the setting `independent_errors` get longer hold-outs: their backend
servers are often sick for some seconds, several of them at a time. A trial usually
fails if it begins while the backend server is still sick, and each failed trial costs a
caller one retry. Longer hold-outs avoid such trials. However, a zone has fewer slots
while a backend server is held out. In a zone with few backend servers of the service,
requests would then have to go to other zones. Therefore hold-outs are not made longer
in such a zone.
"""

from collections.abc import Callable

import msgspec

from balsamspindle.settings.documents import Detection

__all__ = ["LARGE_ZONE_SERVERS", "ZoneDetection", "adjust_hold_outs"]

# In a zone with at least this many backend servers of a service, the remaining ones can
# do the work of one that is held out.
LARGE_ZONE_SERVERS = 6
# Factors by which `hold_out_growth` and `hold_out_max_s` are multiplied in a zone with
# at least `LARGE_ZONE_SERVERS` backend servers of the service.
LARGE_ZONE_GROWTH_FACTOR = 5.0
LARGE_ZONE_MAX_FACTOR = 2.0


def adjust_hold_outs(detection: Detection, servers_in_zone: int) -> Detection:
    """Return a service's detection settings, with longer hold-outs in a large zone.

    Parameters
    ----------
    servers_in_zone : int
        Number of the service's backend servers in this zone.
    """
    if not detection.independent_errors or servers_in_zone < LARGE_ZONE_SERVERS:
        return detection
    return msgspec.structs.replace(
        detection,
        hold_out_growth=detection.hold_out_growth * LARGE_ZONE_GROWTH_FACTOR,
        hold_out_max_s=detection.hold_out_max_s * LARGE_ZONE_MAX_FACTOR,
    )


class ZoneDetection:
    """The detection settings of services, adjusted to this node's zone.

    Parameters
    ----------
    detection : callable
        Returns a service's detection settings.
    count_in_zone : callable
        Returns the number of a service's backend servers in the zone.
    """

    def __init__(
        self, detection: Callable[[str], Detection], count_in_zone: Callable[[str], int]
    ) -> None:
        self._detection = detection
        self._count_in_zone = count_in_zone
        self._cache: dict[tuple[Detection, bool], Detection] = {}

    def __call__(self, service: str) -> Detection:
        """Return a service's detection settings, adjusted to the zone."""
        detection = self._detection(service)
        servers_in_zone = self._count_in_zone(service)
        key = (detection, servers_in_zone >= LARGE_ZONE_SERVERS)
        if key not in self._cache:
            self._cache = {key: adjust_hold_outs(detection, servers_in_zone)}
        return self._cache[key]
