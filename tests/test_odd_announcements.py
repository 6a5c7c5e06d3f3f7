"""Announcements that no backend server sends, at both addresses that take them."""

import io
import json
import time

import pytest
from werkzeug.test import Client

from balsamspindle.backend_servers.lifetimes import Lifetimes
from balsamspindle.backend_servers.servers import (
    BackendServerState,
    LocalBackendServers,
)
from balsamspindle.drains import OwnDrains
from balsamspindle.node.admin import AdminApplication
from balsamspindle.platform.announcements import (
    BODY_MAX_BYTES,
    BORN_AHEAD_MAX_MS,
    AnnouncementApplication,
    check_born,
)
from balsamspindle.platform.values import PlatformFormatError, parse_duration_ms
from balsamspindle.protocol.decoding import MESSAGE_MAX_CHARACTERS
from balsamspindle.timeline import EventLog, HybridClock
from tests.odd_inputs import ODD_BODIES, ODD_NUMBERS, ODD_PORTS

BORN = 1_700_000_000_000
ODD_ADDRESSES = [
    *(f"10.0.0.1:{port}" for port in ODD_PORTS),
    "10.0.0.256:80",
    "999.1.1.1:80",
    "node.example:80",
    "10.0.0.٣:80",
    "",
]
ODD_IDS = ["i" * 201, "i%0d%0aX:1", "i%201", "%FF%FE", "%D0%BA%D0%BB%D1%8E%D1%87"]


def replaced(value: dict, field: str, raw: str) -> bytes:
    """Return the JSON of a value in which one field, such as "a.b", is other JSON."""
    *parents, name = field.split(".")
    copy = json.loads(json.dumps(value))
    inner = copy
    for parent in parents:
        inner = inner[parent]
    inner[name] = "RAW"
    return json.dumps(copy).replace('"RAW"', raw).encode()


class Gate:
    """The parts of a node that take announcements, at both addresses."""

    def __init__(self):
        self.events = EventLog("n", 1, HybridClock(), io.StringIO())
        self.servers = LocalBackendServers()
        self.lifetimes = Lifetimes(self.servers, self.events)
        self.ignored = []
        drains = OwnDrains(
            "n",
            1,
            self.events,
            share=lambda shared: drains.record_kept(shared.version),
        )
        drains.restore(None, from_store=True)
        self.control = Client(
            AnnouncementApplication(
                self.lifetimes, drains, on_ignored=self.ignored.append
            )
        )
        self.admin = Client(
            AdminApplication(self.servers, dict, lambda service: None, self.events)
        )
        self.sequence = 0

    def beat(self, state="ready", born=BORN):
        self.sequence += 1
        body = json.dumps(self.body(state, born)).encode()
        return self.control.put("/instances/i-1", data=body).status_code

    def body(self, state="ready", born=BORN):
        return {
            "address": "10.0.0.1:8080",
            "info": {"service": "a", "slots": 3},
            "status": {
                "state": state,
                "sequence": self.sequence,
                "cold_remaining": "0ms",
            },
            "born": born,
        }

    def state(self):
        [server] = self.servers.all()
        return server.state


def odd_announcements() -> list[bytes]:
    gate = Gate()
    gate.sequence = 7
    sound = gate.body()
    born_ms = int(time.time() * 1000)
    return [
        *ODD_BODIES.values(),
        *(replaced(sound, "address", json.dumps(one)) for one in ODD_ADDRESSES),
        *(replaced(sound, "status.sequence", one) for one in ODD_NUMBERS),
        *(replaced(sound, "born", one) for one in ODD_NUMBERS),
        replaced(sound, "born", str(born_ms + 2 * BORN_AHEAD_MAX_MS)),
        *(replaced(sound, "info.slots", one) for one in (*ODD_NUMBERS, "0", "10001")),
        *(
            replaced(sound, "status.cold_remaining", f'"{one}"')
            for one in ("9" * 400 + "s", "9" * 30 + "ms", "٣s", "-1s", "1e5s", "NaN")
        ),
        replaced(sound, "status.state", '"' + "x" * 20_000 + '"'),
        replaced(sound, "info", "[" * 20_000 + "]" * 20_000),
        replaced(sound, "info", "[" * 60 + "]" * 60),
    ]


