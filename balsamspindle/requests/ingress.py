"""Callers' connections: one task each, from accept to close."""

import os
import random
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from balsamspindle.customers import Admitted, CustomerGate, Refused
from balsamspindle.metrics import Hop
from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.admissions import Admissions
from balsamspindle.requests.caller_protocol import CallerProtocol, new_request_id
from balsamspindle.requests.closing import close_listener, close_politely
from balsamspindle.requests.connection_refuser import ConnectionRefuser
from balsamspindle.requests.connections import OpenConnections
from balsamspindle.requests.content import content_id
from balsamspindle.requests.forwarding import ForwardedRequest, Forwarder
from balsamspindle.requests.heads import IDEMPOTENCY_KEY_HEADER, BadRequest
from balsamspindle.requests.http import CallerRequest, HttpConnection
from balsamspindle.requests.request_log import RequestLog, since_ms
from balsamspindle.requests.siblings import SiblingRanks
from balsamspindle.services.shares import ServiceShares
from balsamspindle.settings.process import NodeSettings
from balsamspindle.settings.tree import CurrentConfiguration
from balsamspindle.timeline import EventLog, submit_logged

__all__ = ["IDEMPOTENCY_KEY_HEADER", "Ingress"]

ACCEPT_POLL_S = 0.2
ACCEPT_FAILED_PAUSE_S = 0.05
BACKLOG = 512
START_POLL_S = 0.02
# Time for the first request of a connection that was open when the node left.
FIRST_REQUEST_S = 1.0
ERROR_STATUS_MIN = 500

# Of the time for an orderly end, when the last request is taken. Callers are sent
# elsewhere in the first half of it; what comes later is on its way already, and a
# request of some seconds still ends in what is left.
LAST_READ_PART = 0.55


