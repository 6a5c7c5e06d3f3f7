"""The HTTP server of the admin address: a bounded number of threads."""

import socket
from concurrent.futures import ThreadPoolExecutor

from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler

from balsamspindle.timeline import EventLog, submit_logged

__all__ = ["AdminServer"]

WORKERS_MAX = 8
BACKLOG = 64
CONNECTION_TIMEOUT_S = 5.0


class _Handler(WSGIRequestHandler):
    # A caller that connects and says nothing would hold a worker for ever.
    timeout = CONNECTION_TIMEOUT_S
    server: "AdminServer"

    def log_request(self, *_args):
        """Write nothing: answers on the admin address are no events."""

    def log(self, type, message, *args):
        """Hand a fault to the server."""
        self.server.log(type, message, *args)


class AdminServer(BaseWSGIServer):
    """Answers each connection in one of a few threads.

    Parameters
    ----------
    address : str
        IP:port to listen on.
    application : WSGI application
    """

    multithread = True

    def __init__(self, address: str, application, events: EventLog) -> None:
        self.events = events
        host, _, port = address.partition(":")
        # werkzeug ends the process by itself when it can't bind; a listener
        # of our own raises an error that the program can report.
        with socket.create_server((host, int(port)), backlog=BACKLOG) as listener:
            super().__init__(
                host, int(port), application, handler=_Handler, fd=listener.fileno()
            )
        self._executor = ThreadPoolExecutor(WORKERS_MAX, "admin")

    def process_request(self, request, client_address):
        """Hand a connection to a worker."""
        submit_logged(self._executor, self.events, self._serve, request, client_address)

    def _serve(self, request, client_address) -> None:
        try:
            self.finish_request(request, client_address)
        except Exception:
            self.handle_error(request, client_address)
        finally:
            self.shutdown_request(request)

    def log(self, type, message, *args):
        """Write a fault as one event, not as the lines of a traceback."""
        text = (message % args if args else message).strip()
        # The last line of a traceback names the error.
        cause = text.splitlines()[-1] if text else type
        self.events.emit("admin_request_failed", cause=cause)

    def handle_error(self, request, client_address):
        """Pass over a connection that ended early; the caller knows."""

    def serve_forever(self, poll_interval=0.25):
        """Serve until `shutdown`, then let the workers end."""
        with self._executor:
            super().serve_forever(poll_interval)
