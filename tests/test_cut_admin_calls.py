"""Calls to the admin and control addresses whose heads their connections end."""

import io
import socket
import threading

import pytest
from werkzeug.wrappers import Request, Response

from balsamspindle.node.admin_server import AdminServer
from balsamspindle.timeline import EventLog, HybridClock
from tests.utils import free_address

CALL = b"DELETE /instances/i-1 HTTP/1.1\r\nHost: x\r\nContent-Length: 13\r\n\r\n"
BODY = b'{"born": 171}'
CUT = [len(b"DELETE /instances/i-1 HTTP/1.1"), CALL.index(b"\r\n") + 2]
CUT += [CALL.index(b"Content-Length"), len(CALL) - 5, len(CALL) - 2, len(CALL) - 1]


@pytest.fixture
def calls():
    """Return the bodies of the calls that were carried out."""
    return []


@pytest.fixture
def address(calls):
    """Serve an application that records its calls; return the address."""

    def record(environ, start_response):
        calls.append(Request(environ).get_data())
        return Response("{}")(environ, start_response)

    served = free_address()
    events = EventLog("node", 1, HybridClock(), io.StringIO())
    server = AdminServer(served, record, events)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    yield served
    server.shutdown()
    thread.join()
    server.server_close()


def send(address: str, data: bytes) -> bytes:
    """Send bytes and the end of the connection; return the answer's status line."""
    host, _, port = address.partition(":")
    with socket.create_connection((host, int(port)), 5.0) as caller:
        caller.sendall(data)
        caller.shutdown(socket.SHUT_WR)
        return caller.makefile("rb").readline()


def test_a_call_whose_head_is_cut_is_not_carried_out(address, calls):
    """Guards against a leaving that counts without the start time in its body."""
    for length_bytes in CUT:
        assert b" 400 " in send(address, CALL[:length_bytes]), length_bytes
    assert calls == []


def test_a_complete_call_is_carried_out(address, calls):
    for line_end in (b"\r\n", b"\n"):
        call = CALL.replace(b"\r\n", line_end) + BODY
        assert b" 200 " in send(address, call)
    assert calls == [BODY, BODY]
