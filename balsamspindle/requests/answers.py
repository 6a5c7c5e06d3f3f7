"""Answers to callers, as bytes."""

import math
from http import HTTPStatus

import msgspec

from balsamspindle.requests.heads import (
    HOP_BY_HOP_HEADERS,
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
)
from balsamspindle.requests.outcomes import PROBLEMS, Outcome, Reason

__all__ = ["encode_answer", "encode_problem"]

_PHRASES = {status.value: status.phrase for status in HTTPStatus}
_BODILESS_STATUSES = frozenset({204, 304})
# A backend server that says "answered" or "not run" of itself would have the
# fleet's word on what it can't know; two lengths would split the answer.
_OWN_HEADERS = HOP_BY_HOP_HEADERS | {
    "content-length",
    OUTCOME_HEADER.lower(),
    REQUEST_ID_HEADER.lower(),
}


def encode_answer(
    status: int,
    headers: list[tuple[str, str]],
    body: bytes,
    request_id: str,
    keep_alive: bool,
    is_head: bool,
) -> bytes:
    """Return a backend server's answer, marked as answered."""
    lines = [
        f"{name}: {value}"
        for name, value in headers
        if name.lower() not in _OWN_HEADERS
    ]
    return _encode(
        status, lines, body, Outcome.ANSWERED, request_id, keep_alive, is_head
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
) -> bytes:
    """Return an answer of our own: a JSON problem and its headers.

    Parameters
    ----------
    detail : str, optional
        One more sentence on this request.
    allow : tuple of str
        Methods that the target takes, for a 405.
    retry_after_ms : float, default=0
        When this caller may come back; the reason's own time when 0. The
        header has whole seconds only, so the body tells it, too.
    """
    problem = PROBLEMS[reason]
    body = {
        "title": problem.sentence,
        "status": problem.status,
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
        lines.append(f"Retry-After: {math.ceil(retry_after_ms / 1000)}")
    if allow:
        lines.append(f"Allow: {', '.join(allow)}")
    return _encode(
        problem.status,
        lines,
        msgspec.json.encode(body),
        outcome,
        request_id,
        keep_alive,
        is_head,
    )


def _encode(status, lines, body, outcome, request_id, keep_alive, is_head) -> bytes:
    lines.insert(0, f"HTTP/1.1 {status} {_PHRASES.get(status, 'Unknown')}")
    lines.append(f"{OUTCOME_HEADER}: {outcome.value}")
    lines.append(f"{REQUEST_ID_HEADER}: {request_id}")
    has_body = not is_head and status not in _BODILESS_STATUSES
    if has_body:
        lines.append(f"Content-Length: {len(body)}")
    if not keep_alive:
        lines.append("Connection: close")
    lines.append("\r\n")
    head = "\r\n".join(lines).encode("latin-1")
    return head + body if has_body else head
