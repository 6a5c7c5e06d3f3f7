"""Selects limited backend servers for requests that check whether limits still hold."""

from collections.abc import Iterator

from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.requests.attempts import AttemptSender
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.placement_selection import PlacementSelector, Selection
from balsamspindle.services.floor import ON_TRIAL
from balsamspindle.services.picker import Picker
from balsamspindle.timeline import EventLog

__all__ = ["LimitCheckSelector"]

# How much longer the intervals are at backend servers of other zones. Checks from their
# own zone cost no traffic between zones; those from other zones are for a backend
# server whose own zone has no requests for it.
FAR_INTERVAL_FACTOR = 2.0


class LimitCheckSelector:
    """Selects a limited backend server that is due for a check, else as placement does.

    A check is the first attempt of an idempotent request. It waits for no slot and for
    no limit: if the gate refuses it, the request is sent elsewhere at once.

    Parameters
    ----------
    selector : PlacementSelector
        Selects the placements of all other attempts.
    """

    def __init__(
        self,
        selector: PlacementSelector,
        picker: Picker,
        sender: AttemptSender,
        events: EventLog,
    ) -> None:
        self._selector = selector
        self._picker = picker
        self._sender = sender
        self._events = events

    def select(self, forwarded: ForwardedRequest, now_s: float) -> Selection | None:
        """Return where to send the next attempt; None when no placement remains."""
        return self._select_check(forwarded, now_s) or self._selector.select(
            forwarded, now_s
        )

    def _select_check(
        self, forwarded: ForwardedRequest, now_s: float
    ) -> Selection | None:
        is_idempotent = forwarded.route.execution is Execution.IDEMPOTENT
        may_check = is_idempotent and not forwarded.attempts
        if not may_check or not self._sender.known_terms.has_limits():
            return None
        for place, factor in self._limited(forwarded, now_s):
            server_id = place.backend_server.backend_server_id
            if self._sender.limit_checks.try_begin(server_id, factor, now_s):
                self._events.emit(
                    "limit_check",
                    request=forwarded.request_id,
                    backend_server=server_id,
                )
                return Selection(place, 0.0)
        return None

    def _limited(
        self, forwarded: ForwardedRequest, now_s: float
    ) -> Iterator[tuple[Placement, float]]:
        """Yield the limited backend servers with room, those of the own zone first."""
        terms, route = self._sender.known_terms, forwarded.route
        used_up = terms.waits_ms(route.weight, now_s).keys()
        excluded = used_up | self._sender.held_out_servers.held_out(now_s)
        own_vm, own_zone, *_, usable = self._picker.view(route.service).tiers
        near = (*own_vm, *own_zone)
        far = (place for place in usable if place not in near)
        for places, factor in ((near, 1.0), (far, FAR_INTERVAL_FACTOR)):
            for place in places:
                server = place.backend_server
                known = terms.get(server)
                if known is None or known.limit_per_s is None or known.is_leaving:
                    continue
                is_reachable = not self._sender.link_hold_outs.is_held_out(
                    place.node.node_id, now_s
                )
                is_healthy = server.suspicion < ON_TRIAL
                is_allowed = server.backend_server_id not in excluded
                if is_allowed and is_reachable and is_healthy:
                    yield place, factor
