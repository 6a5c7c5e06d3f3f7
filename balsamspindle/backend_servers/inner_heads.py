"""Finds an answer within the body of another answer.

The body of an answer without a length ends where the connection ends. If the backend
server sends an earlier answer again before that, the copy is a part of the body. A body
with a length that is cut is filled up with the bytes of such a copy.
"""

import re
from collections.abc import Callable
from functools import lru_cache

__all__ = ["inner_id"]

# Longest part of a head that is searched for its status line.
HEAD_MAX_BYTES = 16_384
# Lines with an id that are looked at. A body with more of them takes too long to
# search, and is no usual document.
LINES_MAX = 100
_STATUS_START = b"HTTP/1."
_search_status = re.compile(rb"HTTP/1\.[01] [0-9]{3}").search
_find_blank_lines = re.compile(rb"\r?\n\r?\n").finditer


def inner_id(body: bytes, id_name: str, was_sent: Callable[[str], bool]) -> str | None:
    """Return the request id of a head within a body; None if there is none.

    Parameters
    ----------
    id_name : str
        Name of the header that repeats the id.
    was_sent : callable
        Returns whether an id is of interest.
    """
    if _STATUS_START not in body:
        return None
    count = 0
    for line in _id_pattern(id_name).finditer(body):
        request_id = line[1].decode("latin-1")
        if not was_sent(request_id):
            continue
        count += 1
        if count > LINES_MAX or _is_in_head(body, line.start()):
            return request_id
    return None


def _is_in_head(body: bytes, position: int) -> bool:
    before = body[max(0, position - HEAD_MAX_BYTES) : position]
    starts = [blank.end() for blank in _find_blank_lines(before)]
    return _search_status(before[starts[-1] if starts else 0 :]) is not None


@lru_cache(maxsize=8)
def _id_pattern(id_name: str) -> re.Pattern[bytes]:
    name = re.escape(id_name.encode("latin-1"))
    return re.compile(rb"\n(?i:%b):[ \t]*([!-~]{1,128})" % name)
