"""Continues the search for a placement after all gates have refused a request."""

from collections.abc import Callable

from balsamspindle.protocol.outcomes import Execution
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.services.held_out_servers import HeldOutServers
from balsamspindle.services.picker import Picker

__all__ = ["SearchWidening"]

# A request that all gates refused is sent to them again every SEARCH_AGAIN_S (half of
# gate_links.HOLD_OUT_S), for a fraction of its remaining time, SEARCH_AGAIN_FRACTIONS.
# After that time, it may be sent to a suspected backend server. Idempotent requests
# don't wait: after a wait, the queues of all unsuspected ones would be full.
SEARCH_AGAIN_S = 0.25
SEARCH_AGAIN_FRACTIONS = {Execution.IDEMPOTENT: 0.0, Execution.NON_IDEMPOTENT: 0.1}


class SearchWidening:
    """Decides how a request's search goes on when no unsuspected gate takes it.

    Parameters
    ----------
    wait : callable
        Waits for a number of seconds; returns True at once when this node is about to
        close its callers' connections.
    """

    def __init__(
        self,
        picker: Picker,
        held_out_servers: HeldOutServers,
        wait: Callable[[float], bool],
    ) -> None:
        self._picker = picker
        self._held_out_servers = held_out_servers
        self._wait = wait

    def widen(self, forwarded: ForwardedRequest, now_s: float) -> bool:
        """Prepare a new search after all gates refused; return False to end the search.

        Every `SEARCH_AGAIN_S`, a non-idempotent request is sent to the gates again, one
        by one. A suspected backend server's hold-out ends within a second, and a trial
        begins. If it passes the trial, the next search can select it. After a fraction
        of its remaining time, the non-idempotent request may be sent to suspected ones
        as a last resort. The new search for an idempotent request begins at once, as a
        last resort. So some requests are answered even if all are suspected or busy.
        """
        if forwarded.is_last_resort or not forwarded.may_send():
            return False
        if not self._has_suspects(forwarded, now_s):
            return False
        forwarded.tried = set(forwarded.failed)
        forwarded.search.restart()
        if forwarded.search_until_s is None:
            fraction = SEARCH_AGAIN_FRACTIONS[forwarded.route.execution]
            remaining_s = forwarded.deadline_s - now_s
            forwarded.search_until_s = now_s + fraction * remaining_s
        if now_s + SEARCH_AGAIN_S < forwarded.search_until_s:
            if self._wait(SEARCH_AGAIN_S):
                return False
            return not forwarded.caller.caller_left()
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