@pytest.mark.parametrize("server_id", ["i-1", "i-2"])
def test_an_odd_announcement_names_no_server_and_the_next_real_one_counts(server_id):
    """Guards against odd values that hide a server's later starts and announcements."""
    gate = Gate()
    assert gate.beat() == 200
    odd = odd_announcements()
    for number, body in enumerate(odd):
        answer = gate.control.put(f"/instances/{server_id}", data=body)
        assert answer.status_code == 400, body[:200]
        assert len(gate.ignored) == number + 1
        assert len(gate.ignored[-1]) <= MESSAGE_MAX_CHARACTERS + 3
    assert [one.backend_server_id for one in gate.servers.all()] == ["i-1"]
    assert gate.beat() == 200
    assert gate.state() is BackendServerState.READY
    assert gate.beat("draining") == 200
    assert gate.state() is BackendServerState.DRAINING
    # A new start of the server gets work.
    assert gate.beat(born=int(time.time() * 1000)) == 200
    assert gate.state() is BackendServerState.READY


def test_an_odd_leave_drains_nothing():
    """Guards against an odd start time after which no real start gets work."""
    gate = Gate()
    assert gate.beat() == 200
    bodies = {
        name: body for name, body in ODD_BODIES.items() if body not in (b"", b"{}")
    }
    bodies |= {number: b'{"born": %s}' % number.encode() for number in ODD_NUMBERS}
    for name in ("duplicate keys", "long name", "non-ASCII digits", "lone surrogate"):
        # Fields without a meaning are passed over, as later releases may add some.
        del bodies[name]
    for body in bodies.values():
        answer = gate.control.delete("/instances/i-1", data=body)
        assert answer.status_code == 400, body[:200]
    assert gate.state() is BackendServerState.READY
    assert gate.beat() == 200


@pytest.mark.parametrize("server_id", ODD_IDS)
def test_an_odd_id_names_no_server(server_id):
    """Guards against ids that can't be sent in a header, or fill peers' messages."""
    gate = Gate()
    body = json.dumps(gate.body()).encode()
    for answer in (
        gate.control.put(f"/instances/{server_id}", data=body),
        gate.control.delete(f"/instances/{server_id}"),
    ):
        assert answer.status_code == 400
    assert gate.servers.all() == []


def test_a_body_above_the_limit_is_refused():
    """Guards against a body that fills the memory of the node."""
    gate = Gate()
    answer = gate.control.put("/instances/i-1", data=b" " * (BODY_MAX_BYTES + 1))
    assert answer.status_code == 413


def test_a_start_shortly_ahead_of_the_clock_counts():
    """Guards against a server without work after the clock of its VM was set back."""
    now_unix_ms = 1_800_000_000_000
    for born in (0, 1, now_unix_ms, now_unix_ms + BORN_AHEAD_MAX_MS):
        check_born(born, now_unix_ms)
    with pytest.raises(PlatformFormatError):
        check_born(now_unix_ms + BORN_AHEAD_MAX_MS + 1, now_unix_ms)


def test_a_duration_that_no_wait_can_last_is_rejected():
    """Guards against a timeout for which a wait raises an exception."""
    for text in ("9" * 400 + "s", "9" * 300 + "ms", "9999999999999s", "٣s"):
        with pytest.raises(PlatformFormatError):
            parse_duration_ms(text)
    assert parse_duration_ms("31536000s") == 31536000000.0


@pytest.mark.parametrize("address", ["announce", "accepted"])
def test_odd_calls_of_the_admin_address_are_refused(address):
    """Guards against an odd body that gets an unexpected error, or names a server."""
    gate = Gate()
    sound = {"service": "a/b", "address": "10.0.0.1:80", "slots": 3, "boot_id": "1"}
    bodies = list(ODD_BODIES.values())
    if address == "announce":
        bodies += [replaced(sound, "address", json.dumps(one)) for one in ODD_ADDRESSES]
        bodies += [replaced(sound, "slots", one) for one in ODD_NUMBERS]
        bodies += [replaced(sound, "service", f'"{"x" * 30_000}"')]
        bodies += [replaced(sound, "boot_id", f'"{"x" * 30_000}"')]
    for body in bodies:
        if address == "announce":
            answer = gate.admin.put("/backend-servers/i-1", data=body)
        else:
            answer = gate.admin.post("/settings/accepted", data=body)
        assert answer.status_code == 400, body[:200]
        assert answer.json["error"]
        assert len(answer.data) < 2000, body[:200]
    assert gate.servers.all() == []
