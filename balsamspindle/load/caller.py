"""HTTP caller that sends requests and verifies their answers."""

import io
import threading
import time
from typing import Any, NamedTuple

import pycurl

from balsamspindle.load.schedule import ScheduledCall
from balsamspindle.protocol.answer_heads import AnswerHead
from balsamspindle.protocol.decoding import InputError, decode_json
from balsamspindle.protocol.header_names import DEFAULT_HEADER_NAMES
from balsamspindle.protocol.outcomes import Execution, Outcome

__all__ = [
    "NO_ANSWER",
    "NOT_CONNECTED",
    "Caller",
    "CallEnd",
    "answer_fault",
    "call_body",
]

# Outcomes of requests whose answer is missing or has no outcome header. `NOT_CONNECTED`
# means that no connection could be opened, so nothing was sent. In all other cases, the
# outcome is `NO_ANSWER`.
NO_ANSWER = "no_answer"
NOT_CONNECTED = "not_connected"
CONNECT_TIMEOUT_MS = 1000


class CallEnd(NamedTuple):
    """End of a request as seen by the caller.

    Attributes
    ----------
    outcome : str
        Outcome in the header of the answer, else `NO_ANSWER` or `NOT_CONNECTED`.
    status : int
        HTTP status; 0 without an answer.
    fault : str or None
        What is wrong with an answer of status 200; None if it is complete and belongs
        to the request.
    """

    outcome: str
    status: int
    latency_s: float
    fault: str | None = None


def call_body(call: ScheduledCall) -> bytes:
    """Return the body of a request: its run key, repeated to the planned length."""
    length = call.arrival.body_bytes
    nonce = call.run_key.encode()
    return (nonce * (length // len(nonce) + 1))[:length]


class Caller:
    """Sends requests; thread-safe, as each thread has its own curl handles.

    Parameters
    ----------
    nodes : dict of str to str
        Node to its caller address.
    """

    def __init__(self, nodes: dict[str, str]) -> None:
        self._nodes = nodes
        self._handles = threading.local()

    def call(self, call: ScheduledCall) -> CallEnd:
        """Send a request and wait for its answer, at most for its timeout."""
        handle = self._handle(call.arrival.execution)
        body, head = io.BytesIO(), AnswerHead()
        target = f"{call.arrival.target}?nonce={call.run_key}"
        self._configure(handle, call, target)
        handle.setopt(pycurl.WRITEDATA, body)
        handle.setopt(pycurl.HEADERFUNCTION, head.on_line)
        started_s = time.monotonic()
        try:
            handle.perform()
        except pycurl.error as error:
            # Only a failed connect proves that nothing was sent. A timeout without a
            # connect time does not: libcurl also reports no connect time for a reused
            # connection, and the request may have been sent on that connection.
            connect_failed = error.args[0] == pycurl.E_COULDNT_CONNECT
            outcome = NOT_CONNECTED if connect_failed else NO_ANSWER
            return CallEnd(outcome, 0, time.monotonic() - started_s)
        latency_s = time.monotonic() - started_s
        if not head.is_complete:
            return CallEnd(NO_ANSWER, 0, latency_s)
        status = handle.getinfo(pycurl.RESPONSE_CODE)
        outcome = head.value(DEFAULT_HEADER_NAMES.outcome) or NO_ANSWER
        fault = None
        if outcome == Outcome.ANSWERED and status == 200:
            fault = answer_fault(call, target, body.getvalue())
        return CallEnd(outcome, status, latency_s, fault)

    def _handle(self, execution: Execution) -> pycurl.Curl:
        handle = getattr(self._handles, execution.value, None)
        if handle is None:
            handle = pycurl.Curl()
            handle.setopt(pycurl.NOSIGNAL, 1)
            handle.setopt(pycurl.TCP_NODELAY, 1)
            handle.setopt(pycurl.PROXY, "")
            handle.setopt(pycurl.CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS)
            if execution is Execution.NON_IDEMPOTENT:
                # Open a new connection for each non-idempotent request. If a reused
                # connection turns out to be closed, libcurl resends the request. The
                # fleet could then run the request twice, and the audit would report
                # the second run as a fault of the fleet.
                handle.setopt(pycurl.FRESH_CONNECT, 1)
                handle.setopt(pycurl.FORBID_REUSE, 1)
            setattr(self._handles, execution.value, handle)
        return handle

    def _configure(self, handle: pycurl.Curl, call: ScheduledCall, target: str) -> None:
        arrival = call.arrival
        body = call_body(call)
        headers = [f"X-Run-Key: {call.run_key}", "Expect:", "Content-Type: text/plain"]
        if arrival.host is not None:
            headers.append(f"Host: {arrival.host}")
        handle.setopt(pycurl.URL, f"http://{self._nodes[call.node]}{target}")
        handle.setopt(pycurl.TIMEOUT_MS, int(arrival.timeout_ms))
        handle.setopt(pycurl.HTTPHEADER, headers)
        if body:
            handle.setopt(pycurl.POST, 1)
            handle.setopt(pycurl.POSTFIELDSIZE, len(body))
            handle.setopt(pycurl.COPYPOSTFIELDS, body)
        else:
            handle.setopt(pycurl.HTTPGET, 1)
        handle.setopt(pycurl.CUSTOMREQUEST, arrival.method)


def answer_fault(call: ScheduledCall, target: str, body: bytes) -> str | None:
    """Return what is wrong with a stand-in's answer; None if it is correct.

    A correct answer repeats values of its request. The returned text is ``fragment`` if
    the answer is no JSON object. Otherwise it lists the names of the values that differ
    from those of the request.

    Parameters
    ----------
    target : str
        Path and query of the request.
    """
    try:
        answer = decode_json(body, dict[str, Any])
    except InputError:
        return "fragment"
    expected = {
        "run_key": call.run_key,
        "target": target,
        "body_length": call.arrival.body_bytes,
        "body": call_body(call).decode(),
    }
    wrong = [name for name, value in expected.items() if answer.get(name) != value]
    return f"differs from the request: {', '.join(wrong)}" if wrong else None
