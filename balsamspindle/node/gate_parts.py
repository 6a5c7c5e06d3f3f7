"""Creates the parts of a node that run attempts at its backend servers."""

import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import zmq

from balsamspindle.backend_servers.admission import Admission
from balsamspindle.backend_servers.answer_memory import AnswerMemory
from balsamspindle.backend_servers.answer_terms import AnswerTerms
from balsamspindle.backend_servers.client import BackendServerClient
from balsamspindle.backend_servers.crash_watch import CrashWatch
from balsamspindle.backend_servers.failed_calls import FailedCalls
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.handle_pool import StrayAnswer
from balsamspindle.backend_servers.health_monitor import HealthMonitor
from balsamspindle.backend_servers.hold_outs import ZoneDetection
from balsamspindle.backend_servers.lifetimes import Lifetimes
from balsamspindle.backend_servers.link_server import LinkServer
from balsamspindle.backend_servers.probes import Prober, StatusChecks
from balsamspindle.backend_servers.retry_grants import RetryGrants
from balsamspindle.backend_servers.servers import LocalBackendServers
from balsamspindle.backend_servers.status_check_pacing import StatusCheckPacing
from balsamspindle.backend_servers.terms_table import TermsTable
from balsamspindle.crashes.history import CrashHistory
from balsamspindle.crashes.records import CrashUpdate
from balsamspindle.settings.documents import RetryBudget, ServiceDocument
from balsamspindle.settings.process import NodeSettings
from balsamspindle.timeline import EventLog
from balsamspindle.wire import BackendServerRecord

__all__ = ["GateParts"]

GATE_WORKERS_MAX = 256


class GateParts:
    """The gate of a node, with its backend servers, their health and its link server.

    Parameters
    ----------
    service_document : callable
        Returns the settings of a service that are in force.
    retry_budget : callable
        Returns a service's retry budget at a given time, with this gate's portion of
        the fleet's retries.
    crash_history : CrashHistory, default=an empty one
        Records of requests that crash backend servers.
    on_crash_update : callable
        Called with each update that the gate makes to `crash_history`, and the
        current time.
    count_in_zone : callable
        Returns the number of a service's backend servers in this node's zone.

    Attributes
    ----------
    failed_calls : FailedCalls
        Time at which the ingress last answered a caller with a failure; the ingress
        records it.
    link_server : LinkServer
        Receives attempts from other nodes.
    """

    def __init__(
        self,
        settings: NodeSettings,
        service_document: Callable[[str], ServiceDocument],
        retry_budget: Callable[[str, float], RetryBudget],
        context: zmq.Context,
        events: EventLog,
        crash_history: CrashHistory | None = None,
        on_crash_update: Callable[[CrashUpdate, float], None] = lambda update, now_s: (
            None
        ),
        count_in_zone: Callable[[str], int] = lambda service: 1,
    ) -> None:
        self._events = events
        crash_history = crash_history or CrashHistory(lambda service: 1)
        self.servers = LocalBackendServers(settings.announcement_ttl_s)
        self.lifetimes = Lifetimes(self.servers, events)
        self.terms = TermsTable(self.lifetimes.record_announced_leaving)
        self.admission = Admission(self.servers, service_document, self.terms)
        self.failed_calls = FailedCalls()
        self.grants = RetryGrants(retry_budget)
        client = BackendServerClient(
            settings.answer_body_max_bytes,
            settings.headers,
            settings.takes_unframed_answers,
            AnswerMemory(on_full=self._report_full_memory),
            self._report_stray_answer,
        )
        self.health = HealthMonitor(
            self.servers,
            ZoneDetection(
                lambda service: service_document(service).detection, count_in_zone
            ),
            events,
            crash_history.ran_quarantined_request,
        )
        self._prober = Prober(
            self.servers,
            self.health,
            client,
            lambda service: service_document(service).probe_path,
            StatusChecks(
                settings.headers,
                AnswerTerms(self.servers, self.terms, events, settings.headers),
                self.lifetimes.record_misdirected,
                StatusCheckPacing(self.admission).may_send,
            ),
        )
        crash_watch = CrashWatch(events, crash_history, on_crash_update)
        self.servers.on_replaced = crash_watch.record_replacement
        self.gate = Gate(
            self.servers,
            client,
            events,
            self.health,
            self.admission,
            settings.headers,
            self.lifetimes.record_misdirected,
            self.failed_calls,
            self.grants,
            crash_history,
            crash_watch,
        )
        self._executor = ThreadPoolExecutor(GATE_WORKERS_MAX, "gate")
        self.link_server = LinkServer(
            context,
            settings.link_address,
            self.gate,
            self._executor,
            events,
            settings.fleet_keys,
        )

    def tasks(self) -> list[Callable[[], None]]:
        """Return the tasks, each to be run in its own thread until `stop` is called."""
        return [self._serve_links, self.health.run, self._prober.run]

    def _serve_links(self) -> None:
        """Run the link server, then end the threads that run attempts.

        If the threads ended before the link server, an attempt that arrives while the
        node stops would be lost. The caller would get the outcome unknown, although no
        backend server ran the request.
        """
        self.link_server.run()
        self._executor.shutdown(wait=False)

    def stop(self) -> None:
        """Make the tasks end soon."""
        self.link_server.stop()
        self.health.stop()
        self._prober.stop()

    def records(self) -> tuple[BackendServerRecord, ...]:
        """Return the current record of each backend server, as sent to other nodes."""
        now_s = time.monotonic()
        return self.servers.records(
            lambda server: self.admission.capacity(server, now_s)
        )

    def _report_full_memory(self, reserved_bytes: int) -> None:
        self._events.emit("answer_memory_full", reserved_bytes=reserved_bytes)

    def _report_stray_answer(self, stray: StrayAnswer) -> None:
        self._events.emit(
            "stray_answer",
            address=stray.address,
            request=stray.request_id or None,
            detail=stray.detail,
            may_keep=stray.may_keep,
        )

    def remove_silent(self, now_s: float) -> None:
        """Remove the backend servers that stopped announcing themselves."""
        for server_id in self.servers.remove_silent(now_s):
            self._events.emit("backend_server_silent", backend_server=server_id)
