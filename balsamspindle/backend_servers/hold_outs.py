"""Detection settings whose hold-outs fit the number of backend servers in the zone.

This is for services whose backend servers are often sick for some seconds, several
at a time. A trial costs its caller a retry, and mostly fails while the sickness
lasts; a long hold-out costs the zone the slots of that backend server. In a zone
with few others, the missing slots would send requests to other zones.
"""

from collections.abc import Callable

import msgspec

from balsamspindle.settings.documents import Detection

__all__ = ["LARGE_ZONE_SERVERS", "ZoneDetection", "adjust_hold_outs"]

# From this many backend servers of a service on, a zone can do without one of them.
LARGE_ZONE_SERVERS = 6
# In such a zone, hold_out_growth and hold_out_max_s are multiplied by these.
LARGE_ZONE_GROWTH_FACTOR = 5.0
LARGE_ZONE_MAX_FACTOR = 2.0


def adjust_hold_outs(detection: Detection, in_zone: int) -> Detection:
    """Return a service's settings, with longer hold-outs in a large zone.

    Parameters
    ----------
    in_zone : int
        Backend servers of the service in this zone.
    """
    if not detection.independent_errors or in_zone < LARGE_ZONE_SERVERS:
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
        Returns a service's settings.
    in_zone : callable
        Returns the number of a service's backend servers in the zone.
    """

    def __init__(
        self, detection: Callable[[str], Detection], in_zone: Callable[[str], int]
    ) -> None:
        self._detection = detection
        self._in_zone = in_zone
        self._cache: dict[tuple[Detection, bool], Detection] = {}

    def __call__(self, service: str) -> Detection:
        """Return a service's settings."""
        detection = self._detection(service)
        in_zone = self._in_zone(service)
        key = (detection, in_zone >= LARGE_ZONE_SERVERS)
        if key not in self._cache:
            self._cache = {key: adjust_hold_outs(detection, in_zone)}
        return self._cache[key]
