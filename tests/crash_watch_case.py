"""One gate whose backend server a test can crash."""

import io
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from testtools import TestCase

from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.crash_watch import CrashWatch
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.lifetimes import AnnouncedStatus, Lifetimes
from balsamspindle.backend_servers.servers import Announcement, LocalBackendServers
from balsamspindle.crashes.history import CrashHistory
from balsamspindle.crashes.records import Crash, CrashedRun, CrashUpdate
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.timeline import EventLog, HybridClock, parse_event
from balsamspindle.wire import AttemptId, Dispatch, checksum
from tests.raw_server import RawServer
from tests.utils import wait_until

__all__ = ["CAUSE", "OTHER", "SERVICE", "SLOTS", "CrashWatchCase"]

SERVICE = "crew/vacancies"
CAUSE, OTHER = 11, 22
SLOTS = 3


class CrashWatchCase(TestCase):
    """One gate with one backend server, which a test can crash."""

    def setUp(self):
        super().setUp()
        self.may_end = threading.Event()
        self.server = RawServer(self._answer)
        self.addCleanup(self.server.close)
        self.addCleanup(self.may_end.set)
        self.servers = LocalBackendServers()
        self._announce("1")
        self.log = EventLog("gate", 7, HybridClock(), io.StringIO())
        self.history = CrashHistory(lambda service: 6)
        self.updates: list[CrashUpdate] = []
        self.watch = CrashWatch(
            self.log, self.history, lambda update, now_s: self.updates.append(update)
        )
        self.gate = self._make_gate()
        self.executor = ThreadPoolExecutor(8)
        self.addCleanup(self.executor.shutdown)

    def _make_gate(self, **options) -> Gate:
        return Gate(
            self.servers,
            BackendServerClient(1000),
            self.log,
            crash_history=self.history,
            crash_watch=self.watch,
            **options,
        )

    def _announce(self, boot_id, now_s=0.0, slots=SLOTS):
        announcement = Announcement(SERVICE, self.server.address, slots, boot_id)
        self.servers.announce("server", announcement, now_s)

    def _announce_another(self, sequence):
        """Announce another backend server at the same address."""
        announcement = Announcement(SERVICE, self.server.address, SLOTS, "")
        self.lifetimes.announce(
            "another", announcement, AnnouncedStatus(sequence), time.monotonic()
        )

    def _announce_first(self):
        self.lifetimes = Lifetimes(self.servers, self.log)
        self.servers.on_replaced = self.watch.record_replacement
        announcement = Announcement(SERVICE, self.server.address, SLOTS, "")
        self.lifetimes.announce(
            "server", announcement, AnnouncedStatus(1), time.monotonic()
        )

    def _answer(self, number):
        """Wait until `may_end` is set, then close the connection without an answer."""
        self.may_end.wait(10.0)
        return b"", False

    def _dispatch(self, sequence, content_hash=CAUSE, **changes):
        fields = {
            "attempt_id": AttemptId("ingress", 1, sequence),
            "request_id": f"id-{sequence}",
            "service": SERVICE,
            "backend_server_id": "server",
            "execution": Execution.IDEMPOTENT,
            "remaining_ms": 5000.0,
            "weight": 1.0,
            "method": "GET",
            "target": "/vacancies/7",
            "headers": [],
            "body": b"",
            "body_checksum": checksum(b""),
            "content_hash": content_hash,
            **changes,
        }
        return Dispatch(**fields)

    def _begin(self, sequence, content_hash=CAUSE, **changes):
        """Start an attempt in another thread."""
        dispatch = self._dispatch(sequence, content_hash, **changes)
        return self.executor.submit(self.gate.handle, dispatch, time.monotonic())

    def _wait_running(self, count):
        wait_until(lambda: len(self.server.requests) >= count, f"{count} run")

    def _crash(self):
        """Stop the backend server with all requests that run there."""
        self.server.close()
        self.may_end.set()

    def _earlier_crashes(self, count, content_hash=CAUSE):
        for number in range(count):
            server_id = f"other-{content_hash}-{number}"
            age_ms = 1000 * (number + 1)
            crash = Crash(
                server_id, 1, SERVICE, age_ms, (CrashedRun(content_hash, 90),)
            )
            self.history.merge(CrashUpdate([crash]), time.monotonic())

    def _logged(self, name):
        events = map(parse_event, self.log.recent(0, 1000).lines)
        return [event for event in events if event["event"] == name]
