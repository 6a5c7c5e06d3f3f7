"""One node process: its tasks, their start and their orderly end."""

import threading
import time
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import zmq

from balsamspindle.membership import Directory, Member
from balsamspindle.node.admin import AdminApplication
from balsamspindle.node.admin_server import AdminServer
from balsamspindle.node.crash_side import CrashSide
from balsamspindle.node.customer_side import CustomerSide
from balsamspindle.node.gate_budgets import GateBudgets
from balsamspindle.node.gate_side import GateSide
from balsamspindle.node.gauges import NodeGauges
from balsamspindle.node.integration import Integration
from balsamspindle.node.orderly_end import OrderlyEnd
from balsamspindle.node.settings_tasks import SettingsTasks
from balsamspindle.node.settings_watch import LoadSettings, SettingsWatch
from balsamspindle.node.status import NodeStatus
from balsamspindle.node.store_eras import NodeEras
from balsamspindle.node.store_parts import StoreParts
from balsamspindle.requests.claims import ClaimsTable
from balsamspindle.requests.forwarding import Forwarder
from balsamspindle.requests.ingress import Ingress
from balsamspindle.requests.links import LinkPool
from balsamspindle.requests.retries import RetryPolicy
from balsamspindle.requests.zone_hints import ZoneHints
from balsamspindle.services.explanation import ServiceExplanation, explain_service
from balsamspindle.services.floor import FloorDecision, Suspect
from balsamspindle.services.picker import Picker
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.documents import ServiceDocument
from balsamspindle.settings.process import NodeSettings
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import NodeRecord, SuspectHint
from balsamspindle.wire.security import start_authenticator

__all__ = ["NodeProcess"]

HOUSEKEEPING_INTERVAL_S = 1.0
FLUSH_MS = 300
_DEFAULT_SERVICE = ServiceDocument()
DEFAULT_INTEGRATION = Integration()


