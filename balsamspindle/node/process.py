"""One node process: assembles its parts, runs their tasks and shuts them down."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import zmq

from balsamspindle.membership import Directory, Member
from balsamspindle.node.admin import AdminApplication
from balsamspindle.node.admin_server import AdminServer
from balsamspindle.node.allocator import limit_allocator
from balsamspindle.node.crash_parts import CrashParts
from balsamspindle.node.customer_parts import CustomerParts
from balsamspindle.node.drain_parts import DrainParts
from balsamspindle.node.floor_events import FloorEvents
from balsamspindle.node.gate_budgets import GateBudgets
from balsamspindle.node.gate_parts import GateParts
from balsamspindle.node.gauges import NodeGauges
from balsamspindle.node.graceful_shutdown import GracefulShutdown
from balsamspindle.node.integration import Integration
from balsamspindle.node.settings_tasks import SettingsTasks
from balsamspindle.node.settings_watch import LoadSettings, SettingsWatch
from balsamspindle.node.status import NodeStatus
from balsamspindle.node.store_eras import NodeEras
from balsamspindle.node.store_parts import StoreParts
from balsamspindle.requests.claims import ClaimsTable
from balsamspindle.requests.forwarding import Forwarder
from balsamspindle.requests.ingress import Ingress
from balsamspindle.requests.link_pool import CONTEXT_SOCKETS_MAX, LinkPool
from balsamspindle.requests.retries import RetryPolicy
from balsamspindle.requests.zone_hints import ZoneHints
from balsamspindle.services.explanation import ServiceExplanation, explain_service
from balsamspindle.services.picker import Picker
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.documents import ServiceDocument
from balsamspindle.settings.process import NodeSettings
from balsamspindle.tables.proof_clock import proof_time_s
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import NodeRecord, SuspectHint
from balsamspindle.wire.security import start_authenticator

__all__ = ["NodeProcess"]

HOUSEKEEPING_INTERVAL_S = 1.0
LINGER_MS = 300
_DEFAULT_SERVICE = ServiceDocument()
DEFAULT_INTEGRATION = Integration()


class NodeProcess:
    """A complete node: ingress, gate and member."""

    def __init__(
        self, settings: NodeSettings, integration: Integration = DEFAULT_INTEGRATION
    ) -> None:
        self._settings = settings
        self._integration = integration
        self._stop_requested = threading.Event()
        incarnation = int(time.time() * 1000)
        clock = HybridClock(settings.wall_clock_offset_s)
        self.events = EventLog(
            settings.node_id, incarnation, clock, integration.log_stream
        )
        limit_allocator(self.events)
        self._eras = NodeEras(self.events)
        self._extra_servers: list[AdminServer] = []
        self._settings_watch: SettingsWatch | None = None
        self._context = zmq.Context()
        self._context.max_sockets = CONTEXT_SOCKETS_MAX
        self._authenticator = start_authenticator(self._context, settings.fleet_keys)
        self._directory = Directory()
        self._configuration = CurrentConfiguration()
        own = settings.own_record(incarnation)
        self._crash_parts = CrashParts(
            own,
            self._directory,
            self.events,
            lambda address, update: self._member.send(address, update),
        )
        self._gate_parts = GateParts(
            settings,
            self._service_document,
            GateBudgets(self._directory, self._service_document).retry_budget,
            self._context,
            self.events,
            self._crash_parts.history,
            self._crash_parts.share,
            self._count_in_zone,
        )
        self.lifetimes = self._gate_parts.lifetimes
        self._member = Member(
            self._context,
            settings,
            own,
            self._directory,
            self._configuration,
            self._gate_parts.records,
            self.events,
        )
        self._crash_parts.connect(self._member)
        self._links = LinkPool(self._context, self.events, settings.fleet_keys)
        self._customer_parts = CustomerParts(
            settings,
            own,
            self._directory,
            self._member,
            self._configuration,
            self.events,
            lambda: self._settings_tasks.renew_proof(),
            self._links,
            self._gate_parts.link_server,
        )
        self._eras.connect(own, self._directory, self._member)
        store_parts = StoreParts(
            settings, own, self._directory, self.events, self._eras
        )
        self._drain_parts = DrainParts(
            own,
            self._directory,
            self._member,
            self.events,
            store_parts.tables("drains"),
            self._eras,
            self.lifetimes.restore,
        )
        self.drains = self._drain_parts.drains
        claims = store_parts.claims_table()
        self._make_ingress(own, claims)
        self._settings_tasks = SettingsTasks(
            settings,
            own,
            self._directory,
            self._member,
            self._configuration,
            self.events,
            integration.operator_row,
            self._eras.known,
            self._customer_parts.record_read,
        )
        self._registry = store_parts.registry(self._member)
        self._crash_parts.quarantine_store = store_parts.quarantine_store(
            self._crash_parts.history, self._crash_parts.share
        )
        self._restorer = store_parts.claim_restorer(
            claims,
            self._gate_parts.gate.begin_claim_era,
            lambda: self._member.isolated,
        )
        self._guards = [*self._settings_tasks.guards, *store_parts.guards]
        self._admin = self._make_admin_server()

    def stop(self) -> None:
        """Request a graceful shutdown; safe in a signal handler."""
        self._stop_requested.set()

    def serve(self, address: str, application) -> None:
        """Serve an application at an additional address; call it before `run`.

        Parameters
        ----------
        application : WSGI application
        """
        self._extra_servers.append(AdminServer(address, application, self.events))

    def watch_settings(self, path: Path, load: LoadSettings) -> None:
        """Reload the settings file whenever it changes; call it before `run`."""
        self._settings_watch = SettingsWatch(
            path, load, self._settings, self._apply_settings
        )

    def reload(self) -> None:
        """Reload the settings file now; safe in a signal handler."""
        if self._settings_watch is not None:
            self._settings_watch.wake()

    def is_ready(self) -> bool:
        """Return whether a load balancer may send callers to this node."""
        return (
            self._ingress.accepting()
            and not self._stop_requested.is_set()
            and self._configuration.get() is not None
            and not self._links.is_exhausted(time.monotonic())
        )

    def run(self) -> None:
        """Serve until `stop` is called, then shut down gracefully."""
        tasks = [
            self._member.run,
            *self._gate_parts.tasks(),
            lambda: self._ingress.run(self._can_serve),
            self._admin.serve_forever,
            *self._settings_tasks.tasks(),
            *self._customer_parts.tasks(),
            *self._drain_parts.tasks(),
            *(part.run for part in self._optional_parts() if part is not None),
            *(server.serve_forever for server in self._extra_servers),
        ]
        with ThreadPoolExecutor(len(tasks), "task") as executor:
            for task in tasks:
                executor.submit(self._run_task, task)
            self.events.emit("node_started", zone=self._settings.availability_zone)
            while not self._stop_requested.wait(HOUSEKEEPING_INTERVAL_S):
                now_s = time.monotonic()
                self._gate_parts.remove_silent(now_s)
                self._customer_parts.refresh(now_s)
                self._links.close_unused(now_s)
                self._drain_parts.deliver()
            self._shut_down()
        # Wait at most `LINGER_MS` until the messages still queued on links are sent.
        self._context.destroy(linger=LINGER_MS)

    def _optional_parts(self) -> tuple:
        """Return the parts with a task that not every node has; None for the others."""
        return (
            self._registry,
            self._crash_parts.quarantine_store,
            self._restorer,
            self._settings_watch,
        )

    def may_be_defined(self, service: str) -> bool:
        """Return whether a service is defined; True while no settings are in force."""
        configuration = self._configuration.get()
        return configuration is None or service in configuration.services

    def _can_serve(self) -> bool:
        """Return whether requests can be admitted and each service has a gate."""
        now_s, proof_now_s = time.monotonic(), proof_time_s()
        configuration = self._customer_parts.ready_configuration(now_s, proof_now_s)
        return configuration is not None and all(
            map(self._directory.placements, configuration.services)
        )

    def _run_task(self, task) -> None:
        """Run a task; if it fails, stop the whole process."""
        try:
            task()
        except Exception as error:
            self.events.emit("task_failed", cause=repr(error))
            self.stop()
            raise

    def _shut_down(self) -> None:
        """Shut down gracefully, then end all tasks."""
        # Stop writing quarantines first. If the store does not answer, a running write
        # may take two seconds. At the end of the shutdown, less time remains.
        self._crash_parts.stop()
        shutdown = GracefulShutdown(
            self._settings,
            self.events,
            self._member,
            self._ingress,
            self._gate_parts.gate,
            self._gate_parts.link_server,
            self._forwarder,
        )
        shutdown.run()
        self._end_tasks()
        self.events.emit("node_stopped")

    def _end_tasks(self) -> None:
        """End all tasks and threads, because a running one would block the exit."""
        self._settings_tasks.stop()
        self._customer_parts.stop()
        self._drain_parts.stop()
        for part in self._optional_parts():
            if part is not None:
                part.stop()
        self._member.stop()
        servers = (self._admin, *self._extra_servers)
        # The servers are shut down in parallel, because each call of `shutdown` blocks
        # until the loop of its server has ended.
        with ThreadPoolExecutor(len(servers), "shutdown") as executor:
            list(executor.map(AdminServer.shutdown, servers))
        if self._authenticator is not None:
            self._authenticator.stop()
        self._connections.shutdown(wait=False)
        self._gate_parts.stop()

    def _count_in_zone(self, service: str) -> int:
        zone = self._settings.availability_zone
        return sum(
            placement.node.availability_zone == zone
            for placement in self._directory.placements(service)
        )

    def _make_ingress(self, own: NodeRecord, claims: ClaimsTable) -> None:
        """Create the parts that handle callers' requests until they reach a gate."""
        self._picker = Picker(
            own,
            self._directory,
            self._configuration,
            FloorEvents(self.events).report,
        )
        self._hints = ZoneHints(
            own,
            self._directory,
            self._member.send,
            lambda: self._forwarder.held_out_servers,
        )
        self._connections = ThreadPoolExecutor(self._settings.connections_max, "caller")
        self._retries = RetryPolicy(
            lambda service: self._service_document(service).retry_budget
        )
        self._forwarder = Forwarder(
            own,
            self._picker,
            self._gate_parts.gate,
            self._links,
            self.events,
            claims,
            self._retries,
            on_hold_out=self._hints.share,
            crash_history=self._crash_parts.history,
            service_document=self._service_document,
        )
        self._member.register({SuspectHint: self._hints.receive})
        self._ingress = Ingress(
            self._settings,
            self._configuration,
            self._forwarder,
            self._connections,
            self.events,
            self._gate_parts.failed_calls.record,
            self._customer_parts.admission,
        )

    def _make_admin_server(self) -> AdminServer:
        self._gauges = NodeGauges(
            self._configuration,
            self._directory,
            self._gate_parts.servers,
            self._gate_parts.admission,
            self._gate_parts.health,
            self._retries,
            self._gate_parts.grants,
            self._member,
            self._guards,
            self._crash_parts.history,
            self._gate_parts.terms,
            self._gate_parts.gate,
            self._forwarder.room_levels,
        )
        application = AdminApplication(
            self._gate_parts.servers,
            self._status,
            self._explain_service,
            self.events,
            self._settings_tasks.read_accepted,
            lambda: self._gauges.read(time.monotonic()),
        )
        return AdminServer(self._settings.admin_address, application, self.events)

    def _apply_settings(self, settings: NodeSettings) -> None:
        """Apply the settings that may change while the process runs."""
        self._ingress.caller_service = settings.caller_service
        self.events.emit("settings_file_taken", caller_service=settings.caller_service)

    def _service_document(self, service: str) -> ServiceDocument:
        """Return a service's settings; defaults if no settings in force define it."""
        configuration = self._configuration.get()
        if configuration is None:
            return _DEFAULT_SERVICE
        return configuration.services.get(service, _DEFAULT_SERVICE)

    def _status(self) -> NodeStatus:
        return NodeStatus(
            self._settings.node_id,
            self._settings.availability_zone,
            self._configuration.revision,
            self._directory.records(),
            list(self._gate_parts.records()),
            self._settings_tasks.status(),
            self._ingress.accepting(),
            self.events.metrics.report(),
        )

    def _explain_service(self, service: str) -> ServiceExplanation:
        configuration = self._configuration.get()
        return explain_service(
            service,
            self._settings.node_id,
            self._configuration.revision,
            configuration is not None and service in configuration.services,
            self._directory.placements(service),
            self._picker.floor_decision(service),
            self._gate_parts.health.reports(time.monotonic()),
        )
