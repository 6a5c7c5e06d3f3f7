"""Accepts callers' connections and answers their requests, one task per connection."""

import os
import random
import socket
import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from balsamspindle.customers import Admitted, CustomerAdmission, Refused
from balsamspindle.metrics import Hop
from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.admissions import Admissions
from balsamspindle.requests.caller_protocol import CallerProtocol, new_request_id
from balsamspindle.requests.closing import close_gracefully, close_listener
from balsamspindle.requests.connection_refuser import ConnectionRefuser
from balsamspindle.requests.connections import OpenConnections
from balsamspindle.requests.content import hash_content
from balsamspindle.requests.forwarding import ForwardedRequest, Forwarder
from balsamspindle.requests.heads import IDEMPOTENCY_KEY_HEADER, BadRequest
from balsamspindle.requests.http import CallerRequest, HttpConnection
from balsamspindle.requests.request_log import RequestLog, elapsed_ms
from balsamspindle.requests.siblings import SiblingRanks
from balsamspindle.requests.start_wait import READY_POLL_S, StartWait
from balsamspindle.requests.unexpected_errors import forward_or_fail
from balsamspindle.services.shares import ServiceShares
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.process import NodeSettings
from balsamspindle.tables.proof_clock import proof_time_s
from balsamspindle.timeline import EventLog, submit_logged

__all__ = ["IDEMPOTENCY_KEY_HEADER", "Ingress"]

ACCEPT_POLL_S = 0.2
ACCEPT_FAILED_PAUSE_S = 0.05
BACKLOG = 512
# After a stopping node has closed its listener, it waits this long for the first
# request on each connection that has not received any.
FIRST_REQUEST_TIMEOUT_S = 1.0
ERROR_STATUS_MIN = 500

# Fraction of the shutdown timeout during which a leaving node still accepts requests.
# In the first half of the timeout (0.5), the platform detects that the node leaves, and
# directs all its callers to other nodes. A request that arrives between 0.5 and this
# fraction was therefore sent before its caller was directed to another node. After this
# fraction, enough of the timeout remains for a request that takes some seconds.
LAST_REQUEST_FRACTION = 0.55


