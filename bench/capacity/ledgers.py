"""Fills a node's tables of keys, attempts and events to their largest expected size.

`bench.capacity.memory` measures the memory of these tables.
"""

from typing import NamedTuple

from balsamspindle.backend_servers.attempts import AttemptTable
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.ledger import KEYS_MAX, RunLedger
from balsamspindle.protocol.outcomes import Execution, Outcome
from balsamspindle.timeline.recent import (
    CONTROL_EVENTS_MAX,
    REQUEST_EVENTS_MAX,
    RecentEvents,
)
from balsamspindle.wire import AttemptId, Claim, Dispatch, Reply
from bench.capacity.sizes import LIMITS

__all__ = ["Ledgers", "fill_ledgers"]

ANSWER = b'{"signed": "' + b"x" * 290 + b'"}'
# Time for which a gate stores an attempt: the default time-out of a route (2 s), then
# `ATTEMPT_RETENTION_S` (5 s).
ATTEMPT_LIFE_S = 2.0 + 5.0
EVENT_PADDING = "x" * 200


class Ledgers(NamedTuple):
    """Idempotency keys and attempts of a gate, and the recent events of a node."""

    keys: RunLedger
    attempts: AttemptTable
    events: RecentEvents


def fill_ledgers() -> Ledgers:
    """Return tables of keys and events filled to their bounds, and a table of attempts.

    The number of attempts is that of `ATTEMPT_LIFE_S` at the request rate
    `LIMITS.requests_per_s_per_node`.
    """
    return Ledgers(_fill_keys(), _fill_attempts(), _fill_events())


def _fill_keys() -> RunLedger:
    ledger = RunLedger("node-00-00000", 1)
    for number in range(KEYS_MAX):
        dispatch = _make_dispatch(number)
        assert ledger.begin(dispatch, now_s=1.0) is None
        reply = Reply(
            dispatch.attempt_id, Outcome.ANSWERED, status=200, body=_copy_body()
        )
        ledger.end(dispatch, reply, now_s=1.0)
    return ledger


def _fill_attempts() -> AttemptTable:
    table = AttemptTable()
    for number in range(int(ATTEMPT_LIFE_S * LIMITS.requests_per_s_per_node)):
        table.begin(_make_attempt_id(number), CancelToken(), 10.0, now_s=1.0)
    return table


def _fill_events() -> RecentEvents:
    events = RecentEvents()
    for number in range(CONTROL_EVENTS_MAX + REQUEST_EVENTS_MAX):
        events.add(f"{number} {EVENT_PADDING}", number >= CONTROL_EVENTS_MAX)
    return events


def _make_attempt_id(number: int) -> AttemptId:
    return AttemptId(f"node-{number % 23:02d}-{number:05d}", 1, number)


def _copy_body() -> bytes:
    return bytes(bytearray(ANSWER))


def _make_dispatch(number: int) -> Dispatch:
    return Dispatch(
        attempt_id=_make_attempt_id(number),
        request_id=f"{number:032x}",
        service=f"team-{number % 25:03d}/service-{number % 25:04d}",
        backend_server_id="server-00000-00",
        execution=Execution.NON_IDEMPOTENT,
        remaining_ms=2000.0,
        weight=1.0,
        method="POST",
        target=f"/contracts/{number}/sign",
        headers=[],
        body=b"",
        body_checksum=number,
        idempotency_key=f"key-{number:032x}",
        claim=Claim("node-00-00000", 1, 1, 0.0),
    )
