"""Validates the heads of callers' requests and sorts their headers.

The HTTP parser, llhttp, rejects requests with errors in their framing: two lengths, a
length together with a transfer coding, invalid chunks, control characters. This module
also rejects requests that llhttp accepts but that two HTTP implementations could
interpret differently.
"""

import re
from functools import lru_cache
from typing import NamedTuple

from balsamspindle.protocol.api_keys import key_digest
from balsamspindle.protocol.connection_headers import (
    HOP_BY_HOP_HEADERS,
    connection_options,
)
from balsamspindle.protocol.field_values import field_value
from balsamspindle.protocol.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from balsamspindle.protocol.outcomes import Reason

__all__ = [
    "HEADERS_MAX",
    "IDEMPOTENCY_KEY_HEADER",
    "IDEMPOTENCY_KEY_MAX_CHARACTERS",
    "BadRequest",
    "RequestHead",
    "read_head",
]

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
IDEMPOTENCY_KEY_MAX_CHARACTERS = 255

HEADERS_MAX = 100

# Headers that determine where a request is routed, at which byte its body ends, or how
# often the request runs. If a request has one of these headers twice, two
# implementations may each use a different value.
_SINGLE_HEADERS = frozenset(
    {
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "transfer-encoding",
    }
)
_VERSIONS = ("1.1", "1.0")

_is_host = re.compile(r"(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9._-]*)(:[0-9]{1,5})?").fullmatch
_is_target = re.compile(r"/[!\"$-~]*").fullmatch
_match_absolute_target = re.compile(r"https?://([^/?]*)(.*)", re.IGNORECASE).fullmatch
# Finds '.' and '..' segments. The route of a request is selected by the path's prefix
# and determines whether the request may run twice. For "/read/../sign", the route of
# "/read" would be selected, but a backend server that resolves the path runs "/sign".
_has_dot_segment = re.compile(
    r"/(\.|%2e){1,2}(?=[/\\?]|%2f|%5c|$)", re.IGNORECASE
).search
_is_idempotency_key = re.compile(
    rf"[!-~]{{1,{IDEMPOTENCY_KEY_MAX_CHARACTERS}}}"
).fullmatch


