"""The backend servers that announce themselves to this node."""

import threading
from collections.abc import Callable
from enum import StrEnum
from typing import Annotated

import msgspec

from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.limited_capacity import LimitedCapacity
from balsamspindle.backend_servers.slots import SlotAccount
from balsamspindle.protocol.addresses import Address
from balsamspindle.protocol.outcomes import CancelCause
from balsamspindle.wire import BackendServerRecord

__all__ = [
    "ANNOUNCEMENT_TTL_S",
    "Announcement",
    "BackendServerState",
    "LocalBackendServer",
    "LocalBackendServers",
]

ANNOUNCEMENT_TTL_S = 5.0
DRAINED_BOOT_IDS_MAX = 1_000
# Both are sent to all peers.
SERVICE_MAX_CHARACTERS = 200
BOOT_ID_MAX_CHARACTERS = 300


class BackendServerState(StrEnum):
    """Whether a backend server accepts new work; only `READY` does."""

    READY = "ready"
    DRAINING = "draining"
    # The backend server's announcements stopped while it was running requests.
    SILENT = "silent"


class Announcement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Description of a backend server, sent by the backend server itself.

    Attributes
    ----------
    service : str
        ``TEAM/NAME`` of a service document.
    address : str
        IP:port of its HTTP server.
    slots : int
        Number of requests that it can run at once.
    boot_id : str
        Differs for each start.
    """

    service: Annotated[str, msgspec.Meta(max_length=SERVICE_MAX_CHARACTERS)]
    address: Address
    slots: Annotated[int, msgspec.Meta(ge=1, le=10_000)]
    boot_id: Annotated[str, msgspec.Meta(max_length=BOOT_ID_MAX_CHARACTERS)]


class LocalBackendServer:
    """A backend server as last announced; guarded by `LocalBackendServers.changed`.

    Attributes
    ----------
    running : set of CancelToken
        Tokens of the attempts that have a slot at this backend server.
    has_restarted : bool
        Whether the backend server has restarted, so that this object describes an
        earlier start. Requests sent before the restart get no answer.
    is_replaced : bool
        Whether another backend server began to use this one's address while this one
        was not draining.
    limited_capacity : LimitedCapacity
        Fraction of the slots that the backend server can occupy at the limit it names.
    """

    def __init__(self, backend_server_id, announcement, now_s, cold_s=0.0):
        self.backend_server_id: str = backend_server_id
        self.announcement: Announcement = announcement
        self.state = BackendServerState.READY
        self.started_s: float = now_s
        self.announced_s: float = now_s
        # The backend server announced that it is slower than usual until this time.
        self.cold_until_s: float = now_s + cold_s
        self.in_flight = 0
        self.running: set[CancelToken] = set()
        self.has_restarted = False
        self.is_replaced = False
        self.limited_capacity = LimitedCapacity()
        self.account = SlotAccount()
        self.suspicion = 0.0

    def cancel_runs(self) -> None:
        """Mark the backend server as restarted, and cancel all running attempts.

        A backend server that loses power does not reset its connections, so attempts
        would wait until their deadline for an answer that cannot come. If the attempts
        are cancelled now, there is time to repeat those whose route allows repeats.
        """
        self.has_restarted = True
        for token in self.running:
            token.cancel(CancelCause.SERVER_RESTARTED)

    def to_record(self, capacity: float = 1.0) -> BackendServerRecord:
        """Return the record that is sent to the other nodes.

        Parameters
        ----------
        capacity : float
            Fraction of the slots that is usable now.
        """
        return BackendServerRecord(
            self.backend_server_id,
            self.announcement.service,
            self.announcement.boot_id,
            self.announcement.slots,
            self.state.value,
            self.suspicion,
            capacity,
        )


class LocalBackendServers:
    """All backend servers of this node, by id.

    Parameters
    ----------
    announcement_ttl_s : float
        How long a backend server counts as live after its last announcement.

    Attributes
    ----------
    changed : threading.Condition
        Its lock guards all backend servers; the condition is notified of each change.
    version : int
        Rises with each change that must be sent to the other nodes.
    on_replaced : callable
        Called with a replaced backend server and the present time; see `mark_replaced`.
    """

    def __init__(self, announcement_ttl_s: float = ANNOUNCEMENT_TTL_S) -> None:
        self._announcement_ttl_s = announcement_ttl_s
        self.changed = threading.Condition()
        self.version = 0
        self.on_replaced: Callable[[LocalBackendServer, float], None] = lambda *_: None
        self._servers: dict[str, LocalBackendServer] = {}
        # Boot ids of drained backend servers. Without them a pause of the
        # announcements, or of this process, would end a drain: the backend server
        # would be removed, announced again, and get work while its operator shuts it
        # down.
        self._drained_boot_ids: dict[str, str] = {}

    def announce(
        self,
        backend_server_id: str,
        announcement: Announcement,
        now_s: float,
        cold_s: float = 0.0,
        ends_runs: bool = True,
    ) -> bool:
        """Record an announcement; return True if it differs from the last one.

        It differs at a start or restart, or when a field such as `slots` changed.

        Parameters
        ----------
        ends_runs : bool, default=True
            Whether a new boot id proves that the backend server has restarted, so that
            the attempts that run at it are cancelled.
        """
        with self.changed:
            server = self._servers.get(backend_server_id)
            if server is not None and server.announcement == announcement:
                server.announced_s = now_s
                if server.state is BackendServerState.SILENT:
                    server.state = self._announced_state(server)
                    self._record_change()
                return False
            is_new_boot = (
                server is not None
                and server.announcement.boot_id != announcement.boot_id
            )
            if is_new_boot and ends_runs:
                server.cancel_runs()
            server = LocalBackendServer(backend_server_id, announcement, now_s, cold_s)
            server.state = self._announced_state(server)
            self._servers[backend_server_id] = server
            self._record_change()
            return True

    def drain(self, backend_server_id: str) -> bool:
        """Stop new work for a backend server; return False if it is unknown."""
        with self.changed:
            server = self._servers.get(backend_server_id)
            if server is not None:
                self._remember_drained(backend_server_id, server.announcement.boot_id)
            return self._set_state(backend_server_id, BackendServerState.DRAINING)

    def restore_drained(self, backend_server_id: str, boot_id: str) -> None:
        """Make a start of a backend server drain, whether it is known yet or not."""
        with self.changed:
            self._remember_drained(backend_server_id, boot_id)
            server = self._servers.get(backend_server_id)
            if server is not None and server.announcement.boot_id == boot_id:
                self._set_state(backend_server_id, BackendServerState.DRAINING)

    def mark_replaced(self, backend_server_id: str, now_s: float) -> None:
        """Drain a backend server because another one uses its address now.

        Also calls `on_replaced`, unless the backend server is unknown, was already
        draining, or has been marked before.
        """
        with self.changed:
            server = self._servers.get(backend_server_id)
            is_unexpected = (
                server is not None
                and server.state is not BackendServerState.DRAINING
                and not server.is_replaced
            )
            if is_unexpected:
                server.is_replaced = True
        self.drain(backend_server_id)
        if is_unexpected:
            self.on_replaced(server, now_s)

    def undrain(self, backend_server_id: str) -> bool:
        """Make a backend server accept new work; return False if it is unknown."""
        with self.changed:
            self._drained_boot_ids.pop(backend_server_id, None)
            return self._set_state(backend_server_id, BackendServerState.READY)

    def set_suspicion(self, backend_server_id: str, suspicion: float) -> bool:
        """Set the suspicion sent to other nodes; return False for an unknown server."""
        with self.changed:
            server = self._servers.get(backend_server_id)
            if server is None:
                return False
            if server.suspicion != suspicion:
                server.suspicion = suspicion
                self._record_change()
            return True

    def remove_silent(self, now_s: float) -> list[str]:
        """Mark backend servers as silent, or remove them, if announcements stopped.

        A silent backend server with running requests gets no new requests. A later call
        removes this backend server once the running requests have ended. If a silent
        backend server got new requests, it would not be removed while any of them is
        running. A backend server that left without notice could thus get requests for
        an unlimited time.

        Returns
        -------
        list of str
            Ids of the backend servers that turned silent since the last call.
        """
        with self.changed:
            silent = [
                server
                for server in self._servers.values()
                if now_s - server.announced_s > self._announcement_ttl_s
            ]
            newly_silent = [
                server
                for server in silent
                if server.state is not BackendServerState.SILENT
            ]
            for server in silent:
                server.state = BackendServerState.SILENT
                if not server.in_flight:
                    del self._servers[server.backend_server_id]
            if silent:
                self._record_change()
            return [server.backend_server_id for server in newly_silent]

    def get(self, backend_server_id: str) -> LocalBackendServer | None:
        """Return a backend server, None if it is unknown; the lock must be held."""
        return self._servers.get(backend_server_id)

    def accepts_work(self, server: LocalBackendServer) -> bool:
        """Return whether a backend server is ready, and has not restarted since."""
        with self.changed:
            current = self._servers.get(server.backend_server_id)
            return (
                current is not None
                and current.announcement.boot_id == server.announcement.boot_id
                and current.state is BackendServerState.READY
            )

    def all(self) -> list[LocalBackendServer]:
        """Return all backend servers as a new list."""
        with self.changed:
            return list(self._servers.values())

    def records(
        self, capacity: Callable[[LocalBackendServer], float] = lambda server: 1.0
    ) -> tuple[BackendServerRecord, ...]:
        """Return the records that are sent to the other nodes.

        Parameters
        ----------
        capacity : callable, default=all slots
            Returns the fraction of a backend server's slots that is usable now.
        """
        with self.changed:
            return tuple(
                server.to_record(capacity(server)) for server in self._servers.values()
            )

    def _announced_state(self, server: LocalBackendServer) -> BackendServerState:
        drained_boot_id = self._drained_boot_ids.get(server.backend_server_id)
        if drained_boot_id == server.announcement.boot_id:
            return BackendServerState.DRAINING
        return BackendServerState.READY

    def _remember_drained(self, backend_server_id: str, boot_id: str) -> None:
        self._drained_boot_ids.pop(backend_server_id, None)
        self._drained_boot_ids[backend_server_id] = boot_id
        if len(self._drained_boot_ids) > DRAINED_BOOT_IDS_MAX:
            del self._drained_boot_ids[next(iter(self._drained_boot_ids))]

    def _set_state(self, backend_server_id, state) -> bool:
        with self.changed:
            server = self._servers.get(backend_server_id)
            if server is None:
                return False
            if server.state is not state:
                server.state = state
                self._record_change()
            return True

    def _record_change(self) -> None:
        self.version += 1
        self.changed.notify_all()