class Ingress:
    """Takes callers' requests and gives each its one answer.

    Parameters
    ----------
    on_failure : callable
        Told the time when a request ends without success.
    customers : CustomerGate, default=one for keys that need no proof

    Attributes
    ----------
    caller_service : str
        The service beside this node, as backend servers are told of the
        requests that come in here.
    """

    def __init__(
        self,
        settings: NodeSettings,
        configuration: CurrentConfiguration,
        forwarder: Forwarder,
        executor: ThreadPoolExecutor,
        events: EventLog,
        on_failure: Callable[[float], None] = lambda now_s: None,
        customers: CustomerGate | None = None,
    ) -> None:
        customers = customers or CustomerGate(configuration)
        self._admissions = Admissions(configuration, customers)
        self._on_failure = on_failure
        self._settings = settings
        self._caller_protocol = CallerProtocol(settings, configuration)
        self._names = settings.headers
        self.caller_service = settings.caller_service
        self._shares = ServiceShares(random.Random(os.urandom(8)))
        self._sibling_ranks = SiblingRanks(random.Random(os.urandom(8)))
        self._configuration = configuration
        self._forwarder = forwarder
        self._executor = executor
        self._events = events
        self._log = RequestLog(events, configuration)
        self._hold_until_s = 0.0
        self._is_ready: Callable[[], bool] = lambda: True
        self._leaving = threading.Event()
        self._stopped = threading.Event()
        self._accepting = threading.Event()
        self._listener_closed = threading.Event()
        self._connections = OpenConnections(settings.connections_max)
        self._connection_refuser = ConnectionRefuser(self._answer_refused, events)
        host, _, port = settings.caller_address.partition(":")
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit it.
        self._listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
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
        give_up_s = time.monotonic() + self._settings.start_wait_s
        self._hold_until_s = time.monotonic() + self._settings.start_hold_s
        self._is_ready = ready
        while not (ready() or time.monotonic() >= give_up_s or self._stopped.is_set()):
            time.sleep(START_POLL_S)
        self._listener.listen(BACKLOG)
        self._accepting.set()
        while not self._stopped.is_set():
            self._accept()
        close_listener(self._listener, self._take)
        self._connections.close_idle()
        # A connection that was just accepted has its first request on its way.
        self._connections.wait_for_first_requests(FIRST_REQUEST_S)
        self._connections.close_idle(first_too=True)
        self._connection_refuser.shutdown()
        self._listener_closed.set()

    def leave(self) -> None:
        """Tell callers, with each answer, to use another connection."""
        if not self._leaving.is_set():
            self._log.leaving_s = time.monotonic()
        self._leaving.set()

    def stop(self) -> None:
        """Accept no more connections; open ones end after their request."""
        self.leave()
        self._stopped.set()

    def accepting(self) -> bool:
        """Tell whether callers can connect."""
        return self._accepting.is_set() and not self._stopped.is_set()

    def ended(self) -> bool:
        """Tell whether the listener and all connections are closed."""
        return self._listener_closed.is_set() and not self._connections.open()

    def callers(self) -> int:
        """Return the callers whose request was begun and not answered yet."""
        return self._connections.busy()

    def cut(self) -> None:
        """End the connections that are still open."""
        self._connections.cut()

    def _accept(self) -> None:
        try:
            connection, _ = self._listener.accept()
        except TimeoutError:
            return
        except OSError as error:
            # Out of descriptors, or the caller left at once: the node goes
            # on with the connections that it has.
            self._events.emit("accept_failed", cause=error)
            time.sleep(ACCEPT_FAILED_PAUSE_S)
            return
        self._take(connection)

    def _take(self, connection: socket.socket) -> None:
        if self._connections.admit(connection):
            submit_logged(self._executor, self._events, self._serve, connection)
        else:
            self._connection_refuser.refuse(connection)

    def _answer_refused(self, connection: socket.socket) -> None:
        self._refuse(self._open(connection), Reason.TOO_MANY_CONNECTIONS)

    def _serve(self, connection: socket.socket) -> None:
        """Serve one connection to its end."""
        try:
            self._serve_requests(self._open(connection), connection)
        except OSError:
            # The caller went away; no request of it waits here.
            pass
        finally:
            close_politely(connection)
            self._connections.left(connection)

    def _open(self, connection: socket.socket) -> HttpConnection:
        return HttpConnection(connection, self._caller_protocol.limits(), self._names)

    def _serve_requests(self, caller: HttpConnection, connection) -> None:
        keep_alive = True
        while keep_alive:
            self._connections.set_idle(connection)
            started = caller.wait_for_start()
            was_shut = self._connections.set_busy(connection)
            try:
                request, refused = self._read(caller) if started else (None, None)
            except BadRequest as error:
                self._refuse(caller, error.reason, error.detail)
                return
            if request is None:
                if was_shut:
                    # A request that crosses the close is never read: its
                    # caller is told so, where a reset would leave it in doubt.
                    self._refuse(caller, self._closing_reason())
                return
            keep_alive = self._serve_request(caller, request, refused) and not was_shut

    def _read(
        self, caller: HttpConnection
    ) -> tuple[CallerRequest | None, Refused | None]:
        """Read a request; one that is refused on its head without its body."""
        request = caller.read_head()
        if request is None or request.is_whole:
            return request, None
        self._hold()
        refused = self._admissions.refuse_on_head(request, time.monotonic())
        if refused is not None:
            return request, refused
        return caller.read_body(), None

    def _is_too_late(self) -> bool:
        """Tell whether most of the time for an orderly end has passed."""
        if not self._leaving.is_set():
            return False
        passed_s = time.monotonic() - self._log.leaving_s
        return passed_s > LAST_READ_PART * self._settings.shutdown_timeout_s

    def _closing_reason(self) -> Reason:
        return Reason.NODE_LEAVING if self._leaving.is_set() else Reason.GAVE_WAY

    def _serve_request(
        self, caller, request: CallerRequest, refused: Refused | None = None
    ) -> bool:
        """Answer one request; False when the connection ends with it.

        Parameters
        ----------
        refused : Refused or None
            On its head, before its body came.
        """
        received_s = time.monotonic()
        request_id = self._caller_protocol.request_id(request)
        content = content_id(request, self._names)
        self._log.received(request_id, request, content)
        if self._is_too_late():
            # A long one would be broken off when the time for an orderly end
            # is over, with a backend server at work on it.
            stopping = Refused(Reason.NODE_STOPPING)
            answer = self._problem(request, request_id, stopping)
            self._write(caller, request_id, answer)
            return False
        self._hold()
        match refused or self._admissions.admit(request, time.monotonic()):
            case Refused() as refused:
                answer = self._problem(request, request_id, refused)
            case Admitted() as admitted:
                answer = self._forward(
                    caller, request, request_id, admitted, received_s, content
                )
        # Before the answer goes out, like the request's outcome: a caller that has
        # its answer finds it counted.
        self._events.metrics.record(Hop.INGRESS, time.monotonic() - received_s)
        self._write(caller, request_id, answer)
        return request.keep_alive

    def _hold(self) -> None:
        """Wait, right after the start, until it is known where requests go."""
        while time.monotonic() < self._hold_until_s and not self._is_ready():
            time.sleep(START_POLL_S)

    def _settle_keep_alive(self, request: CallerRequest) -> bool:
        """Decide as late as can be whether the connection goes on.

        Behind a body that was not read nobody can tell where a request begins.
        """
        goes_on = request.is_whole and not self._leaving.is_set()
        request.keep_alive = request.keep_alive and goes_on
        return request.keep_alive

    def _forward(
        self, caller, request, request_id, admitted: Admitted, received_s, content
    ) -> bytes:
        route = admitted.route
        try:
            timeout_ms = self._caller_protocol.timeout_ms(request, route)
        except BadRequest as error:
            self._admissions.give_back(admitted)
            refused = Refused(error.reason)
            return self._problem(request, request_id, refused, error.detail)
        # The backend server's log can be matched with the time line.
        request.headers.append((self._names.request_id, request_id))
        route = self._shares.choose(route)
        deadline_s = received_s + timeout_ms / 1000
        forwarded = ForwardedRequest(
            request_id,
            caller,
            request,
            route,
            deadline_s,
            request.noted.get("idempotency-key"),
            caller_service=self.caller_service,
            target_s=received_s + route.target_ms / 1000 if route.target_ms else None,
            rank_ms=self._sibling_ranks.rank_ms(route, deadline_s, received_s),
            content=content,
            customer=admitted.name,
        )
        reply = self._forwarder.forward(forwarded)
        if reply.outcome is not Outcome.ANSWERED or reply.status >= ERROR_STATUS_MIN:
            # Before the answer goes out: its caller may be the backend server
            # beside this node, which fails in turn a moment later.
            self._on_failure(time.monotonic())
        if reply.outcome is Outcome.NOT_RUN:
            self._admissions.give_back(admitted)
        self._log.ended(
            request_id,
            reply.outcome,
            reply.reason,
            reply.status,
            service=route.service,
            route=f"{route.host}{route.path_prefix}",
            attempts=forwarded.attempts,
            sends=forwarded.sends,
            left_ms=round((forwarded.deadline_s - time.monotonic()) * 1000),
            after_cut_ms=since_ms(forwarded.cut_s),
            stopped_by=None if forwarded.cut_s is None else forwarded.stopped_by,
            customer=admitted.name or None,
        )
        self._events.metrics.count_outcome(route.service, reply.outcome.value)
        return self._caller_protocol.encode_reply(
            reply, request, request_id, self._settle_keep_alive(request)
        )

    def _problem(
        self, request, request_id, refused: Refused, detail: str | None = None
    ) -> bytes:
        reason, retry_after_ms, customer, allow = refused
        self._log.ended(request_id, Outcome.NOT_RUN, reason, customer=customer or None)
        return self._caller_protocol.encode_problem(
            reason,
            Outcome.NOT_RUN,
            request_id,
            self._settle_keep_alive(request),
            request.method == "HEAD",
            detail,
            allow,
            retry_after_ms,
        )

    def _refuse(self, caller, reason: Reason, detail: str | None = None) -> None:
        """Answer what is no request, and end the connection."""
        request_id = new_request_id()
        self._log.ended(request_id, Outcome.NOT_RUN, reason)
        answer = self._caller_protocol.encode_problem(
            reason,
            Outcome.NOT_RUN,
            request_id,
            keep_alive=False,
            detail=detail,
        )
        self._write(caller, request_id, answer)

    def _write(self, caller: HttpConnection, request_id: str, answer: bytes) -> None:
        try:
            caller.write(answer)
        except OSError as error:
            self._log.not_delivered(request_id, error)
            raise