class Ingress:
    """Receives callers' requests and answers each of them exactly once.

    Parameters
    ----------
    on_failure : callable
        Called after each failed request, with the monotonic time and its `call_id`.
    customers : CustomerAdmission
        Admits or refuses requests. By default, customers' keys need no proof, and
        limits are not enforced.

    Attributes
    ----------
    caller_service : str
        Name of the service whose backend server runs on this node's VM. For each
        request that arrives at this node, backend servers get this name in a header, as
        the name of the calling service.
    """

    def __init__(
        self,
        settings: NodeSettings,
        configuration: CurrentConfiguration,
        forwarder: Forwarder,
        executor: ThreadPoolExecutor,
        events: EventLog,
        on_failure: Callable[[float, str], None] = lambda now_s, call_id: None,
        customers: CustomerAdmission | None = None,
    ) -> None:
        customers = customers or CustomerAdmission(configuration)
        self._log = RequestLog(events, configuration)
        self._admissions = Admissions(customers, self._log)
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
        self._start_wait = StartWait()
        self._leaving = threading.Event()
        self._stopped = threading.Event()
        self._accepting = threading.Event()
        self._listener_closed = threading.Event()
        self._connections = OpenConnections(settings.connections_max)
        self._connection_refuser = ConnectionRefuser(self._answer_refused, events)
        host, _, port = settings.caller_address.partition(":")
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit TCP_NODELAY from the listener.
        self._listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._listener.bind((host, int(port)))
        self._listener.settimeout(ACCEPT_POLL_S)

    def run(self, ready: Callable[[], bool] = lambda: True) -> None:
        """Accept connections until `stop` is called.

        Parameters
        ----------
        ready : callable, default=always
            Returns whether this node knows backend servers. Connections are refused
            until `ready` returns True, but for at most `start_wait_s`. A caller whose
            connection is refused can use another node. Without this wait, a node that
            has just started would accept connections and then reject their requests,
            although other nodes can serve the requests.
        """
        listen_by_s = time.monotonic() + self._settings.start_wait_s
        self._start_wait.begin(ready, time.monotonic() + self._settings.start_hold_s)
        while not (
            ready() or time.monotonic() >= listen_by_s or self._stopped.is_set()
        ):
            time.sleep(READY_POLL_S)
        self._listener.listen(BACKLOG)
        self._accepting.set()
        while not self._stopped.is_set():
            self._accept()
        close_listener(self._listener, self._serve_or_refuse)
        self._connections.close_idle()
        # The caller of a new connection has probably sent its first request already.
        # Connections without a request are therefore closed only after a short wait.
        self._connections.wait_for_first_requests(FIRST_REQUEST_TIMEOUT_S)
        self._connections.close_idle(include_new=True)
        self._connection_refuser.shutdown()
        self._listener_closed.set()

    def leave(self) -> None:
        """Start to leave: from now on, close each connection after its next answer."""
        if not self._leaving.is_set():
            self._log.leaving_s = time.monotonic()
        self._leaving.set()

    def stop(self) -> None:
        """Accept no more connections; close each open one after its current request."""
        self.leave()
        self._stopped.set()

    def accepting(self) -> bool:
        """Return whether callers can connect."""
        return self._accepting.is_set() and not self._stopped.is_set()

    def ended(self) -> bool:
        """Return whether the listener and all connections are closed."""
        return self._listener_closed.is_set() and not self._connections.open_count()

    def waiting_caller_count(self) -> int:
        """Return the number of callers whose request is not answered yet."""
        return self._connections.busy_count()

    def shut_down_connections(self) -> None:
        """Shut down the connections that are still open."""
        self._connections.shut_down_all()

    def _accept(self) -> None:
        try:
            connection, _ = self._listener.accept()
        except TimeoutError:
            return
        except OSError as error:
            # The process is out of file descriptors, or the caller disconnected before
            # `accept`. The node continues to serve its open connections.
            self._events.emit("accept_failed", cause=error)
            time.sleep(ACCEPT_FAILED_PAUSE_S)
            return
        self._serve_or_refuse(connection)

    def _serve_or_refuse(self, connection: socket.socket) -> None:
        if self._connections.admit(connection):
            submit_logged(self._executor, self._events, self._serve, connection)
        else:
            self._connection_refuser.refuse(connection)

    def _answer_refused(self, connection: socket.socket) -> None:
        self._refuse(self._open(connection), Reason.TOO_MANY_CONNECTIONS)

    def _serve(self, connection: socket.socket) -> None:
        """Serve the requests of one connection, and close it."""
        try:
            self._serve_requests(self._open(connection), connection)
        except OSError:
            # The caller disconnected, so none of its requests waits for an answer.
            pass
        finally:
            close_gracefully(connection)
            self._connections.remove(connection)

    def _open(self, connection: socket.socket) -> HttpConnection:
        return HttpConnection(connection, self._caller_protocol.limits(), self._names)

    def _serve_requests(self, caller: HttpConnection, connection) -> None:
        keep_alive = True
        while keep_alive:
            self._connections.set_idle(connection)
            started = caller.wait_for_request()
            was_shut = self._connections.set_busy(connection)
            try:
                request, refused = self._read(caller) if started else (None, None)
            except BadRequest as error:
                self._refuse(caller, error.reason, error.detail)
                return
            if request is None:
                if was_shut:
                    # The caller may have sent a request while this node shut the
                    # connection down. The request is not read, and the refusal says
                    # that the request did not run. Without the refusal, the caller
                    # would only see a reset, and not know whether the request ran.
                    self._refuse(caller, self._closing_reason())
                return
            keep_alive = self._serve_request(caller, request, refused) and not was_shut

    def _read(
        self, caller: HttpConnection
    ) -> tuple[CallerRequest | None, Refused | None]:
        """Read the next request, or only its head if the head is enough to refuse it.

        Returns the request, which is None if the caller closed the connection, and the
        refusal, which is None if the request was not refused by its head.
        """
        request = caller.read_head()
        if request is None or request.is_complete:
            return request, None
        self._start_wait.wait()
        refused = self._admissions.refuse_on_head(request, proof_time_s())
        if refused is not None:
            return request, refused
        return caller.read_body(), None

    def _is_too_late(self) -> bool:
        """Return whether this node has been leaving for too long to accept requests."""
        if not self._leaving.is_set():
            return False
        elapsed_s = time.monotonic() - self._log.leaving_s
        return elapsed_s > LAST_REQUEST_FRACTION * self._settings.shutdown_timeout_s

    def _closing_reason(self) -> Reason:
        return Reason.NODE_LEAVING if self._leaving.is_set() else Reason.GAVE_WAY

    def _serve_request(
        self, caller, request: CallerRequest, refused: Refused | None = None
    ) -> bool:
        """Answer one request; return False if the connection must then be closed.

        Parameters
        ----------
        refused : Refused or None
            The refusal, if the request was refused before its body arrived.
        """
        received_s = time.monotonic()
        request_id = self._caller_protocol.request_id(request)
        content_hash = hash_content(request, self._names)
        self._log.received(request_id, request, content_hash)
        if self._is_too_late():
            # A long request that is accepted now could still be running at the shutdown
            # timeout, and would then be interrupted.
            stopping = Refused(Reason.NODE_STOPPING)
            answer = self._encode_refusal(request, request_id, stopping)
            self._write(caller, request_id, answer)
            return False
        self._start_wait.wait()
        now_s = proof_time_s()
        match refused or self._admissions.admit(request, request_id, now_s):
            case Refused() as refused:
                answer = self._encode_refusal(request, request_id, refused)
            case Admitted() as admitted:
                answer = self._forward(
                    caller, request, request_id, admitted, received_s, content_hash
                )
        # The duration and the outcome are recorded before the answer is sent. As soon
        # as the caller has its answer, the metrics include the request.
        self._events.metrics.record(Hop.INGRESS, time.monotonic() - received_s)
        self._write(caller, request_id, answer)
        return request.keep_alive

    def _decide_keep_alive(self, request: CallerRequest) -> bool:
        """Return whether the connection stays open; update `request.keep_alive`.

        The connection is closed if the request demands that, if this node is leaving,
        or if the request's body was not read: after an unread body, the start of the
        next request can't be determined. Called right before the answer is sent,
        because this node may start to leave while the request is served.
        """
        can_continue = request.is_complete and not self._leaving.is_set()
        request.keep_alive = request.keep_alive and can_continue
        return request.keep_alive

    def _forward(
        self, caller, request, request_id, admitted: Admitted, received_s, content_hash
    ) -> bytes:
        route = admitted.route
        try:
            timeout_ms = self._caller_protocol.timeout_ms(request, route)
        except BadRequest as error:
            self._admissions.refund(admitted)
            refused = Refused(error.reason, revision=admitted.revision)
            return self._encode_refusal(request, request_id, refused, error.detail)
        # The backend server can log the request id, by which its log entries can be
        # matched with entries of the event log.
        request.headers.append((self._names.request_id, request_id))
        route = self._shares.choose(route)
        deadline_s = received_s + timeout_ms / 1000
        forwarded = ForwardedRequest(
            request_id,
            caller,
            request,
            route,
            deadline_s,
            request.control_headers.get("idempotency-key"),
            caller_service=self.caller_service,
            target_s=received_s + route.target_ms / 1000 if route.target_ms else None,
            rank_ms=self._sibling_ranks.rank_ms(route, deadline_s, received_s),
            content_hash=content_hash,
            customer=admitted.name,
        )
        reply = forward_or_fail(self._forwarder.forward, forwarded, self._events)
        if reply.outcome is not Outcome.ANSWERED or reply.status >= ERROR_STATUS_MIN:
            # The caller may be the backend server beside this node: it sent this
            # request A to serve a request B. If B fails because A failed, this node's
            # gate must not count the failure of B against the backend server. The
            # failure of A is therefore recorded before the backend server gets the
            # answer.
            self._on_failure(time.monotonic(), forwarded.call_id)
        if reply.outcome is Outcome.NOT_RUN:
            self._admissions.refund(admitted)
        self._log.ended(
            request_id,
            reply.outcome,
            reply.reason,
            reply.status,
            admitted.revision,
            service=route.service,
            route=f"{route.host}{route.path_prefix}",
            attempts=forwarded.attempts,
            sends=forwarded.sends,
            left_ms=round((forwarded.deadline_s - time.monotonic()) * 1000),
            after_cut_ms=elapsed_ms(forwarded.run_lost_s),
            stopped_by=None if forwarded.run_lost_s is None else forwarded.stopped_by,
            customer=admitted.name or None,
        )
        self._events.metrics.count_outcome(route.service, reply.outcome.value)
        return self._caller_protocol.encode_reply(
            reply, request, request_id, self._decide_keep_alive(request)
        )

    def _encode_refusal(
        self, request, request_id, refused: Refused, detail: str | None = None
    ) -> bytes:
        self._log.refused(request_id, refused)
        return self._caller_protocol.encode_problem(
            refused.reason,
            Outcome.NOT_RUN,
            request_id,
            self._decide_keep_alive(request),
            request.method == "HEAD",
            detail,
            refused.allow,
            refused.retry_after_ms,
        )

    def _refuse(self, caller, reason: Reason, detail: str | None = None) -> None:
        """Send a refusal to a caller from which no valid request was read."""
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
