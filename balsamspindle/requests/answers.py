"""Encodes HTTP responses to callers."""

import math
from functools import lru_cache
from http import HTTPStatus

import msgspec

from balsamspindle.protocol.connection_headers import HOP_BY_HOP_HEADERS
from balsamspindle.protocol.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from balsamspindle.protocol.outcomes import PROBLEMS, Outcome, Reason

__all__ = ["NOT_RUN_STATUSES", "encode_answer", "encode_problem"]

# Authentication scheme that a 401 names in its WWW-Authenticate header. Callers send
# the API key in a header of its own, not in Authorization.
AUTHENTICATION_SCHEME = "ApiKey"
_PHRASES = {status.value: status.phrase for status in HTTPStatus}
_BODILESS_STATUSES = frozenset({204, 304})
# Statuses from which callers conclude that the request did not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Sent instead of a status in NOT_RUN_STATUSES if an earlier attempt may have run.
UNKNOWN_STATUS = 502
# Sent instead of 502 or 504 if no attempt ran. From a 502 or 504, the caller would have
# to conclude that the request may have run. The caller could then not resend a
# non-idempotent request.
NOT_RUN_STATUS = 503
_AMBIGUOUS_STATUSES = frozenset({502, 504})


@lru_cache(maxsize=8)
def _replaced_headers(names: HeaderNames) -> frozenset[str]:
    # These headers of a backend server's response are dropped, because the fleet adds
    # its own. A backend server does not know the outcome that the outcome header
    # states. A second Content-Length header would allow response splitting.
    return HOP_BY_HOP_HEADERS | {
        "content-length",
        names.outcome.lower(),
        names.request_id.lower(),
    }


def encode_answer(
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
    request_id: str,
    keep_alive: bool,
    is_head: bool,
    names: HeaderNames = DEFAULT_HEADER_NAMES,
) -> bytes:
    """Encode a backend server's response to a caller, with the outcome `answered`."""
    replaced = _replaced_headers(names)
    lines = [
        f"{name}: {value}" for name, value in headers if name.lower() not in replaced
    ]
    return _encode(
        status, lines, body, Outcome.ANSWERED, request_id, keep_alive, is_head, names
    )


def encode_problem(
    reason: Reason,
    outcome: Outcome,
    request_id: str,
    keep_alive: bool,
    is_head: bool = False,
    detail: str | None = None,
    allow: tuple[str, ...] = (),
    retry_after_ms: float = 0.0,
    names: HeaderNames = DEFAULT_HEADER_NAMES,
    retry_after_decimals: int = 0,
) -> bytes:
    """Encode a response that the fleet itself generates: a JSON problem and headers.

    Parameters
    ----------
    detail : str, optional
        An additional sentence for the caller about this request.
    allow : tuple of str
        Methods that the request's target supports; empty unless the status is 405.
    retry_after_ms : float, default=0
        Time after which this caller may retry; 0 for the default time of `reason`.
    retry_after_decimals : int, default=0
        Decimal places of the seconds in the Retry-After header. The HTTP standard
        allows only 0 decimal places, so the JSON body also has the time in
        milliseconds.
    """
    problem = PROBLEMS[reason]
    status = problem.status
    if outcome is not Outcome.NOT_RUN and status in NOT_RUN_STATUSES:
        # The last attempt was refused, but an earlier attempt may have run. If the
        # caller got the refusal's status, it would retry, and the request could run
        # twice.
        status = UNKNOWN_STATUS
    if outcome is Outcome.NOT_RUN and status in _AMBIGUOUS_STATUSES:
        status = NOT_RUN_STATUS
    body = {
        "title": problem.title,
        "status": status,
        "outcome": outcome.value,
        "reason": reason.value,
        "request_id": request_id,
    }
    if detail is not None:
        body["detail"] = detail
    lines = ["Content-Type: application/problem+json"]
    if problem.retry_after_s is not None:
        retry_after_ms = retry_after_ms or problem.retry_after_s * 1000
        body["retry_after_ms"] = round(retry_after_ms)
        lines.append(f"Retry-After: {_seconds(retry_after_ms, retry_after_decimals)}")
    if allow:
        lines.append(f"Allow: {', '.join(allow)}")
    if status == HTTPStatus.UNAUTHORIZED:
        # RFC 9110, 15.5.2: a 401 response must name at least one authentication scheme.
        lines.append(f"WWW-Authenticate: {AUTHENTICATION_SCHEME}")
    return _encode(
        status,
        lines,
        msgspec.json.encode(body),
        outcome,
        request_id,
        keep_alive,
        is_head,
        names,
    )


def _seconds(duration_ms: float, decimals: int) -> str:
    """Format a duration in seconds, rounded up so that no caller retries early."""
    scale = 10**decimals
    return f"{math.ceil(duration_ms / 1000 * scale) / scale:.{decimals}f}"


def _encode(
    status, lines, body, outcome, request_id, keep_alive, is_head, names
) -> bytes:
    lines.insert(0, f"HTTP/1.1 {status} {_PHRASES.get(status, 'Unknown')}")
    lines.append(f"{names.outcome}: {outcome.value}")
    lines.append(f"{names.request_id}: {request_id}")
    has_body = not is_head and status not in _BODILESS_STATUSES
    if has_body:
        lines.append(f"Content-Length: {len(body)}")
    if not keep_alive:
        lines.append("Connection: close")
    lines.append("\r\n")
    head = "\r\n".join(lines).encode("latin-1")
    return head + body if has_body else head
