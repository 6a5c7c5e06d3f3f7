"""Continues the search for a placement after all gates have refused a request."""

from collections.abc import Callable

from balsamspindle.protocol.outcomes import Execution
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.services.held_out_servers import HeldOutServers
from balsamspindle.services.picker import Picker

__all__ = ["SearchWidening", "call_wait_ms", "search_duration_s"]

# A request that all gates refused is sent to them again every SEARCH_AGAIN_S (half of
# gate_links.HOLD_OUT_S), for a fraction of its remaining time, SEARCH_AGAIN_FRACTIONS.
# After that time, it may be sent to a suspected backend server. Idempotent requests
# don't wait: after a wait, the queues of all unsuspected ones would be full.
SEARCH_AGAIN_S = 0.25
SEARCH_AGAIN_FRACTIONS = {Execution.IDEMPOTENT: 0.0, Execution.NON_IDEMPOTENT: 0.1}
# Where calls inherit importance, the search goes on for most of the time in which the
# answer is worth most. A suspected backend server answers one of four requests. A gate
# with three slots frees one within a fraction of a mean service time, and calls are
# among the first in its queue. A quarter of the time remains for a last resort, which
# needs a round trip and a run.
PATIENT_SEARCH_FRACTION = 0.75
# Calls are searched a place for more often: they are short, and so is their time.
CALL_SEARCH_AGAIN_S = 0.1
# Fraction of its remaining time that a call may wait in queues of its own zone. Another
# zone's queue is not shorter on average, and each attempt costs a round trip.
CALL_NEAR_WAIT_FRACTION = 0.25


def call_wait_ms(forwarded: ForwardedRequest, now_s: float) -> float:
    """Return how long a call may wait in its own zone; 0 for other requests."""
    if forwarded.importance is None:
        return 0.0
    return CALL_NEAR_WAIT_FRACTION * (forwarded.deadline_s - now_s) * 1000


def search_duration_s(
    forwarded: ForwardedRequest, is_patient: bool, now_s: float
) -> float:
    """Return how long a request is sent to unsuspected gates again after refusals.

    Parameters
    ----------
    is_patient : bool
        Whether the request is sent to them for as long as its answer can be in time:
        before its target time or, for a call, before its deadline. A run that waits for
        a call needs its answer even if it is late.
    """
    remaining_s = forwarded.deadline_s - now_s
    duration_s = SEARCH_AGAIN_FRACTIONS[forwarded.route.execution] * remaining_s
    if not is_patient:
        return duration_s
    if forwarded.importance is None and forwarded.target_s is not None:
        remaining_s = min(remaining_s, forwarded.target_s - now_s)
    return max(duration_s, PATIENT_SEARCH_FRACTION * remaining_s)


class SearchWidening:
    """Decides how a request's search goes on when no unsuspected gate takes it.

    Parameters
    ----------
    inherits : callable
        Returns whether calls to a service are as important as the runs that wait for
        them. Requests of such a service become last resorts later.
    wait : callable
        Waits for a number of seconds; returns True at once when this node is about to
        close its callers' connections.
    """

    def __init__(
        self,
        picker: Picker,
        held_out_servers: HeldOutServers,
        inherits: Callable[[str], bool],
        wait: Callable[[float], bool],
    ) -> None:
        self._picker = picker
        self._held_out_servers = held_out_servers
        self._inherits = inherits
        self._wait = wait

    def widen(self, forwarded: ForwardedRequest, now_s: float) -> bool:
        """Prepare a new search after all gates refused; return False to end the search.

        The request is sent to the gates again, one by one, for `search_duration_s`. A
        suspected backend server's hold-out ends within a second, and a trial begins. If
        it passes the trial, the next search can select it. After that time, the request
        may be sent to suspected ones as a last resort. So some requests are answered
        even if all are suspected or busy.
        """
        if forwarded.is_last_resort or not forwarded.may_send():
            return False
        is_patient = self._inherits(forwarded.route.service)
        is_call = forwarded.importance is not None
        if not is_call and not self._has_suspects(forwarded, now_s):
            return False
        forwarded.tried = set(forwarded.failed)
        forwarded.search.restart()
        if forwarded.search_until_s is None:
            forwarded.search_until_s = now_s + search_duration_s(
                forwarded, is_patient, now_s
            )
        pause_s = CALL_SEARCH_AGAIN_S if is_call else SEARCH_AGAIN_S
        if now_s + pause_s < forwarded.search_until_s:
            if self._wait(pause_s):
                return False
            return not forwarded.caller.caller_left()
        if not self._has_suspects(forwarded, now_s):
            return False
        forwarded.is_last_resort = True
        return True

    def _has_suspects(self, forwarded: ForwardedRequest, now_s: float) -> bool:
        """Return whether a backend server of the request's service is suspected."""
        if forwarded.refused_as_suspect:
            return True
        held_out = self._held_out_servers.held_out(now_s)
        return any(
            placement.backend_server.backend_server_id in held_out
            for placement in self._picker.view(forwarded.route.service).placements
        )
