"""Callers' connections: one task each, from accept to close."""

import json
import select
import socket
import threading
import time
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from balsamspindle.requests.closing import close_listener, close_politely
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
START_WAIT_S = 2.0
START_POLL_S = 0.02
# Time for the first request of a connection that was open when the node left.
FIRST_REQUEST_S = 1.0


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
        self._leaving = threading.Event()
        self._stopped = threading.Event()
        self._accepting = threading.Event()
        self._listener_closed = threading.Event()
        # Its end of stream, at the closing of the listener, wakes the tasks
        # of all idle connections.
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._open = threading.Semaphore(settings.connections_max)
        self._connections: set[socket.socket] = set()
        self._connections_lock = threading.Lock()
        host, _, port = settings.caller_address.partition(":")
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, int(port)))
        self._listener.settimeout(ACCEPT_POLL_S)

    def run(self, ready: Callable[[], bool] = lambda: True) -> None:
        """Accept connections until `stop` is called.

        Parameters
        ----------
        ready : callable, default=always
            Until it returns True connections are refused, for a bounded time.
            A node that has just started knows no backend servers yet: its
            callers would be told so while all others could serve them.
        """
        give_up_s = time.monotonic() + START_WAIT_S
        while not (ready() or time.monotonic() >= give_up_s or self._stopped.is_set()):
            time.sleep(START_POLL_S)
        self._listener.listen(BACKLOG)
        self._accepting.set()
        while not self._stopped.is_set():
            try:
                connection, _ = self._listener.accept()
            except TimeoutError:
                continue
            self._take(connection)
        close_listener(self._listener, self._take)
        self._wake_writer.close()
        self._listener_closed.set()

    def leave(self) -> None:
        """Tell callers, with each answer, to use another connection."""
        self._leaving.set()

    def stop(self) -> None:
        """Accept no more connections; open ones end after their request."""
        self._leaving.set()
        self._stopped.set()

    def accepting(self) -> bool:
        """Tell whether callers can connect."""
        return self._accepting.is_set() and not self._stopped.is_set()

    def ended(self) -> bool:
        """Tell whether the listener and all connections are closed."""
        with self._connections_lock:
            return self._listener_closed.is_set() and not self._connections

    def cut(self) -> None:
        """End the connections that are still open."""
        with self._connections_lock:
            for connection in self._connections:
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    # Closed by its own task or by the caller.
                    pass

    def _take(self, connection: socket.socket) -> None:
        if not self._open.acquire(blocking=False):
            self._turn_away(connection)
            return
        with self._connections_lock:
            self._connections.add(connection)
        submit_logged(self._executor, self._events, self._serve, connection)

    def _turn_away(self, connection: socket.socket) -> None:
        with connection:
            caller = HttpConnection(connection, 0)
            self._answer_problem(
                caller, "-", Reason.TOO_MANY_CONNECTIONS, Outcome.NOT_RUN, False
            )

    def _serve(self, connection: socket.socket) -> None:
        """Serve one connection to its end."""
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.settimeout(self._settings.connection_idle_timeout_s)
            caller = HttpConnection(connection, self._settings.request_body_max_bytes)
            self._serve_requests(caller)
        except OSError:
            # The caller went away or stayed silent; no request waits.
            pass
        finally:
            close_politely(connection)
            with self._connections_lock:
                self._connections.discard(connection)
            self._open.release()

    def _serve_requests(self, caller: HttpConnection) -> None:
        waiter = _RequestWaiter(
            caller, self._wake_reader, self._settings.connection_idle_timeout_s
        )
        while True:
            if caller.idle() and not waiter.wait():
                self._answer_problem(
                    caller, "-", Reason.NODE_LEAVING, Outcome.NOT_RUN, keep_alive=False
                )
                return
            try:
                request = caller.read_request()
            except BadRequest as error:
                self._answer_problem(
                    caller, "-", error.reason, Outcome.NOT_RUN, keep_alive=False
                )
                return
            if request is None:
                return
            if not self._serve_request(caller, request):
                return

    def _keep_alive(self, request: CallerRequest) -> bool:
        return request.keep_alive and not self._leaving.is_set()

    def _serve_request(self, caller, request: CallerRequest) -> bool:
        """Answer one request; return whether the connection stays open."""
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
                keep_alive = self._keep_alive(request)
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
                # Asked only now: the node may have begun to leave meanwhile.
                keep_alive = self._keep_alive(request)
                self._answer(caller, request, request_id, reply, keep_alive)
        return keep_alive

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


class _RequestWaiter:
    """Waits for the next request of one connection, or for the node to leave."""

    def __init__(self, caller: HttpConnection, wake: socket.socket, idle_timeout_s):
        self._idle_timeout_s = idle_timeout_s
        self._first = True
        self._caller_fd = caller.fileno()
        self._wake_fd = wake.fileno()
        self._poll = select.poll()
        self._poll.register(self._caller_fd, select.POLLIN)
        self._poll.register(self._wake_fd, select.POLLIN)

    def wait(self) -> bool:
        """Return True when there is something to read, False when we leave.

        Raises
        ------
        TimeoutError
            When the connection stays idle.
        """
        ready = dict(self._poll.poll(self._idle_timeout_s * 1000))
        if not ready:
            raise TimeoutError
        if self._caller_fd not in ready and self._first:
            # Just accepted: its first request is on its way.
            self._poll.unregister(self._wake_fd)
            ready = dict(self._poll.poll(FIRST_REQUEST_S * 1000))
        self._first = False
        return self._caller_fd in ready


def _timeout_ms(request: CallerRequest, route: RouteDocument) -> float:
    """Return the shorter of the caller's and the route's time."""
    try:
        asked_ms = float(request.header(TIMEOUT_HEADER.lower()) or route.timeout_ms)
    except ValueError:
        return route.timeout_ms
    return min(route.timeout_ms, asked_ms) if asked_ms > 0 else route.timeout_ms
