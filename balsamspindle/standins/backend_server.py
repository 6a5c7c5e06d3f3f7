"""A stand-in for a backend server, with fault injection.

It announces itself to the node beside it and counts how often it ran each request.
Its answer contains the request and the server's name, so that a test can tell which
request was answered and by which server. ``POST /faults`` sets the fault of the
stand-in, ``GET /runs`` returns its counts. For each run of a request with a run key,
the stand-in also writes a line to standard error.
"""

import json
import socket
import sys
import threading
import time
from collections import Counter
from enum import StrEnum
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import msgspec
import pycurl

from balsamspindle.protocol.decoding import decode_json

__all__ = [
    "Announcer",
    "BackendFaultMode",
    "BackendFaultSwitch",
    "StandinBackendServer",
    "StandinHandler",
]

RUN_KEY_HEADER = "X-Run-Key"
# Working time of one request in milliseconds; overrides `work_s` of the server.
WORK_MS_HEADER = "X-Work-Ms"


class BackendFaultMode(StrEnum):
    """How requests fail; health checks keep succeeding.

    Attributes
    ----------
    HANG, SLOW
        The answer is delayed. `HANG` is meant for delays longer than timeouts.
    ERROR
        The answer has status 500.
    SHED
        The request is refused with status 503 and not run.
    TRUNCATE
        The connection is closed after the first half of the answer's body.
    CLOSE
        The request is run and the connection closed without an answer.
    """

    NONE = "none"
    HANG = "hang"
    SLOW = "slow"
    ERROR = "error"
    SHED = "shed"
    TRUNCATE = "truncate"
    CLOSE = "close"


class BackendFaultSwitch(msgspec.Struct):
    """The fault in force.

    Attributes
    ----------
    share : float
        Fraction of the requests that the fault affects. The affected requests are
        evenly spaced: with 0.25, the fault affects every fourth request.
    delay_s : float
        Delay of the answer with `SLOW` and `HANG`.
    headers : dict of str to str
        Headers that are added to all answers to requests, affected or not.
    """

    mode: BackendFaultMode = BackendFaultMode.NONE
    share: float = 1.0
    delay_s: float = 30.0
    headers: dict[str, str] = {}


class StandinBackendServer(ThreadingHTTPServer):
    """The HTTP server of one stand-in.

    Attributes
    ----------
    runs : Counter of str
        Number of runs by run key.
    running, running_max : int
        Number of requests that run now, and the maximum of this number so far.
    """

    daemon_threads = True
    request_queue_size = 512

    def __init__(self, address: tuple[str, int], name: str, work_s: float) -> None:
        super().__init__(address, StandinHandler)
        self.name = name
        self.work_s = work_s
        self.fault = BackendFaultSwitch()
        self.lock = threading.Lock()
        self.runs: Counter[str] = Counter()
        self.running = 0
        self.running_max = 0
        self._fraction_sum = 0.0

    def next_fault(self) -> BackendFaultMode:
        """Return the fault of the next request, `NONE` if it is not affected."""
        with self.lock:
            self._fraction_sum += self.fault.share
            if self._fraction_sum < 1:
                return BackendFaultMode.NONE
            self._fraction_sum -= 1
            return self.fault.mode

    def handle_error(self, request, client_address):
        """Discard errors, such as that of a caller that closed its connection."""


