"""The HTTP server of the admin address, with a limited number of threads."""

import socket
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus

from werkzeug.serving import BaseWSGIServer, WSGIRequestHandler

from balsamspindle.timeline import EventLog, submit_logged

__all__ = ["AdminServer"]

WORKERS_MAX = 8
BACKLOG = 64
CONNECTION_TIMEOUT_S = 5.0


class _HeadLines:
    """Reads the lines of a request's head and remembers the last one."""

    def __init__(self, stream) -> None:
        self._stream = stream
        self.last_line = b""

    def readline(self, size: int = -1) -> bytes:
        """Return the next line; empty at the end of the connection."""
        self.last_line = self._stream.readline(size)
        return self.last_line


class _Handler(WSGIRequestHandler):
    # Without a timeout, a client that connects and sends nothing would occupy a thread
    # forever.
    timeout = CONNECTION_TIMEOUT_S
    server: "AdminServer"

    def parse_request(self) -> bool:
        """Parse a request's head; answer 400 to a head without its empty line.

        The standard library takes the end of the connection for the end of the head.
        A call whose headers and body are missing would then be carried out.
        """
        stream, lines = self.rfile, _HeadLines(self.rfile)
        self.rfile = lines
        try:
            is_valid = super().parse_request()
        finally:
            self.rfile = stream
        if is_valid and lines.last_line not in (b"\r\n", b"\n"):
            self.send_error(HTTPStatus.BAD_REQUEST, "the head has no end")
            return False
        return is_valid

    def log_request(self, *_args):
        """Do nothing: requests to the admin address are not logged."""

    def log(self, type, message, *args):
        """Report an error to the server, which emits an event for it."""
        self.server.log(type, message, *args)


class AdminServer(BaseWSGIServer):
    """Serves each connection in a thread of a small pool.

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
        # If werkzeug can't bind the address, it exits the process. The listener is
        # therefore created here: if `create_server` can't bind, it raises an error that
        # the program can report.
        with socket.create_server((host, int(port)), backlog=BACKLOG) as listener:
            super().__init__(
                host, int(port), application, handler=_Handler, fd=listener.fileno()
            )
        self._executor = ThreadPoolExecutor(WORKERS_MAX, "admin")

    def process_request(self, request, client_address):
        """Serve a connection in a thread of the pool."""
        submit_logged(self._executor, self.events, self._serve, request, client_address)

    def _serve(self, request, client_address) -> None:
        try:
            self.finish_request(request, client_address)
        except Exception:
            self.handle_error(request, client_address)
        finally:
            self.shutdown_request(request)

    def log(self, type, message, *args):
        """Emit one event for an error, without its traceback."""
        text = (message % args if args else message).strip()
        # The last line of a traceback names the error.
        cause = text.splitlines()[-1] if text else type
        self.events.emit("admin_request_failed", cause=cause)

    def handle_error(self, request, client_address):
        """Ignore errors of a connection, for example if the client closed it early."""

    def serve_forever(self, poll_interval=0.25):
        """Serve until `shutdown`, then wait for the threads of the pool."""
        with self._executor:
            super().serve_forever(poll_interval)
