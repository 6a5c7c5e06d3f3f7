"""Probes of health endpoints, sent when requests give too little evidence.

A probe is weak evidence: a health endpoint may report an outdated state, or answer
while requests hang. See `ServerHealth.record_probe_result` for how much a probe counts.
"""

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import NamedTuple

from balsamspindle.backend_servers.answer_terms import AnswerTerms
from balsamspindle.backend_servers.client import (
    BackendAnswer,
    BackendFailure,
    BackendServerClient,
)
from balsamspindle.backend_servers.evidence import ProbeResult
from balsamspindle.backend_servers.health_monitor import HealthMonitor
from balsamspindle.backend_servers.servers import (
    LocalBackendServer,
    LocalBackendServers,
)
from balsamspindle.protocol.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from balsamspindle.protocol.outcomes import Execution, Reason

__all__ = ["PROBE_INTERVAL_S", "Prober"]

PROBE_INTERVAL_S = 1.0
PROBE_TIMEOUT_MS = 1000
PROBE_THREADS_MAX = 4
PROBE_BODY_MAX_BYTES = 64 * 1024
PASSED_STATUS_END = 300


class StatusChecks(NamedTuple):
    """What a `Prober` does before a status check, and with the headers of its answer.

    Attributes
    ----------
    terms : AnswerTerms or None
        Records what the backend server announces of itself.
    on_misdirected : callable
        Called with the id of a backend server whose address now belongs to another one.
    may_send : callable
        Takes a backend server and the present time; returns whether a limit that the
        backend server names allows one more request, and counts it.
    """

    names: HeaderNames = DEFAULT_HEADER_NAMES
    terms: AnswerTerms | None = None
    on_misdirected: Callable[[str], None] = lambda server_id: None
    may_send: Callable[[LocalBackendServer, float], bool] = lambda *_: True

    def is_own_answer(
        self,
        server: LocalBackendServer,
        result: BackendAnswer | BackendFailure,
        sent_s: float,
    ) -> bool:
        """Return whether the backend server itself answered; record its terms if so."""
        if self.names.backend_server_id and isinstance(result, BackendAnswer):
            answered_id = result.header(self.names.backend_server_id)
            if answered_id not in (None, server.backend_server_id):
                self.on_misdirected(server.backend_server_id)
                return False
        if self.terms is not None:
            self.terms.record(server, result.headers, result, sent_s, is_probe=True)
        return True


class Prober:
    """Probes the backend servers of this node that lack evidence from requests.

    Parameters
    ----------
    probe_path : callable
        Returns the path of a service's health endpoint.
    checks : StatusChecks, default=one that permits all checks and reads no headers
    """

    def __init__(
        self,
        servers: LocalBackendServers,
        monitor: HealthMonitor,
        client: BackendServerClient,
        probe_path: Callable[[str], str],
        checks: StatusChecks | None = None,
    ) -> None:
        self._checks = checks or StatusChecks()
        self._servers = servers
        self._monitor = monitor
        self._client = client
        self._probe_path = probe_path
        self._stopped = threading.Event()

    def run(self) -> None:
        """Send probes until `stop` is called."""
        with ThreadPoolExecutor(PROBE_THREADS_MAX, "probe") as executor:
            while not self._stopped.wait(PROBE_INTERVAL_S):
                # `list` waits for all probes of the round. Otherwise the probes of a
                # hanging backend server would accumulate in the executor's queue.
                server_ids = self._monitor.servers_to_probe(time.monotonic())
                list(executor.map(self._probe, server_ids))

    def stop(self) -> None:
        """Make `run` return after the present round of probes."""
        self._stopped.set()

    def _probe(self, backend_server_id: str) -> None:
        with self._servers.changed:
            server = self._servers.get(backend_server_id)
        if server is None or not self._checks.may_send(server, time.monotonic()):
            return
        sent_s = time.monotonic()
        result = self._client.call(
            server.announcement.address,
            "GET",
            self._probe_path(server.announcement.service),
            [],
            b"",
            Execution.IDEMPOTENT,
            PROBE_TIMEOUT_MS,
            may_resend=lambda cause: self._checks.may_send(server, time.monotonic()),
            body_max_bytes=PROBE_BODY_MAX_BYTES,
        )
        if not self._checks.is_own_answer(server, result, sent_s):
            return
        if isinstance(result, BackendFailure) and result.resend_cause is not None:
            return
        self._monitor.record_probe_result(
            backend_server_id, _probe_result(result), time.monotonic()
        )


def _probe_result(result: BackendAnswer | BackendFailure) -> ProbeResult:
    match result:
        case BackendAnswer(status) if status < PASSED_STATUS_END:
            return ProbeResult.PASSED
        case BackendFailure(Reason.UNREACHABLE):
            return ProbeResult.UNREACHABLE
    return ProbeResult.FAILED
