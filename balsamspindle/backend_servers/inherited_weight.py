"""Weighs calls at a gate by the runs that wait for their answers."""

from typing import TypeVar

import msgspec

from balsamspindle.wire import AdmissionQuery, Dispatch

__all__ = ["ORDER_STEP", "ROOM_STEP", "room_weight", "with_inherited_weight"]

Attempt = TypeVar("Attempt", Dispatch, AdmissionQuery)

# A call starts before all new requests of its parent's customer: it is heavier by this
# much than the run that waits for it, which is as much as distinguishes the routes of
# one customer. Without the call, the slot time of the run is lost, while new requests
# have spent nothing yet and wait a little longer only.
ORDER_STEP = 0.001
# Slots are kept for calls by the weight of the runs that wait, plus this step. It is
# smaller than what distinguishes two routes. So requests as heavy as the parent leave
# room for its calls, but more urgent ones don't: they would wait behind long requests
# although a slot is free.
ROOM_STEP = 0.00001


def with_inherited_weight(attempt: Attempt, inherits: bool) -> Attempt:
    """Return an attempt with the weight that counts at the gate of its service.

    Where calls inherit no importance, the returned attempt has none.

    Parameters
    ----------
    inherits : bool
        Whether calls to the service are as important as the runs that wait for them.
    """
    if attempt.importance is None:
        return attempt
    if not inherits:
        return msgspec.structs.replace(attempt, importance=None)
    weight = max(attempt.weight, attempt.importance.weight + ORDER_STEP)
    return msgspec.structs.replace(attempt, weight=weight)


def room_weight(attempt: Dispatch | AdmissionQuery) -> float:
    """Return the weight by which slots are kept for attempts like this one.

    Parameters
    ----------
    attempt : Dispatch or AdmissionQuery
        With the weight of `with_inherited_weight`.
    """
    importance = attempt.importance
    if importance is None or attempt.weight > importance.weight + ORDER_STEP:
        return attempt.weight
    return importance.weight + ROOM_STEP
