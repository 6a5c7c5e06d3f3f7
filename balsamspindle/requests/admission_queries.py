"""Queries whether a gate would admit an attempt, before the attempt is sent.

Traffic between zones is paid for by the byte, and queries save some of this traffic.
Gates in other zones refuse two of three attempts that look for a free slot. An attempt
carries its complete request, at least 0.7 KB, while a query and its answer have 0.2 KB
together. A query costs one round trip. The gate does not reserve a slot when it answers
a query: if other attempts occupy all slots before the attempt arrives, the gate refuses
the attempt.

Before an attempt with a large body is sent, its gate is queried even if the gate is in
the own zone. Gates of a busy service refuse three of four attempts. Without queries,
refused attempts with bodies of 60 KB would fill a quarter of each gate's link of
10 Mbit/s. These attempts would delay queries and short requests by a quarter of a
second. An ingress waits only that long for the answer to a query (`QUERY_TIMEOUT_S`).
Without an answer in that time, the ingress would consider the gate unreachable.
"""

import itertools
import time
from collections.abc import Callable
from typing import NamedTuple

from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.requests.forwarded import ForwardedRequest, Step, route_id
from balsamspindle.requests.gate_links import GateLinks
from balsamspindle.requests.links import Link
from balsamspindle.timeline import EventLog
from balsamspindle.wire import (
    NOT_HELD_OUT,
    AdmissionAnswer,
    AdmissionQuery,
    GateLoad,
    HoldOut,
    NodeRecord,
)

__all__ = ["DeclinedAttempt", "AdmissionQueries"]

# A gate is always queried before a body of at least this size is sent to it. The
# transfer of a body of this size over a 10 Mbit/s link takes as long as a query and its
# answer within a zone, including the processing at both ends.
LARGE_BODY_BYTES = 8 * 1024
# How long an ingress waits for the answer to a query: enough for several round trips.
# The gate itself needs almost no time to answer.
QUERY_TIMEOUT_S = 0.25


class DeclinedAttempt(NamedTuple):
    """An attempt that was not sent, because its gate would have refused it.

    Attributes
    ----------
    reason : Reason
        Why the gate would refuse the attempt; ``UNREACHABLE`` if it did not answer.
    wait_ms : float
        Expected wait for a slot. If the request crashes backend servers, the time for
        which the request stays blocked. 0 with other reasons.
    held_out : HoldOut
        The hold-out of the backend server, as the gate reported it.
    load : GateLoad or None
        The gate's load; None if it told none.
    """

    reason: Reason
    wait_ms: float = 0.0
    held_out: HoldOut = NOT_HELD_OUT
    load: GateLoad | None = None


class AdmissionQueries:
    """Queries whether gates, mostly in other zones, would admit an attempt."""

    def __init__(
        self,
        own: NodeRecord,
        links: GateLinks,
        events: EventLog,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._own = own
        self._links = links
        self._events = events
        self._clock = clock
        self._numbers = itertools.count(1)

    def should_query(self, forwarded: ForwardedRequest, placement: Placement) -> bool:
        """Return whether to query the gate before the attempt is sent.

        Before an attempt with a large body, a query is always sent. Before other
        attempts, a query is sent only if the attempt looks for a free slot in another
        zone and is not a last-resort attempt. All other attempts are sent without a
        query, for three reasons. Traffic within the own zone is free. Last-resort
        attempts are rarely refused. An attempt that may wait in a gate's queue is
        refused only after its wait, so the answer to a query would not predict the
        refusal.
        """
        if len(forwarded.request.body) >= LARGE_BODY_BYTES:
            return True
        is_other_zone = placement.node.availability_zone != self._own.availability_zone
        seeks_free_slot = forwarded.search.step is Step.FAR
        return is_other_zone and seeks_free_slot and not forwarded.is_last_resort

    def query(
        self, forwarded: ForwardedRequest, placement: Placement
    ) -> Link | DeclinedAttempt:
        """Query whether a gate would admit an attempt.

        Returns the link over which to send the attempt if the gate would admit it.
        Otherwise, logs the declined attempt and returns it with the gate's reason.
        """
        now_s = self._clock()
        link = self._links.acquire(
            placement, forwarded.route.execution, forwarded.deadline_s, now_s
        )
        if isinstance(link, Reason):
            return self._log_declined(forwarded, placement, DeclinedAttempt(link))
        match link.query(
            self.build_query(forwarded, placement), now_s + QUERY_TIMEOUT_S
        ):
            case None:
                link.close()
                self._links.record_unreachable(placement, self._clock())
                declined = DeclinedAttempt(Reason.UNREACHABLE)
            case AdmissionAnswer(reason=None):
                return link
            case AdmissionAnswer() as answer:
                self._links.release(link)
                declined = DeclinedAttempt(
                    answer.reason, answer.wait_ms, answer.held_out, answer.load
                )
        return self._log_declined(forwarded, placement, declined)

    def build_query(
        self, forwarded: ForwardedRequest, placement: Placement
    ) -> AdmissionQuery:
        """Return the query that describes a request's next attempt to its gate."""
        route, now_s = forwarded.route, self._clock()
        return AdmissionQuery(
            next(self._numbers),
            route.service,
            placement.backend_server.backend_server_id,
            route.execution,
            (forwarded.deadline_s - now_s) * 1000,
            route.weight,
            forwarded.wait_max_ms,
            forwarded.target_remaining_ms(now_s),
            route_id(route),
            is_last_resort=forwarded.is_last_resort,
            run_was_lost=forwarded.run_was_lost,
            rank_ms=forwarded.rank_ms,
            content_hash=forwarded.content_hash,
            customer=forwarded.customer,
            is_last_try=forwarded.sends + 1 >= route.attempts_max,
            body_bytes=len(forwarded.request.body),
            importance=forwarded.importance,
        )

    def _log_declined(
        self, forwarded, placement, declined: DeclinedAttempt
    ) -> DeclinedAttempt:
        self._events.emit(
            "attempt_declined",
            request=forwarded.request_id,
            backend_server=placement.backend_server.backend_server_id,
            gate=placement.node.node_id,
            cause=declined.reason,
            wait_ms=round(declined.wait_ms) or None,
            held_out_ms=round(declined.held_out.held_out_ms) or None,
        )
        return declined
