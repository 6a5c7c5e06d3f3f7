"""Input that no program of the product writes, for tests of all that decodes input."""

import base64
import json

from tests.utils import call

__all__ = ["ODD_BODIES", "ODD_NUMBERS", "ODD_PORTS", "put_raw_rows"]


def _nested(levels: int) -> bytes:
    return b"[" * levels + b"]" * levels


ODD_BODIES: dict[str, bytes] = {
    "empty": b"",
    "null": b"null",
    "true": b"true",
    "text": b'"text"',
    "list": b"[]",
    "object": b"{}",
    "no JSON": b"{oops",
    "not UTF-8": b'{"node_id": "\xff\xfe"}',
    "lone surrogate": b'{"node_id": "\\ud800"}',
    "surrogate bytes": b'"\xed\xa0\x80"',
    "byte order mark": b"\xef\xbb\xbf{}",
    "400 digits": b"9" * 400,
    "negative, 400 digits": b"-" + b"9" * 400,
    "5,000 digits": b"9" * 5000,
    "1e999": b"1e999",
    "NaN": b"NaN",
    "non-ASCII digits": '{"member_address": "10.0.0.1:٣"}'.encode(),
    "duplicate keys": b'{"node_id": "a", "node_id": 7}',
    "long text": b'"' + b"x" * 30_000 + b'"',
    "long name": b'{"' + b"x" * 30_000 + b'": 1}',
    "nested 65": _nested(65),
    # Near the interpreter's limit: decoded on a shallow stack, but not on a deep one.
    "nested 900": _nested(900),
    "nested 3,000": _nested(3000),
    "nested 20,000": _nested(20_000),
    "nested within a field": b'{"node_id": ' + _nested(20_000) + b"}",
    "nested within an unknown field": b'{"unknown": ' + _nested(20_000) + b"}",
}
# JSON of numbers that no field has a use for.
ODD_NUMBERS = ("-1", "1e5", "1.5", "1e999", "NaN", "9" * 400, str(10**30), str(2**64))
ODD_PORTS = ("", "0", "-1", "1e5", "65536", "99999", "٣", "8080\n", " 80")


def put_raw_rows(store: str, rows: dict[tuple[str, str], bytes]) -> None:
    """Write rows, by table and key, whose values are any bytes."""
    upserts = [
        {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
        }
        for (table, key), value in rows.items()
    ]
    for first in range(0, len(upserts), 100):
        body = json.dumps({"upserts": upserts[first : first + 100]}).encode()
        answer = call(store, "/rows-tx", "POST", body)
        assert answer.status == 200, answer