class NodeProcess:
    """All of one node: ingress, gate and member."""

    def __init__(
        self, settings: NodeSettings, integration: Integration = DEFAULT_INTEGRATION
    ) -> None:
        self._settings = settings
        self._integration = integration
        self._stop_asked = threading.Event()
        incarnation = int(time.time() * 1000)
        clock = HybridClock(settings.wall_clock_offset_s)
        self.events = EventLog(
            settings.node_id, incarnation, clock, integration.log_stream
        )
        self._eras = NodeEras(self.events)
        self._served: list[AdminServer] = []
        self._watch: SettingsWatch | None = None
        self._context = zmq.Context()
        self._authenticator = start_authenticator(self._context, settings.fleet_keys)
        self._directory = Directory()
        self._configuration = CurrentConfiguration()
        own = settings.own_record(incarnation)
        self._crashes = CrashSide(
            own,
            self._directory,
            self.events,
            lambda address, update: self._member.send(address, update),
        )
        self._gate_side = GateSide(
            settings,
            self._service_document,
            GateBudgets(self._directory, self._service_document).part,
            self._context,
            self.events,
            self._crashes.history,
            self._crashes.tell,
            self._count_in_zone,
        )
        self.lifetimes = self._gate_side.lifetimes
        self._member = Member(
            self._context,
            settings,
            own,
            self._directory,
            self._configuration,
            self._gate_side.records,
            self.events,
        )
        self._crashes.share(self._member)
        self._links = LinkPool(self._context, self.events, settings.fleet_keys)
        self._customers = CustomerSide(
            settings,
            own,
            self._directory,
            self._member,
            self._configuration,
            self.events,
            lambda: self._settings_tasks.prove(),
            self._links,
            self._gate_side.link_server,
        )
        self._eras.share(own, self._directory, self._member)
        parts = StoreParts(settings, own, self._directory, self.events, self._eras)
        claims = parts.claims_table()
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
            self._customers.record_read,
        )
        self._registry = parts.registry(self._member)
        self._crashes.quarantine_store = parts.quarantine_store(
            self._crashes.history, self._crashes.tell
        )
        self._restorer = parts.claim_restorer(
            claims,
            self._gate_side.gate.begin_claim_era,
            lambda: self._member.isolated,
        )
        self._guards = [*self._settings_tasks.guards, *parts.guards]
        self._admin = self._make_admin_server()

    def stop(self) -> None:
        """Ask for an orderly end; safe in a signal handler."""
        self._stop_asked.set()

    def serve(self, address: str, application) -> None:
        """Answer calls at one more address; call it before `run`.

        Parameters
        ----------
        application : WSGI application
        """
        self._served.append(AdminServer(address, application, self.events))

    def watch_settings(self, path: Path, load: LoadSettings) -> None:
        """Follow changes of the settings file; call it before `run`."""
        self._watch = SettingsWatch(path, load, self._settings, self._adopt)

    def reload(self) -> None:
        """Read the settings file again now; safe in a signal handler."""
        if self._watch is not None:
            self._watch.hurry()

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return (
            self._ingress.accepting()
            and not self._stop_asked.is_set()
            and self._configuration.get() is not None
        )

    def run(self) -> None:
        """Serve until `stop` is called, then end in order."""
        tasks = [
            self._member.run,
            *self._gate_side.tasks(),
            lambda: self._ingress.run(self._ready),
            self._admin.serve_forever,
            *self._settings_tasks.tasks(),
            *self._customers.tasks(),
        ]
        if self._registry is not None:
            tasks.append(self._registry.run)
        if self._crashes.quarantine_store is not None:
            tasks.append(self._crashes.quarantine_store.run)
        if self._restorer is not None:
            tasks.append(self._restorer.run)
        tasks += [server.serve_forever for server in self._served]
        if self._watch is not None:
            tasks.append(self._watch.run)
        with ThreadPoolExecutor(len(tasks), "task") as executor:
            for task in tasks:
                executor.submit(self._guard, task)
            self.events.emit("node_started", zone=self._settings.availability_zone)
            while not self._stop_asked.wait(HOUSEKEEPING_INTERVAL_S):
                now_s = time.monotonic()
                self._gate_side.remove_silent(now_s)
                self._customers.refresh(now_s)
            self._shut_down()
        # Sends what the closed links still hold, for a bounded time.
        self._context.destroy(linger=FLUSH_MS)

    def may_define(self, service: str) -> bool:
        """Tell whether a service may exist: always, before settings are in force."""
        configuration = self._configuration.get()
        return configuration is None or service in configuration.services

    def _ready(self) -> bool:
        """Tell whether settings are in force and each service has a place."""
        configuration = self._configuration.get()
        if configuration is None or not self._customers.is_ready(time.monotonic()):
            return False
        return all(map(self._directory.placements, configuration.services))

    def _guard(self, task) -> None:
        """Run a task; a fault in it ends the process, never half of it."""
        try:
            task()
        except Exception as error:
            self.events.emit("task_failed", cause=repr(error))
            self.stop()
            raise

    def _shut_down(self) -> None:
        """Leave in order, then end all tasks."""
        # Before the rest: a call of it to a store that is silent may last for two
        # seconds, which the node has now and not at its end.
        self._crashes.stop()
        end = OrderlyEnd(
            self._settings,
            self.events,
            self._member,
            self._ingress,
            self._gate_side.gate,
            self._gate_side.link_server,
            self._forwarder,
        )
        end.run()
        self._end_tasks()
        self.events.emit("node_stopped")

    def _end_tasks(self) -> None:
        """End all tasks and threads; none may keep the process alive."""
        self._settings_tasks.stop()
        self._customers.stop()
        if self._registry is not None:
            self._registry.stop()
        if self._restorer is not None:
            self._restorer.stop()
        self._member.stop()
        if self._watch is not None:
            self._watch.stop()
        servers = (self._admin, *self._served)
        # Each waits for its own loop to notice.
        with ThreadPoolExecutor(len(servers), "shutdown") as executor:
            list(executor.map(AdminServer.shutdown, servers))
        if self._authenticator is not None:
            self._authenticator.stop()
        self._connections.shutdown(wait=False)
        self._gate_side.stop()

    def _count_in_zone(self, service: str) -> int:
        zone = self._settings.availability_zone
        return sum(
            placement.node.availability_zone == zone
            for placement in self._directory.placements(service)
        )

    def _note_floor(self, service: str, decision: FloorDecision) -> None:
        """Say who of a service is left out, and whom the floor keeps."""
        self.events.emit(
            "floor_decided",
            service=service,
            cause=decision.cause,
            left_out=_ids(decision.left_out),
            kept=_ids(decision.kept),
            in_use_slots=decision.in_use_slots,
            floor_slots=decision.floor_slots,
        )

    def _make_ingress(self, own: NodeRecord, claims: ClaimsTable) -> None:
        """Make the way of a caller's request, from its connection to a gate."""
        self._picker = Picker(
            own, self._directory, self._configuration, self._note_floor
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
            self._gate_side.gate,
            self._links,
            self.events,
            claims,
            self._retries,
            on_suspect=self._hints.share,
            crash_history=self._crashes.history,
        )
        self._member.register({SuspectHint: self._hints.receive})
        self._ingress = Ingress(
            self._settings,
            self._configuration,
            self._forwarder,
            self._connections,
            self.events,
            self._gate_side.failed_calls.record,
            self._customers.admission,
        )

    def _make_admin_server(self) -> AdminServer:
        self._gauges = NodeGauges(
            self._configuration,
            self._directory,
            self._gate_side.servers,
            self._gate_side.admission,
            self._gate_side.health,
            self._retries,
            self._gate_side.grants,
            self._member,
            self._guards,
            self._crashes.history,
        )
        application = AdminApplication(
            self._gate_side.servers,
            self._status,
            self._explain_service,
            self.events,
            self._settings_tasks.accepted,
            lambda: self._gauges.read(time.monotonic()),
        )
        return AdminServer(self._settings.admin_address, application, self.events)

    def _adopt(self, settings: NodeSettings) -> None:
        """Take what may change of the settings while the process runs."""
        self._ingress.caller_service = settings.caller_service
        self.events.emit("settings_file_taken", caller_service=settings.caller_service)

    def _service_document(self, service: str) -> ServiceDocument:
        """Return a service's settings; defaults for one not in them (yet)."""
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
            list(self._gate_side.records()),
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
            self._gate_side.health.reports(time.monotonic()),
        )


def _ids(suspects: Iterable[Suspect]) -> str | None:
    return ",".join(suspect.backend_server_id for suspect in suspects) or None
