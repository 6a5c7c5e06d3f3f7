"""Functions with which a gate evaluates the message that starts an attempt.

They return, for example, the attempt's deadline and the headers for the backend server.
"""

import math

from balsamspindle.protocol.header_names import HeaderNames
from balsamspindle.protocol.outcomes import Execution, Outcome
from balsamspindle.wire import Dispatch, ReservationRequest

__all__ = [
    "attempt_deadline_s",
    "ingress_ends_s",
    "is_keyed",
    "backend_server_headers",
    "reserved_dispatch",
    "unchecked_key_outcome",
]


def attempt_deadline_s(dispatch: Dispatch, received_s: float) -> float:
    """Return the deadline of an attempt on this gate's monotonic clock.

    The remaining time in the message is counted from `received_s`. If the message also
    contains the deadline on this gate's clock, the earlier deadline is returned.
    """
    by_duration_s = received_s + dispatch.remaining_ms / 1000
    if dispatch.gate_deadline_s is None:
        return by_duration_s
    return min(by_duration_s, dispatch.gate_deadline_s)


def ingress_ends_s(dispatch: Dispatch, received_s: float) -> float:
    """Return when an attempt's ingress ends; infinity unless the ingress is leaving."""
    if dispatch.ingress_remaining_ms is None:
        return math.inf
    return received_s + dispatch.ingress_remaining_ms / 1000


def is_keyed(dispatch: Dispatch) -> bool:
    """Return whether an attempt is non-idempotent and has an idempotency key.

    Of all attempts with the same key, at most one may run.
    """
    return (
        dispatch.idempotency_key is not None
        and dispatch.execution is Execution.NON_IDEMPOTENT
    )


def unchecked_key_outcome(dispatch: Dispatch) -> Outcome:
    """Return the outcome of an attempt that is refused before its key is checked.

    For a keyed attempt the outcome is 'unknown', because an earlier attempt with the
    same key may have run.
    """
    return Outcome.UNKNOWN if is_keyed(dispatch) else Outcome.NOT_RUN


def reserved_dispatch(request: ReservationRequest) -> Dispatch:
    """Return the dispatch of a reserved attempt as far as it is known beforehand."""
    query = request.query
    return Dispatch(
        request.attempt_id,
        "",
        query.service,
        query.backend_server_id,
        query.execution,
        query.remaining_ms,
        query.weight,
        "",
        "",
        [],
        b"",
        0,
        is_last_resort=query.is_last_resort,
        wait_max_ms=query.wait_max_ms,
        target_remaining_ms=query.target_remaining_ms,
        route_id=query.route_id,
        run_was_lost=query.run_was_lost,
        rank_ms=query.rank_ms,
        content_hash=query.content_hash,
        customer=query.customer,
        is_last_try=query.is_last_try,
        importance=query.importance,
        is_reserved=True,
    )


def backend_server_headers(
    dispatch: Dispatch, names: HeaderNames
) -> list[tuple[str, str]]:
    """Return the request's headers and the headers that the gate adds."""
    added = (
        (names.expected_backend_server, dispatch.backend_server_id),
        (names.caller_service, dispatch.caller_service),
        (names.customer, dispatch.customer),
    )
    return dispatch.headers + [pair for pair in added if all(pair)]
