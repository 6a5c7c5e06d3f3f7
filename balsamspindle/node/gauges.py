"""Gauges of a node's current state, exported as metrics beside the counters."""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import NamedTuple

from balsamspindle.backend_servers.admission import Admission
from balsamspindle.backend_servers.gate import Gate
from balsamspindle.backend_servers.health_monitor import HealthMonitor
from balsamspindle.backend_servers.reservations import ReservationState
from balsamspindle.backend_servers.retry_grants import RetryGrants
from balsamspindle.backend_servers.servers import LocalBackendServers
from balsamspindle.backend_servers.terms_table import TermsTable
from balsamspindle.crashes.history import CrashHistory
from balsamspindle.membership import Directory, Member
from balsamspindle.requests.retries import RetryPolicy
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.tables import PlatformGuard

__all__ = ["Gauge", "NodeGauges"]


class Gauge(NamedTuple):
    """One gauge and its current value.

    Attributes
    ----------
    labels : dict of str to str
        Names and values, in the order of the output.
    """

    name: str
    text: str
    value: float
    labels: dict[str, str] = {}


class NodeGauges:
    """Reads gauges from the parts of a node."""

    def __init__(
        self,
        configuration: CurrentConfiguration,
        directory: Directory,
        servers: LocalBackendServers,
        admission: Admission,
        health: HealthMonitor,
        retries: RetryPolicy,
        grants: RetryGrants,
        member: Member,
        guards: list[PlatformGuard],
        crash_history: CrashHistory,
        terms: TermsTable,
        gate: Gate,
        room_levels: Callable[[], dict[str, float]],
    ) -> None:
        self._gate = gate
        self._room_levels = room_levels
        self._terms = terms
        self._crash_history = crash_history
        self._member = member
        self._guards = guards
        self._configuration = configuration
        self._directory = directory
        self._servers = servers
        self._admission = admission
        self._health = health
        self._retries = retries
        self._grants = grants

    def read(self, now_s: float) -> list[Gauge]:
        """Return all gauges with their current values."""
        return [
            Gauge(
                "balsamspindle_settings_revision",
                "Revision of the settings in force; -1 before the first.",
                self._configuration.revision,
            ),
            Gauge(
                "balsamspindle_settings_in_force_seconds",
                "How long these settings have been in force.",
                self._configuration.in_force_for_s(now_s),
            ),
            Gauge(
                "balsamspindle_nodes_known",
                "Nodes that are not held dead, this one included.",
                self._directory.live_count(),
            ),
            Gauge(
                "balsamspindle_attempts_running",
                "Attempts at the backend servers beside this node.",
                self._admission.in_flight(),
            ),
            Gauge(
                "balsamspindle_attempts_waiting",
                "Attempts that wait for a slot here.",
                self._admission.waiting(),
            ),
            Gauge(
                "balsamspindle_member_lag_seconds",
                "Longest delay of the member task's ticks lately.",
                self._member.lag_s(now_s),
            ),
            Gauge(
                "balsamspindle_requests_blocked",
                "Contents of requests that crash backend servers and are sent to none.",
                self._crash_history.blocked_count(now_s),
            ),
            *self._store_gauges(),
            *self._server_gauges(now_s),
            *self._service_gauges(now_s),
            *self._reservation_gauges(),
        ]

    def _store_gauges(self) -> Iterator[Gauge]:
        calls: Counter[tuple[str, str]] = Counter()
        for guard in self._guards:
            calls.update(guard.calls)
        for (verb, result), count in sorted(calls.items()):
            yield Gauge(
                "balsamspindle_store_calls",
                "Calls to the platform's store since the start.",
                count,
                {"verb": verb, "result": result},
            )

    def _server_gauges(self, now_s: float) -> Iterator[Gauge]:
        for server in self._servers.all():
            server_id = server.backend_server_id
            yield Gauge(
                "balsamspindle_backend_server_slots",
                "Slots of the backend servers beside this node.",
                server.announcement.slots,
                {"backend_server": server_id, "state": server.state.value},
            )
            # The remaining time of the hold-out plus the estimated duration of the
            # trial. During this time, the backend server gets only the requests of the
            # trial.
            yield Gauge(
                "balsamspindle_backend_server_held_out_seconds",
                "How long usual work is still kept away from it.",
                self._health.held_out(server_id, now_s).held_out_ms / 1000,
                {"backend_server": server_id},
            )

            limit_per_s = self._terms.limit_per_s(
                server_id, server.announcement.boot_id
            )
            if limit_per_s is not None:
                yield Gauge(
                    "balsamspindle_backend_server_limit_per_second",
                    "Requests per second that it takes from all nodes together.",
                    limit_per_s,
                    {"backend_server": server_id},
                )

    def _reservation_gauges(self) -> Iterator[Gauge]:
        for state in (ReservationState.WAITING, ReservationState.CALLED):
            yield Gauge(
                "balsamspindle_reservations",
                "Reservations at this node's gate that wait or hold a slot.",
                self._gate.reservations(state),
                {"state": state.name.lower()},
            )

    def _service_gauges(self, now_s: float) -> Iterator[Gauge]:
        for service in self._retries.services():
            yield Gauge(
                "balsamspindle_retries_left",
                "Retries that this node could make now.",
                self._retries.remaining_tokens(service, now_s),
                {"service": service},
            )
        for service, level in sorted(self._room_levels().items()):
            yield Gauge(
                "balsamspindle_admission_level",
                "Fraction of requests like the latest one that this node refuses.",
                level,
                {"service": service},
            )
        for service in self._grants.services():
            yield Gauge(
                "balsamspindle_retry_grants_left",
                "Retries that this node's gate could grant now, where gates do.",
                self._grants.remaining(service, now_s),
                {"service": service},
            )
