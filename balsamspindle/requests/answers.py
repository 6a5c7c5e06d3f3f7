"""Answers to callers, as bytes."""

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
    retry_after_s: int | None = None,
) -> bytes:
    """Return an answer of our own: a JSON problem and its headers.

    Parameters
    ----------
    detail : str, optional
        One more sentence on this request.
    allow : tuple of str
        Methods that the target takes, for a 405.
    retry_after_s : int, optional
        When coming back helps; the reason's own time when None.
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
    retry_after_s = problem.retry_after_s if retry_after_s is None else retry_after_s
    if retry_after_s is not None:
        lines.append(f"Retry-After: {retry_after_s}")
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
