"""Processor time to serve a caller's request with three HTTP implementations.

Each implementation reads requests from one end of a socket pair and writes the answers
to it, in one thread and without a backend server. All requests use one connection.

- ``connection``: `balsamspindle.requests.http.HttpConnection`;
- ``ingress``: `HttpConnection` with the route look-up, events and headers of an
  ingress, and a forwarder that answers immediately;
- ``werkzeug``: werkzeug's request handler with a small WSGI application.

Each figure includes the time in which the caller sends the request and receives the
answer. The bench also sends a request with a body of 1 MB that the ingress refuses
because of its head. It counts the bytes of the body that are sent before the refusal.

::

    python -m bench.caller_heads
    python -m bench.caller_heads --json
"""

import json
import socket
import time
from collections.abc import Callable
from types import SimpleNamespace

import typer
from werkzeug.serving import WSGIRequestHandler
from werkzeug.wrappers import Request, Response

from balsamspindle.customers import Refused
from balsamspindle.protocol import Outcome
from balsamspindle.requests.answers import encode_answer
from balsamspindle.requests.http import HttpConnection, HttpLimits
from balsamspindle.wire import AttemptId, Reply
from bench.paced_calls import Target, encode_request
from tests.caller_side import IngressFixture

__all__ = ["main"]

BODY = b'{"server": "contract-1", "status": "signed", "contract": 7}'
HEADERS = [("Content-Type", "application/json"), ("Server", "backend")]
REQUEST = encode_request(Target("127.0.0.1:8080", "/contracts/7?full=1"))
ROUNDS = 3
RECEIVE_BYTES = 64 * 1024
LARGE_BODY_BYTES = 1_000_000


class NonLoggingHandler(WSGIRequestHandler):
    """Request handler of werkzeug that uses HTTP/1.1 and logs no requests."""

    protocol_version = "HTTP/1.1"

    def log_request(self, *_):
        """Do nothing: writing log lines would add to the measured time."""


@Request.application
def application(request: Request) -> Response:
    """Read the same parts of a request as an ingress, and return an answer."""
    request.get_data()
    _ = request.host, request.path, request.method, list(request.headers)
    return Response(BODY, headers=HEADERS)


def serve_connection(connection: socket.socket) -> Callable[[], None]:
    """Return a function that serves one request with `HttpConnection`."""
    caller = HttpConnection(connection, HttpLimits())

    def serve() -> None:
        caller.wait_for_request()
        request = caller.read_request()
        caller.write(
            encode_answer(200, HEADERS, BODY, "-", request.keep_alive, is_head=False)
        )

    return serve


def serve_werkzeug(connection: socket.socket) -> Callable[[], None]:
    """Return a function that serves one request with werkzeug's handler."""
    server = SimpleNamespace(
        app=application,
        server_address=("127.0.0.1", 8080),
        multithread=True,
        multiprocess=False,
        ssl_context=None,
        passthrough_errors=True,
        shutdown_signal=False,
    )
    handler = NonLoggingHandler.__new__(NonLoggingHandler)
    handler.request, handler.server = connection, server
    handler.client_address = ("127.0.0.1", 1)
    handler.setup()
    handler.close_connection = False
    return handler.handle_one_request


def cpu_us(serve: Callable[[], None], caller: socket.socket, count: int) -> float:
    """Return the processor time per request in microseconds.

    Sends `count` requests in each of `ROUNDS` rounds. The result is the mean of the
    fastest round.
    """
    request_us = []
    for _ in range(ROUNDS):
        before_s = time.thread_time()
        for _ in range(count):
            caller.sendall(REQUEST)
            serve()
            answer = caller.recv(RECEIVE_BYTES)
            while not answer.endswith(BODY):
                answer += caller.recv(RECEIVE_BYTES)
        request_us.append((time.thread_time() - before_s) / count * 1_000_000)
    return min(request_us)


def measure_ingress(count: int) -> float:
    """Return the processor time per request with an ingress, in microseconds.

    Calls a private method of the ingress, because it serves the request in the calling
    thread: `cpu_us` measures the processor time of this thread only.
    """
    fixture = IngressFixture()
    caller, served = socket.socketpair()
    try:
        fixture.forwarder.forward = _answer_immediately
        connection = HttpConnection(served, HttpLimits())

        def serve() -> None:
            connection.wait_for_request()
            request = connection.read_request()
            fixture.ingress._serve_request(connection, request)

        request_us = cpu_us(serve, caller, count)
    finally:
        fixture.close()
        caller.close()
        served.close()
    return request_us


def refused_body_bytes() -> int:
    """Return the bytes of a body that are sent before the ingress refuses the request.

    The ingress can refuse the request because of its head: no route matches.
    """
    fixture = IngressFixture()
    caller, served = socket.socketpair()
    with caller, served:
        try:
            connection = HttpConnection(served, HttpLimits())
            head = b"POST /nowhere HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
            caller.sendall(head % LARGE_BODY_BYTES)
            sent = 0
            connection.wait_for_request()
            request, admission = fixture.ingress._read(connection)
            while not isinstance(admission, Refused):
                sent += caller.send(bytes(RECEIVE_BYTES))
                request, admission = fixture.ingress._read(connection)
            fixture.ingress._serve_request(connection, request, admission)
            assert b" 404 " in caller.recv(RECEIVE_BYTES)
        finally:
            fixture.close()
    return sent


def _answer_immediately(forwarded):
    return Reply(
        AttemptId("bench", 1, 1),
        Outcome.ANSWERED,
        status=200,
        headers=HEADERS,
        body=BODY,
    )


def measure(count: int) -> dict[str, float]:
    """Return the processor time per request in microseconds, by implementation."""
    figures = {}
    for name, make_serve in (
        ("connection", serve_connection),
        ("werkzeug", serve_werkzeug),
    ):
        caller, served = socket.socketpair()
        with caller, served:
            figures[name] = round(cpu_us(make_serve(served), caller, count), 1)
    figures["ingress"] = round(measure_ingress(count), 1)
    return figures


def main(
    count: int = typer.Option(200, help="Requests in each of three rounds."),
    as_json: bool = typer.Option(False, "--json", help="Print JSON."),
) -> None:
    """Measure the processor time to serve a request, and compare it with werkzeug."""
    figures = measure(count)
    if as_json:
        print(json.dumps(figures))
        return
    for name, request_us in figures.items():
        print(f"{name:12} {request_us:7.1f} us of processor time per request")
    print(
        f"refused because of its head: {refused_body_bytes()} of"
        f" {LARGE_BODY_BYTES} bytes of the body sent"
    )


if __name__ == "__main__":
    typer.run(main)
