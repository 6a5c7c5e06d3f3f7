"""Reserves places for a request in the queues of other nodes' gates."""

from collections.abc import Callable, Iterable
from typing import NamedTuple

import zmq

from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import CancelCause, Outcome, Reason
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.gate_links import GateLinks
from balsamspindle.requests.links import Link, poll_timeout_ms
from balsamspindle.requests.reply_wait import CHECK_INTERVAL_MS
from balsamspindle.requests.reservation_plans import ReservationPlan
from balsamspindle.requests.reservation_race import ReservationRace
from balsamspindle.requests.retries import best_reply
from balsamspindle.requests.tracking import TrackedAttempt
from balsamspindle.timeline import EventLog
from balsamspindle.wire import (
    AdmissionQuery,
    AttemptId,
    Reply,
    ReservationCall,
    ReservationRequest,
)

__all__ = ["CalledReservation", "Reservations"]

# A gate refuses a reservation that has waited for WAIT_FACTOR times its longest wait.
# An ingress that hears nothing for REPLY_MARGIN_S more takes the gate for unreachable.
WAIT_FACTOR = 1.3
REPLY_MARGIN_S = 0.25


class CalledReservation(NamedTuple):
    """A reservation whose gate holds a slot for the request."""

    link: Link
    placement: Placement
    attempt_id: AttemptId


class _Made(NamedTuple):
    link: Link
    placement: Placement
    attempt_id: AttemptId


