"""Callers' connections: one task each, from accept to close."""

import json
import socket
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor

from balsamspindle.requests.forwarding import ForwardedRequest, Forwarder
from balsamspindle.requests.http import BadRequest, CallerRequest, HttpConnection
from balsamspindle.requests.outcomes import PROBLEMS, Outcome, Reason
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.settings.process import NodeSettings
from balsamspindle.settings.tree import CurrentConfiguration
from balsamspindle.timeline import EventLog, submit_logged
from balsamspindle.wire import Reply

__all__ = [
    "IDEMPOTENCY_KEY_HEADER",
    "OUTCOME_HEADER",
    "REQUEST_ID_HEADER",
    "TIMEOUT_HEADER",
    "Ingress",
]

OUTCOME_HEADER = "X-Balsamspindle-Outcome"
REQUEST_ID_HEADER = "X-Request-Id"
TIMEOUT_HEADER = "X-Request-Timeout-Ms"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
ACCEPT_POLL_S = 0.2
BACKLOG = 512


class Ingress:
    """Takes callers' requests and gives each its one answer."""

    def __init__(
        self,
        settings: NodeSettings,
        configuration: CurrentConfiguration,
        forwarder: Forwarder,
        executor: ThreadPoolExecutor,
        events: EventLog,
    ) -> None:
        self._settings = settings
        self._configuration = configuration
        self._forwarder = forwarder
        self._executor = executor
        self._events = events
        self._stopped = threading.Event()
        self._open = threading.Semaphore(settings.connections_max)
        self._in_flight = 0
        self._in_flight_lock = threading.Lock()
        host, _, port = settings.caller_address.partition(":")
        self._listener = socket.create_server((host, int(port)), backlog=BACKLOG)
        self._listener.settimeout(ACCEPT_POLL_S)

    def run(self) -> None:
        """Accept connections until `stop` is called."""
        while not self._stopped.is_set():
            try:
                connection, _ = self._listener.accept()
            except TimeoutError:
                continue
            if self._open.acquire(blocking=False):
                submit_logged(self._executor, self._events, self._serve, connection)
            else:
                self._turn_away(connection)
        self._listener.close()

    def stop(self) -> None:
        """Accept no more connections; open ones end after their request."""
        self._stopped.set()

    def in_flight(self) -> int:
        """Return the requests that wait for their answer."""
        with self._in_flight_lock:
            return self._in_flight

    def _count(self, change: int) -> None:
        with self._in_flight_lock:
            self._in_flight += change

    def _turn_away(self, connection: socket.socket) -> None:
        with connection:
            caller = HttpConnection(connection, 0)
            self._answer_problem(
                caller, "-", Reason.TOO_MANY_CONNECTIONS, Outcome.NOT_RUN, False
            )

    def _serve(self, connection: socket.socket) -> None:
        """Serve one connection to its end."""
        try:
            with connection:
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                connection.settimeout(self._settings.connection_idle_timeout_s)
                caller = HttpConnection(
                    connection, self._settings.request_body_max_bytes
                )
                self._serve_requests(caller)
        except OSError:
            # The caller went away or stayed silent; no request waits.
            pass
        finally:
            self._open.release()

    def _serve_requests(self, caller: HttpConnection) -> None:
        while True:
            try:
                request = caller.read_request()
            except BadRequest as error:
                self._answer_problem(
                    caller, "-", error.reason, Outcome.NOT_RUN, keep_alive=False
                )
                return
            if request is None:
                return
            keep_alive = request.keep_alive and not self._stopped.is_set()
            self._count(1)
            try:
                self._serve_request(caller, request, keep_alive)
            finally:
                self._count(-1)
            if not keep_alive:
                return

    def _serve_request(self, caller, request: CallerRequest, keep_alive: bool):
        received_s = time.monotonic()
        request_id = request.header("x-request-id") or uuid.uuid4().hex
        self._events.emit(
            "request_received",
            request=request_id,
            method=request.method,
            path=request.path,
        )
        match self._find_route(request):
            case Reason() as reason:
                self._answer_problem(
                    caller, request_id, reason, Outcome.NOT_RUN, keep_alive
                )
            case RouteDocument() as route:
                forwarded = ForwardedRequest(
                    request_id,
                    caller,
                    request,
                    route,
                    received_s + _timeout_ms(request, route) / 1000,
                    request.header("idempotency-key"),
                )
                reply = self._forwarder.forward(forwarded)
                self._answer(caller, request, request_id, reply, keep_alive)

    def _find_route(self, request: CallerRequest) -> RouteDocument | Reason:
        configuration = self._configuration.get()
        if configuration is None:
            return Reason.NO_SETTINGS
        return configuration.routes.find(
            request.header("host") or "", request.path, request.method
        )

    def _answer(self, caller, request, request_id, reply: Reply, keep_alive):
        self._events.emit(
            "request_ended",
            request=request_id,
            outcome=reply.outcome,
            cause=reply.reason,
            status=reply.status,
        )
        if reply.outcome is not Outcome.ANSWERED:
            self._answer_problem(
                caller, request_id, reply.reason, reply.outcome, keep_alive
            )
            return
        headers = [
            *reply.headers,
            (OUTCOME_HEADER, Outcome.ANSWERED.value),
            (REQUEST_ID_HEADER, request_id),
        ]
        caller.write_answer(
            reply.status, headers, reply.body, keep_alive, request.method == "HEAD"
        )

    def _answer_problem(self, caller, request_id, reason, outcome, keep_alive):
        problem = PROBLEMS[reason]
        body = {
            "title": problem.sentence,
            "status": problem.status,
            "outcome": outcome.value,
            "reason": reason.value,
            "request_id": request_id,
        }
        headers = [
            ("Content-Type", "application/problem+json"),
            (OUTCOME_HEADER, outcome.value),
            (REQUEST_ID_HEADER, request_id),
        ]
        if problem.retry_after_s is not None:
            headers.append(("Retry-After", str(problem.retry_after_s)))
        caller.write_answer(
            problem.status, headers, json.dumps(body).encode(), keep_alive
        )


def _timeout_ms(request: CallerRequest, route: RouteDocument) -> float:
    """Return the shorter of the caller's and the route's time."""
    try:
        asked_ms = float(request.header(TIMEOUT_HEADER.lower()) or route.timeout_ms)
    except ValueError:
        return route.timeout_ms
    return min(route.timeout_ms, asked_ms) if asked_ms > 0 else route.timeout_ms