class StandinHandler(BaseHTTPRequestHandler):
    """Answers the requests of one connection to a `StandinBackendServer`."""

    protocol_version = "HTTP/1.1"
    server: StandinBackendServer
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, format, *args):
        """Log nothing, since the node writes events for all requests."""

    def do_GET(self):
        """Answer one request of any method; see `BaseHTTPRequestHandler`."""
        body = self._read_body()
        match self.path:
            case "/health":
                self._send(200, b"{}")
            case "/runs":
                with self.server.lock:
                    report = {
                        "runs": dict(self.server.runs),
                        "running_max": self.server.running_max,
                    }
                self._send(200, json.dumps(report).encode())
            case "/faults":
                self.server.fault = decode_json(body, BackendFaultSwitch)
                self._send(200, b"{}")
            case _:
                self._work(body)

    do_POST = do_PUT = do_DELETE = do_PATCH = do_HEAD = do_GET

    def _read_body(self) -> bytes:
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def _work(self, body):
        fault = self.server.next_fault()
        if fault is BackendFaultMode.SHED:
            self._send(503, b'{"shed": true}')
            return
        key = self.headers.get(RUN_KEY_HEADER)
        if key:
            # The counts in memory are lost when the process is killed, so each run is
            # also recorded on standard error. The line is written in one call: `print`
            # writes the line end separately, so two concurrent runs could end up in
            # one line and a reader of the log could miss the second run.
            sys.stderr.write(f"event=run run_key={key}\n")
            sys.stderr.flush()
        with self.server.lock:
            if key:
                self.server.runs[key] += 1
            self.server.running += 1
            running = self.server.running
            self.server.running_max = max(self.server.running_max, running)
        try:
            self._answer(fault, key, body)
        finally:
            with self.server.lock:
                self.server.running -= 1

    def _answer(self, fault, key, body):
        work_ms = self.headers.get(WORK_MS_HEADER)
        work_s = self.server.work_s if work_ms is None else float(work_ms) / 1000
        if work_s:
            time.sleep(work_s)
        if fault in (BackendFaultMode.SLOW, BackendFaultMode.HANG):
            time.sleep(self.server.fault.delay_s)
        if fault is BackendFaultMode.CLOSE:
            self.connection.shutdown(socket.SHUT_RDWR)
            self.close_connection = True
            return
        answer = {
            "server": self.server.name,
            "method": self.command,
            "target": self.path,
            "run_key": key,
            "body_length": len(body),
            "body": body.decode("latin-1"),
        }
        encoded = json.dumps(answer).encode()
        if fault is BackendFaultMode.TRUNCATE:
            self._head(200, len(encoded))
            self.wfile.write(encoded[: len(encoded) // 2])
            self.wfile.flush()
            self.connection.shutdown(socket.SHUT_RDWR)
            self.close_connection = True
            return
        self._send(500 if fault is BackendFaultMode.ERROR else 200, encoded)

    def _head(self, status, length):
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(length))
        for name, value in self.server.fault.headers.items():
            self.send_header(name, value)
        self.end_headers()

    def _send(self, status, body):
        self._head(status, len(body))
        if self.command != "HEAD":
            self.wfile.write(body)
        self.wfile.flush()


class Announcer:
    """Announces a backend server to the node beside it at regular intervals.

    Parameters
    ----------
    admin_address : str
        Admin address of the node.
    backend_server_id : str
    announcement : dict
        Body of the announcement.
    interval_s : float, default=1.0
    """

    def __init__(self, admin_address, backend_server_id, announcement, interval_s=1.0):
        self._url = f"http://{admin_address}/backend-servers/{backend_server_id}"
        self._body = json.dumps(announcement).encode()
        self._interval_s = interval_s
        self._stopped = threading.Event()

    def run(self) -> None:
        """Announce until `leave` is called."""
        while not self._stopped.is_set():
            _send_to_node("PUT", self._url, self._body)
            self._stopped.wait(self._interval_s)

    def leave(self) -> None:
        """Stop announcing and ask the node to drain the backend server."""
        self._stopped.set()
        _send_to_node("POST", f"{self._url}/drain", b"")


def _send_to_node(method, url, body):
    handle = pycurl.Curl()
    handle.setopt(pycurl.URL, url)
    handle.setopt(pycurl.CUSTOMREQUEST, method)
    handle.setopt(pycurl.POSTFIELDS, body)
    handle.setopt(pycurl.HTTPHEADER, ["Content-Type: application/json"])
    handle.setopt(pycurl.NOSIGNAL, 1)
    handle.setopt(pycurl.TIMEOUT_MS, 1000)
    handle.setopt(pycurl.WRITEFUNCTION, lambda chunk: None)
    try:
        handle.perform()
    except pycurl.error:
        # The node may be restarting. `Announcer.run` repeats a lost announcement; a
        # lost drain request is not repeated.
        pass
    finally:
        handle.close()