class Reservations:
    """Makes reservations, waits for the first call and withdraws the others.

    Parameters
    ----------
    build_query : callable
        Returns the query that describes a request to the gate of a placement.
    track : callable
        Records the start of an attempt; returns the object that records its end.
    next_id : callable
        Returns a new attempt id.
    is_aborted : callable
        Returns whether this node no longer waits for replies.
    """

    def __init__(
        self,
        links: GateLinks,
        events: EventLog,
        clock: Callable[[], float],
        build_query: Callable[[ForwardedRequest, Placement], AdmissionQuery],
        track: Callable[[ForwardedRequest, Placement], TrackedAttempt],
        next_id: Callable[[], AttemptId],
        is_aborted: Callable[[], bool],
    ) -> None:
        self._links = links
        self._events = events
        self._clock = clock
        self._build_query = build_query
        self._track = track
        self._next_id = next_id
        self._is_aborted = is_aborted

    def wait(
        self, forwarded: ForwardedRequest, plan: ReservationPlan
    ) -> CalledReservation | Reply:
        """Reserve places and wait; return the first call, or a refusal without one."""
        now_s = self._clock()
        wait_s = WAIT_FACTOR * plan.wait_max_ms / 1000 + REPLY_MARGIN_S
        until_s = min(forwarded.deadline_s, now_s + wait_s)
        made, replies = self._make(forwarded, plan)
        race = ReservationRace(len(made))
        try:
            called = self._wait_called(forwarded, made, race, replies, until_s)
        finally:
            self._withdraw(forwarded, [made[number] for number in race.close()])
        return called or best_reply(replies)

    def _make(
        self, forwarded: ForwardedRequest, plan: ReservationPlan
    ) -> tuple[list[_Made], list[Reply]]:
        """Send the reservations; return them, and refusals for unreachable gates."""
        made, replies = [], []
        for placement in plan.placements:
            attempt_id = self._next_id()
            forwarded.attempts += 1
            link = self._links.acquire(
                placement,
                forwarded.route.execution,
                forwarded.deadline_s,
                self._clock(),
            )
            request = ReservationRequest(
                attempt_id, self._build_query(forwarded, placement)
            )
            if link is Reason.NO_FREE_LINK:
                replies.append(Reply(attempt_id, Outcome.NOT_RUN, link))
                break
            if link is Reason.UNREACHABLE or not link.send_reservation(
                request, forwarded.deadline_s
            ):
                replies.append(self._unreachable(forwarded, placement, attempt_id))
                continue
            made.append(_Made(link, placement, attempt_id))
        self._events.emit(
            "reservation_made",
            request=forwarded.request_id,
            attempts=",".join("/".join(map(str, one.attempt_id)) for one in made),
            backend_servers=",".join(
                one.placement.backend_server.backend_server_id for one in made
            ),
            wait_max_ms=round(plan.wait_max_ms),
        )
        return made, replies

    def _wait_called(
        self,
        forwarded: ForwardedRequest,
        made: list[_Made],
        race: ReservationRace,
        replies: list[Reply],
        until_s: float,
    ) -> CalledReservation | None:
        poller = zmq.Poller()
        caller = forwarded.caller
        poller.register(caller.fileno(), zmq.POLLIN)
        for one in made:
            one.link.register(poller)
        waiting = dict(enumerate(made))
        while not race.is_over:
            remaining_ms = poll_timeout_ms(until_s)
            ready = dict(poller.poll(min(remaining_ms, CHECK_INTERVAL_MS)))
            for number, one in list(waiting.items()):
                match one.link.receive_call(ready, one.attempt_id, self._report_drop):
                    case ReservationCall() if race.record_call(number):
                        return CalledReservation(*one)
                    case Reply() as reply:
                        replies.append(self._record_refusal(forwarded, one, reply))
                        self._links.release(one.link)
                    case _ if one.link.is_disconnected(ready):
                        replies.append(
                            self._unreachable(forwarded, one.placement, one.attempt_id)
                        )
                        one.link.close()
                    case _:
                        continue
                del waiting[number]
                one.link.unregister(poller)
                race.record_end(number)
            if caller.fileno() in ready:
                if caller.caller_left():
                    break
                # The caller has sent its next request, which is read after this answer.
                poller.unregister(caller.fileno())
            if self._is_aborted():
                break
            if not ready and remaining_ms <= CHECK_INTERVAL_MS:
                if until_s < forwarded.deadline_s:
                    self._record_silence(forwarded, waiting.values())
                break
        replies.extend(
            Reply(one.attempt_id, Outcome.NOT_RUN, Reason.WOULD_WAIT)
            for one in waiting.values()
        )
        return None

    def _record_silence(
        self, forwarded: ForwardedRequest, silent: Iterable[_Made]
    ) -> None:
        """Record gates as unreachable that neither called nor refused in time."""
        for one in silent:
            forwarded.tried.add(one.placement.backend_server.backend_server_id)
            self._links.record_unreachable(one.placement, self._clock())

    def _withdraw(self, forwarded: ForwardedRequest, made: list[_Made]) -> None:
        cause = CancelCause.INGRESS_GAVE_UP
        if forwarded.caller.caller_left():
            cause = CancelCause.CALLER_LEFT
        for one in made:
            one.link.withdraw(one.attempt_id, cause)
            self._links.release(one.link)

    def _record_refusal(
        self, forwarded: ForwardedRequest, one: _Made, reply: Reply
    ) -> Reply:
        """Record a refusal in the estimates of this ingress; return it."""
        server_id = one.placement.backend_server.backend_server_id
        forwarded.tried.add(server_id)
        if reply.reason is Reason.SUSPECTED:
            forwarded.refused_as_suspect.add(server_id)
        # `TrackedAttempt.end` takes back the send of an attempt that was refused.
        forwarded.sends += 1
        self._track(forwarded, one.placement).end(reply)
        return reply

    def _unreachable(
        self, forwarded: ForwardedRequest, placement: Placement, attempt_id: AttemptId
    ) -> Reply:
        forwarded.tried.add(placement.backend_server.backend_server_id)
        self._links.record_unreachable(placement, self._clock())
        return Reply(attempt_id, Outcome.NOT_RUN, Reason.UNREACHABLE)

    def _report_drop(self, cause: str) -> None:
        self._events.emit("message_dropped", cause=cause)
