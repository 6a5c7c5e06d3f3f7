"""Heads that connections end, at the clients of the store and of admin addresses."""

import pytest

from balsamspindle.cli.admin_client import AdminClient, NodeUnreachable
from balsamspindle.load.caller import NO_ANSWER, Caller
from balsamspindle.load.plan import Arrival
from balsamspindle.load.schedule import ScheduledCall
from balsamspindle.platform.object_store import HttpObjectStore
from balsamspindle.platform.store import HttpTableService
from balsamspindle.tables import Check, Put, Transaction, Unknown
from tests.raw_server import RawServer

HEAD = b"HTTP/1.1 200 OK\r\n"
CUT = {
    "a status": b"HTTP/1.1 200",
    "a status line": HEAD,
    "a length": HEAD + b"Content-Length: 0\r\n",
    "an era": HEAD + b"Store-Era: 7\r\n",
    "not found": b"HTTP/1.1 404 Not Found\r\n",
    "a conflict": b"HTTP/1.1 412 Precondition Failed\r\n",
    "history lost": b"HTTP/1.1 410 Gone\r\n",
    "an interim head": b"HTTP/1.1 100 Continue\r\n\r\n",
    "an interim head and a status line": b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD,
}
WRITE = Transaction([Check("t", "a", 0)], [Put("t", "a", 1)])


@pytest.fixture
def address_of(request):
    """Return a function that starts a server of given bytes; it returns the address."""

    def start(answer: bytes) -> str:
        server = RawServer(lambda number: (answer, False))
        request.addfinalizer(server.close)
        return server.address

    return start


@pytest.mark.parametrize("name", CUT)
def test_a_store_answer_whose_head_is_cut_is_unknown(address_of, name):
    """Guards against a write or an object that a status line alone proves."""
    address = address_of(CUT[name])
    tables, objects = HttpTableService(address), HttpObjectStore(address)
    results = {
        "get": objects.get("x"),
        "put": objects.put("x", b"y"),
        "transact": tables.transact(WRITE),
        "read": tables.read("t", ["a"]),
        "changes": tables.changes_after("t", 0),
    }
    for call, result in results.items():
        assert result.is_error(), call
        assert isinstance(result.error, Unknown), call
    assert tables.era == 0


def test_an_object_without_a_length_is_no_object(address_of):
    """Guards against half of an object that its connection's end completes."""
    objects = HttpObjectStore(address_of(HEAD + b"\r\nhalf"))
    assert isinstance(objects.get("x").error, Unknown)
    chunks = b"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
    for framed in (chunks, b"content-length:5\r\n\r\nwhole"):
        assert HttpObjectStore(address_of(HEAD + framed)).get("x").ok == b"whole"


@pytest.mark.parametrize("name", CUT)
def test_an_admin_answer_whose_head_is_cut_is_none(address_of, name):
    """Guards against a command that reports success from a status line alone."""
    client = AdminClient(address_of(CUT[name]))
    assert isinstance(client.post("/settings/accepted").error, NodeUnreachable)
    assert isinstance(client.read("/status", dict).error, NodeUnreachable)


def test_a_load_callers_answer_whose_head_is_cut_has_no_outcome(address_of):
    """Guards against an outcome that is counted from a part of a head."""
    outcome = b"X-Balsamspindle-Outcome: not_run\r\n"
    address = address_of(b"HTTP/1.1 503 Busy\r\n" + outcome)
    call = ScheduledCall(0.0, "key", "node", Arrival("read", "/tables", 1.0))
    end = Caller({"node": address}).call(call)
    assert (end.outcome, end.status) == (NO_ANSWER, 0)
