"""What a backend server's refusal proves.

Where backend servers mark what they did not run, the mark is a proof and
nothing else is: one that fails may answer 503 to work that it has done.
Without such a mark in a deployment, its refusals are passed on as answers.
"""

from http import HTTPStatus

from balsamspindle.backend_servers.answers import BackendAnswer
from balsamspindle.requests.header_names import HeaderNames

__all__ = ["is_misdirected", "is_unproven_refusal", "proves_not_run"]

# Statuses that tell a caller that its request was not run.
_PROMISES = frozenset({408, 421, 429, 503})


def is_misdirected(answer: BackendAnswer, names: HeaderNames) -> bool:
    """Tell whether another backend server than the one meant refused."""
    is_421 = answer.status == HTTPStatus.MISDIRECTED_REQUEST
    return is_421 and bool(names.expected_backend_server)


def proves_not_run(answer: BackendAnswer, names: HeaderNames) -> bool:
    """Tell whether the backend server says that it did not run the request."""
    if not names.not_run or answer.status < HTTPStatus.BAD_REQUEST:
        return False
    return answer.header(names.not_run) is not None


def is_unproven_refusal(answer: BackendAnswer, names: HeaderNames) -> bool:
    """Tell whether passing the answer on would promise what nobody proved."""
    return bool(names.not_run) and answer.status in _PROMISES
