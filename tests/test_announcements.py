"""Announcements by the platform's backend servers, and by other programs."""

import json
import time

from testtools import TestCase
from werkzeug.test import Client

from balsamspindle.backend_servers import lifetimes
from balsamspindle.backend_servers.lifetimes import Lifetimes
from balsamspindle.backend_servers.servers import (
    ANNOUNCEMENT_TTL_S,
    BackendServerState,
    LocalBackendServers,
)
from balsamspindle.drains import OwnDrains
from balsamspindle.platform.announcements import AnnouncementApplication

URL = "/instances/i-1"


class _NoEvents:
    def emit(self, event, **fields):
        return 0


def announcement(born=1_700_000_000_000, **changes):
    """Return an announcement with some fields replaced; None omits a field."""
    parts = {
        "address": "10.0.0.1:8080",
        "info": {"service": "a", "version": "v1", "zone": "z", "slots": 3},
        "status": {"state": "ready", "sequence": 1, "cold_remaining": "0ms"},
        "born": born,
    }
    parts |= changes
    return {name: value for name, value in parts.items() if value is not None}


class AnnouncementTests(TestCase):
    def setUp(self):
        super().setUp()
        self.servers = LocalBackendServers()
        self.ignored = []
        drains = OwnDrains(
            "node",
            1,
            _NoEvents(),
            share=lambda shared: drains.record_kept(shared.version),
        )
        drains.restore(None, from_store=True)
        self.client = Client(
            AnnouncementApplication(
                Lifetimes(self.servers, _NoEvents()),
                drains,
                lambda service: service == "operator/a",
                self.ignored.append,
            )
        )

    def put(self, body, url=URL):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        return self.client.put(url, data=data).status_code

    def states(self):
        return {server.backend_server_id: server.state for server in self.servers.all()}

    def test_a_restart_under_the_same_id_is_recognised_by_its_start_time(self):
        self.assertEqual(200, self.put(announcement()))
        self.assertEqual(200, self.client.delete(URL).status_code)
        born = time.time_ns() // 1_000_000 + 1
        self.assertEqual(200, self.put(announcement(born=born)))
        self.assertEqual({"i-1": BackendServerState.READY}, self.states())

    def test_a_leave_that_names_an_earlier_start_is_ignored(self):
        # Guards against a delayed leave message of an earlier start that removes the
        # backend server's current start.
        self.put(announcement())
        body = json.dumps({"born": 1_600_000_000_000})
        self.assertEqual(503, self.client.delete(URL, data=body).status_code)
        self.assertEqual({"i-1": BackendServerState.READY}, self.states())

    def test_a_drain_is_not_confirmed_while_a_later_start_hides_it(self):
        """Guards against a confirmation of a drain that the gate has ignored."""
        draining = announcement(status={"state": "draining", "sequence": 9})
        self.put(announcement(born=1_700_000_005_000))
        self.assertEqual(503, self.put(draining))
        self.assertEqual({"i-1": BackendServerState.READY}, self.states())
        # No announcement of the later start has followed.
        self.patch(lifetimes, "REPLACED_SILENT_S", 0.0)
        self.assertEqual(200, self.put(draining))
        self.assertEqual({"i-1": BackendServerState.DRAINING}, self.states())

    def test_a_drain_that_an_operator_ended_is_in_force_once_it_is_confirmed_again(
        self,
    ):
        """Guards against a repeated drain that is confirmed without effect."""
        for sequence in (1, 2):
            status = {"state": "draining", "sequence": sequence}
            self.assertEqual(200, self.put(announcement(status=status)))
            self.assertEqual({"i-1": BackendServerState.DRAINING}, self.states())
            self.servers.undrain("i-1")

    def test_a_late_drain_of_a_silent_backend_server_holds(self):
        """Guards against a confirmed drain that the next announcement ends."""
        self.put(announcement())
        self.servers.remove_silent(time.monotonic() + ANNOUNCEMENT_TTL_S + 1)
        status = {"state": "draining", "sequence": 1}
        self.assertEqual(200, self.put(announcement(status=status)))
        status = {"state": "ready", "sequence": 2}
        self.assertEqual(200, self.put(announcement(status=status)))
        self.assertEqual({"i-1": BackendServerState.DRAINING}, self.states())

    def test_invalid_announcements_by_other_programs_are_rejected(self):
        # Guards against a backend server that is removed or replaced by the requests of
        # another program. This program runs on the VM and sends requests to the same
        # address, some of them with the id of the running backend server.
        self.put(announcement())
        foreign = [
            announcement(address=None),
            announcement(address=7),
            announcement(address="somewhere"),
            announcement(info={"service": "a"}),
            announcement(info={"service": "unheard-of", "slots": 3}),
            announcement(info={"service": "a", "slots": "3"}),
            announcement(info={"service": "a", "slots": 0}),
            announcement(status={"state": "resting", "sequence": 9}),
            announcement(status={"state": "ready", "sequence": "9"}),
            announcement(status={"state": "ready", "sequence": 9.5}),
            announcement(status={"state": "ready", "sequence": 9, "cold_remaining": 3}),
            announcement(born="yesterday"),
            announcement(born=1.5),
            announcement(born=True),
            [],
            b"\xff\xfe{",
            b"",
        ]
        for body in foreign:
            for url in (URL, "/instances/i-2"):
                self.assertEqual(400, self.put(body, url), body)
        self.assertEqual({"i-1": BackendServerState.READY}, self.states())
        self.assertEqual(2 * len(foreign), len(self.ignored))