class BadRequest(Exception):
    """Raised to reject a request; the caller gets an error and is disconnected."""

    def __init__(self, reason: Reason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


class RequestHead(NamedTuple):
    """The head of a valid request.

    Attributes
    ----------
    target : str
        Path and query.
    host : str
        Host header; empty when an HTTP/1.0 caller sent none.
    headers : list of tuple of str
        Headers that are forwarded to the backend server.
    control_headers : dict of str to str
        Headers that the proxy itself reads, by lower-case name.
    key_digest : str or None
        Digest of the customer's key; None if the request has no key header, empty if
        the header's value can't be a key. The key itself is not stored.
    """

    method: str
    target: str
    host: str
    headers: list[tuple[str, str]]
    control_headers: dict[str, str]
    key_digest: str | None = None


class _HeaderRules(NamedTuple):
    """Lower-case names of the headers that a deployment treats specially.

    Attributes
    ----------
    single : frozenset of str
        Headers that may be given only once.
    control_headers : frozenset of str
        Headers that the proxy itself reads.
    removed : frozenset of str
        Headers that are removed before the request is forwarded.
    """

    single: frozenset[str]
    control_headers: frozenset[str]
    removed: frozenset[str]


@lru_cache(maxsize=8)
def _header_rules(names: HeaderNames) -> _HeaderRules:
    single = _SINGLE_HEADERS | {names.timeout_ms.lower(), names.api_key.lower()}
    # The fleet's own headers are removed from callers' requests. Otherwise a caller
    # could choose the backend server or impersonate another service.
    own = {
        name.lower()
        for name in (
            names.request_id,
            names.timeout_ms,
            names.outcome,
            names.expected_backend_server,
            names.caller_service,
            names.api_key,
            names.customer,
        )
    }
    return _HeaderRules(
        single,
        single | {"connection", names.request_id.lower()},
        HOP_BY_HOP_HEADERS | {"content-length", "expect"} | own,
    )


def read_head(
    method: str,
    target: str,
    version: str,
    raw_headers: list[tuple[bytes, bytes]],
    names: HeaderNames = DEFAULT_HEADER_NAMES,
) -> RequestHead:
    """Check the head of a request, and sort its headers as `RequestHead` describes.

    Raises
    ------
    BadRequest
        If the head is invalid or uses a feature that is not supported.
    """
    if version not in _VERSIONS:
        raise BadRequest(
            Reason.HTTP_VERSION, "Only HTTP/1.0 and HTTP/1.1 are taken here."
        )
    headers, control_headers = _sort_headers(raw_headers, _header_rules(names))
    _check_framing(version, control_headers)
    host = _check_host(version, control_headers)
    key = control_headers.get("idempotency-key")
    if key is not None and not _is_idempotency_key(key):
        raise BadRequest(
            Reason.BAD_REQUEST,
            f"{IDEMPOTENCY_KEY_HEADER} must have 1 to "
            f"{IDEMPOTENCY_KEY_MAX_CHARACTERS} visible ASCII characters.",
        )
    digest = _key_digest_or_empty(control_headers.pop(names.api_key.lower(), None))
    return RequestHead(
        method, _check_target(target, host), host, headers, control_headers, digest
    )


def _key_digest_or_empty(key: str | None) -> str | None:
    if key is None:
        return None
    try:
        return key_digest(key)
    except ValueError:
        return ""


def _sort_headers(
    raw_headers, rules: _HeaderRules
) -> tuple[list[tuple[str, str]], dict[str, str]]:
    headers: list[tuple[str, str]] = []
    control_headers: dict[str, str] = {}
    for raw_name, raw_value in raw_headers:
        name = raw_name.decode("latin-1")
        value = field_value(raw_value)
        lower = name.lower()
        if lower in rules.control_headers:
            _add_control_header(lower, value, control_headers, rules.single)
        # A header is also removed if its name differs from a removed header's name only
        # by "_" in place of "-". Some frameworks treat "_" and "-" alike and would read
        # it as a header of the fleet.
        if lower.replace("_", "-") not in rules.removed:
            headers.append((name, value))
    if "connection" in control_headers:
        named = connection_options(control_headers["connection"]) - {"host"}
        headers = [pair for pair in headers if pair[0].lower() not in named]
    return headers, control_headers


def _add_control_header(
    name: str, value: str, control_headers: dict[str, str], single: frozenset[str]
) -> None:
    if name not in control_headers:
        control_headers[name] = value
    elif name in single:
        raise BadRequest(
            Reason.BAD_REQUEST, f"The header {name} may be given only once."
        )
    else:
        control_headers[name] += f",{value}"


def _check_framing(version: str, control_headers: dict[str, str]) -> None:
    coding = control_headers.get("transfer-encoding")
    if coding is not None and (coding.lower() != "chunked" or version != "1.1"):
        # A recipient that ignores or does not know the transfer coding would place the
        # end of the body at another byte than this node does.
        raise BadRequest(
            Reason.BAD_REQUEST,
            "The only transfer coding taken is chunked, with HTTP/1.1.",
        )
    expected = control_headers.get("expect")
    if expected is not None and expected.lower() != "100-continue":
        raise BadRequest(
            Reason.EXPECTATION, "The only expectation taken is 100-continue."
        )


def _check_host(version: str, control_headers: dict[str, str]) -> str:
    host = control_headers.get("host")
    if host is None and version == "1.0":
        return ""
    if host is None or not _is_host(host):
        raise BadRequest(
            Reason.BAD_REQUEST, "The request needs one Host header with a valid name."
        )
    return host


def _check_target(target: str, host: str) -> str:
    if not target.startswith("/"):
        target = _origin_form(target, host)
    if not _is_target(target):
        raise BadRequest(
            Reason.BAD_REQUEST,
            "The request target must be a path of visible ASCII characters.",
        )
    path = target.partition("?")[0]
    if "." in path or "%" in path:
        _check_segments(path)
    return target


def _origin_form(target: str, host: str) -> str:
    found = _match_absolute_target(target)
    if found is None:
        raise BadRequest(
            Reason.BAD_REQUEST, "The request target must start with a slash."
        )
    if found[1].lower() != host.lower():
        raise BadRequest(
            Reason.BAD_REQUEST, "The request target and the Host header differ."
        )
    return found[2] if found[2].startswith("/") else f"/{found[2]}"


def _check_segments(path: str) -> None:
    if _has_dot_segment(path):
        raise BadRequest(
            Reason.BAD_REQUEST, "The path must not have the segments '.' or '..'."
        )
