"""Links to the gates of other nodes, and hold-outs for unreachable gates."""

from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import Execution, Reason
from balsamspindle.requests.link_pool import LinkPool, LinksExhausted
from balsamspindle.requests.links import Link
from balsamspindle.services.holdouts import HoldOuts
from balsamspindle.timeline import EventLog

__all__ = ["GateLinks"]

# A gate that could not be reached gets no attempts for HOLD_OUT_S. Each further
# hold-out of the gate is twice as long as the one before, up to HOLD_OUT_MAX_S.
HOLD_OUT_S, HOLD_OUT_MAX_S = 0.5, 30.0


class GateLinks:
    """Provides links to gates; records and logs which gates are unreachable.

    Attributes
    ----------
    hold_outs : HoldOuts
        Hold-outs, by node id, of nodes whose gates this node could not reach.
    """

    def __init__(self, links: LinkPool, events: EventLog) -> None:
        self._links = links
        self._events = events
        self.hold_outs = HoldOuts(HOLD_OUT_S, HOLD_OUT_MAX_S)

    def acquire(
        self,
        placement: Placement,
        execution: Execution,
        deadline_s: float,
        now_s: float,
    ) -> Link | Reason:
        """Return a working link for exclusive use, or why there is none.

        Starts a hold-out if the gate is unreachable; ends any hold-out if the gate is
        reachable.

        Returns
        -------
        Link or Reason
            `UNREACHABLE`, or `NO_FREE_LINK` if this node can open no link, which says
            nothing about the gate.
        """
        address = placement.node.link_address
        try:
            link = self._links.acquire(address, deadline_s, execution)
        except LinksExhausted:
            return Reason.NO_FREE_LINK
        if link is None:
            self.record_unreachable(placement, now_s)
            return Reason.UNREACHABLE
        node_id = placement.node.node_id
        unreachable_s = self.hold_outs.record_success(node_id, now_s)
        if unreachable_s is not None:
            self._events.emit(
                "gate_reachable", gate=node_id, after_s=f"{unreachable_s:.1f}"
            )
        return link

    def record_unreachable(self, placement: Placement, now_s: float) -> None:
        """Hold out a gate that did not answer; log the first of successive failures."""
        node_id = placement.node.node_id
        if self.hold_outs.record_failure(node_id, now_s):
            self._events.emit("gate_unreachable", gate=node_id)

    def release(self, link: Link) -> None:
        """Return a link to the pool, so that other attempts can use it."""
        self._links.release(link)
