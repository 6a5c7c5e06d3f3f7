"""Decides whether an error answer proves that a backend server did not run a request.

If the deployment has a header by which backend servers mark requests that they did
not run, only that header counts as proof: a failing backend server may answer 503 to
a request that it has already run. If the deployment has no such header, error answers
are forwarded to the caller like all other answers.
"""

from http import HTTPStatus

from balsamspindle.backend_servers.answers import BackendAnswer, BackendFailure
from balsamspindle.protocol.header_names import HeaderNames
from balsamspindle.protocol.outcomes import Reason

__all__ = [
    "is_misdirected",
    "is_unproven_refusal",
    "proves_not_run",
    "classify_result",
]

# Statuses from which a caller concludes that its request was not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def is_misdirected(answer: BackendAnswer, names: HeaderNames) -> bool:
    """Return whether the request reached a different backend server than intended."""
    is_421 = answer.status == HTTPStatus.MISDIRECTED_REQUEST
    return is_421 and bool(names.expected_backend_server)


def proves_not_run(answer: BackendAnswer, names: HeaderNames) -> bool:
    """Return whether the backend server states that it did not run the request."""
    if not names.not_run or answer.status < HTTPStatus.BAD_REQUEST:
        return False
    return answer.header(names.not_run) is not None


def is_unproven_refusal(answer: BackendAnswer, names: HeaderNames) -> bool:
    """Return whether the status suggests "not run", but the answer does not prove it.

    False if the deployment has no header for this proof. Call this function only if
    `proves_not_run` is false for the answer.
    """
    return bool(names.not_run) and answer.status in _NOT_RUN_STATUSES


def classify_result(
    result: BackendAnswer | BackendFailure, has_restarted: bool, names: HeaderNames
) -> BackendAnswer | BackendFailure:
    """Return a call's result, with a refusal changed to a failure.

    A refusal is an answer for which `is_misdirected`, `proves_not_run` or
    `is_unproven_refusal` is true. A cancelled call gets the reason `BROKEN_ANSWER` if
    the backend server was restarted during the call. All other results are returned
    unchanged.

    Parameters
    ----------
    has_restarted : bool
        Whether the backend server was restarted after the call began.
    """
    match result:
        case BackendFailure(Reason.CANCELLED) if has_restarted:
            return result._replace(
                reason=Reason.BROKEN_ANSWER,
                message="the backend server was restarted during the call",
            )
        case BackendAnswer() if is_misdirected(result, names):
            return BackendFailure(
                Reason.NO_BACKEND_SERVER,
                False,
                "a different backend server uses the address now",
            )
        case BackendAnswer() if proves_not_run(result, names):
            return BackendFailure(
                Reason.SHED, False, "the backend server refused the request"
            )
        case BackendAnswer() if is_unproven_refusal(result, names):
            return BackendFailure(
                Reason.UNPROVEN_REFUSAL,
                True,
                f"status {result.status} without proof that the request was not run",
            )
    return result
