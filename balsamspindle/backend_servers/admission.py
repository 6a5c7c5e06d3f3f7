"""Admission control: decides which attempts get a slot at a backend server.

All decisions are made under the lock in `LocalBackendServers.changed`.
"""

import dataclasses
import math
import time
from collections.abc import Callable

from balsamspindle.backend_servers.admission_decisions import (
    Admitted,
    Availability,
    Refused,
    expected_run_s,
    make_ticket,
    refusal,
    work_kind,
)
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.gate_loads import GateLoads, Room, room_at
from balsamspindle.backend_servers.queue import QueueDecision, SlotQueue, Ticket
from balsamspindle.backend_servers.rate_limits import Allowance
from balsamspindle.backend_servers.servers import (
    BackendServerState,
    LocalBackendServer,
    LocalBackendServers,
)
from balsamspindle.backend_servers.slot_ends import expected_remaining_s
from balsamspindle.backend_servers.slots import WorkEnd, WorkKind
from balsamspindle.backend_servers.terms_table import TermsTable
from balsamspindle.backend_servers.tickets import BusySlots
from balsamspindle.backend_servers.usable_slots import (
    capacity_fraction,
    usable_slots,
)
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.settings.documents import ServiceDocument
from balsamspindle.wire import AdmissionQuery, AttemptId, Dispatch

__all__ = ["Admission", "Admitted", "Refused"]

# A waiting attempt requests a slot again at each notification of `changed`, and also
# after this time, because no notification is sent when a cold server's slots increase.
RECHECK_INTERVAL_S = 0.5
RECHECK_MIN_S = 0.005
# An attempt, even a read, starts only if its gate and its ingress will run for at least
# this many times its route's mean service time. Half of a route's requests take longer
# than the mean, but few take twice as long. A refused attempt can be retried in time.
# After a run that a node's end interrupts, it may be too late for a retry.
LAST_START_FACTOR = 2.0


def _default_document(service: str) -> ServiceDocument:
    return ServiceDocument()


class Admission:
    """Admits, queues and refuses attempts for the backend servers of one node.

    Parameters
    ----------
    service_document : callable, default=the default settings
        Returns the settings in force for a service.
    terms : TermsTable, default=a new one
        Limits of the backend servers, and which of them leave.
    """

    def __init__(
        self,
        servers: LocalBackendServers,
        service_document: Callable[[str], ServiceDocument] = _default_document,
        terms: TermsTable | None = None,
    ) -> None:
        self._servers = servers
        self.terms = terms or TermsTable(
            lambda server_id, boot_id: servers.drain(server_id)
        )
        self._service_document = service_document
        self._queues: dict[str, SlotQueue] = {}
        self._leaving = False
        self._node_ends_s = math.inf
        self._running: set[Admitted] = set()
        self.loads = GateLoads(self.room, service_document)

    def inherits_importance(self, service: str) -> bool:
        """Return whether calls to a service are as important as their parents."""
        return self._service_document(service).calls_inherit_importance

    def refuse_new_attempts(self) -> None:
        """Refuse all new and waiting attempts from now on, as this node is leaving."""
        with self._servers.changed:
            self._leaving = True
            self._servers.changed.notify_all()

    def set_end_time(self, ends_s: float) -> None:
        """Set this node's end time; refuse attempts that may still be running then.

        Runs that are in progress when the node ends are interrupted, and their answers
        are lost. A refused attempt can be retried at another gate instead.
        """
        with self._servers.changed:
            self._node_ends_s = ends_s
            self._servers.changed.notify_all()

    def in_flight(self) -> int:
        """Return how many attempts occupy a slot."""
        with self._servers.changed:
            return len(self._running)

    def outlasting_attempts(self, now_s: float) -> list[AttemptId]:
        """Return the running attempts that may still be running when this node ends.

        An attempt is included if its service time is unknown, or too long for the time
        until the node's end. The list is empty while the node's end is not set.
        """
        if math.isinf(self._node_ends_s):
            return []
        with self._servers.changed:
            return [
                admitted.attempt_id
                for admitted in self._running
                if self._may_outlast(admitted.server, admitted.kind, now_s)
                or not expected_run_s(admitted.server, admitted.kind)
            ]

    def _may_outlast(
        self, server: LocalBackendServer, kind: WorkKind, now_s: float
    ) -> bool:
        """Return whether an attempt started now may still run when this node ends."""
        return (
            now_s + LAST_START_FACTOR * expected_run_s(server, kind)
            >= self._node_ends_s
        )

    def waiting(self) -> int:
        """Return how many attempts wait for a slot."""
        with self._servers.changed:
            return sum(map(len, self._queues.values()))

    def admit(
        self, dispatch: Dispatch, token: CancelToken, deadline_s: float
    ) -> Admitted | Refused:
        """Wait until an attempt gets a slot or is refused."""
        ticket = make_ticket(dispatch, deadline_s, time.monotonic())
        with self._servers.changed:
            queue = self._queue(dispatch.service)
            try:
                while True:
                    now_s = time.monotonic()
                    decision = self._decide(dispatch, token, queue, ticket, now_s)
                    if decision is not None:
                        return decision
                    latest_start_s = self._latest_start_s(dispatch, token)
                    wait_s = self._recheck_wait_s(ticket, latest_start_s, now_s)
                    self._servers.changed.wait(wait_s)
            finally:
                queue.withdraw(ticket)

    def _queue(self, service: str) -> SlotQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = SlotQueue(0, on_change=self._servers.changed.notify_all)
            self._queues[service] = queue
        queue.queue_max = self._service_document(service).queue_max
        return queue

    def _latest_start_s(self, dispatch: Dispatch, token: CancelToken) -> float:
        """Return the latest time at which an attempt may start.

        An attempt that starts after this time may still be running when its ingress
        ends. The time is infinity unless the ingress is leaving.
        """
        server = self._servers.get(dispatch.backend_server_id)
        kind = work_kind(dispatch)
        return token.ingress_ends_s - LAST_START_FACTOR * expected_run_s(server, kind)

    def _recheck_wait_s(
        self, ticket: Ticket, latest_start_s: float, now_s: float
    ) -> float:
        """Return the longest time until a waiting attempt requests a slot again."""
        account = self._servers.get(ticket.backend_server_id).account
        # Until this time, an attempt can still meet its deadline if it waits one mean
        # service time for a slot and then runs for another one.
        last_chance_s = ticket.deadline_s - 2 * account.service_time_s
        until_s = min(
            last_chance_s, account.next_delayed_release_s(), now_s + RECHECK_INTERVAL_S
        )
        until_s = min(until_s, latest_start_s)
        if ticket.wait_max_s is not None:
            until_s = min(until_s, now_s + ticket.wait_max_s)
        if ticket.allowance is not None and ticket.allowance.tokens < 1:
            until_s = min(until_s, now_s + ticket.allowance.wait_s(1))
        return max(until_s - now_s, RECHECK_MIN_S)

    def _decide(
        self,
        dispatch: Dispatch,
        token: CancelToken,
        queue: SlotQueue,
        ticket: Ticket,
        now_s: float,
    ) -> Admitted | Refused | None:
        """Admit or refuse an attempt; None if it has to wait for a slot."""
        if token.cancelled:
            return Refused(Reason.CANCELLED)
        match self._availability(dispatch, ticket, now_s):
            case Refused() as refused:
                return refused
            case Availability() as availability:
                pass
        if now_s >= self._latest_start_s(dispatch, token):
            return Refused(Reason.NODE_STOPPING)
        decision = queue.request_slot(
            ticket,
            availability.free_slots,
            availability.effective_slots,
            availability.service_time_s,
            now_s,
        )
        match decision:
            case QueueDecision.WAIT:
                return None
            case QueueDecision.START:
                server = availability.server
                is_counted = self.terms.spend(
                    server.backend_server_id,
                    server.announcement.boot_id,
                    dispatch.weight,
                    now_s,
                )
                availability.server.account.acquire(availability.kind)
                availability.server.in_flight += 1
                availability.server.running.add(token)
                admitted = Admitted(
                    availability.server,
                    now_s,
                    availability.kind,
                    token,
                    dispatch.attempt_id,
                    is_counted,
                )
                self._running.add(admitted)
                return admitted
        return refusal(decision, queue, ticket, availability)

    def preview(self, query: AdmissionQuery, deadline_s: float) -> Refused | None:
        """Return why an attempt would be refused now, None if it would start or wait.

        The attempt is not enqueued, and no slot is reserved for it.
        """
        with self._servers.changed:
            now_s = time.monotonic()
            ticket = make_ticket(query, deadline_s, now_s)
            match self._availability(query, ticket, now_s):
                case Refused() as refused:
                    return refused
                case Availability() as availability:
                    pass
            queue = self._queue(query.service)
            decision = queue.preview(
                ticket,
                availability.free_slots,
                availability.effective_slots,
                availability.service_time_s,
                now_s,
            )
            if decision in (QueueDecision.START, QueueDecision.WAIT):
                return None
            return refusal(decision, queue, ticket, availability)

    def _availability(
        self, dispatch: Dispatch | AdmissionQuery, ticket: Ticket, now_s: float
    ) -> Availability | Refused:
        """Return the slots available to an attempt, or its refusal.

        It is refused if its backend server is unknown or not ready, if its deadline has
        passed, or if this node leaves or may end during the run.
        """
        server = self._servers.get(dispatch.backend_server_id)
        if server is None:
            return Refused(Reason.NO_BACKEND_SERVER)
        if self._leaving or server.state is not BackendServerState.READY:
            return Refused(Reason.DRAINING)
        if now_s >= ticket.deadline_s:
            return Refused(Reason.DEADLINE)
        account, slots = server.account, self._slots(server, now_s)
        kind = work_kind(dispatch)
        ticket.route_time_s = account.route_time_s(kind)
        if self.inherits_importance(dispatch.service):
            ticket.busy = BusySlots(self._slot_ends_s(server, now_s), slots)
        if self._may_outlast(server, kind, now_s):
            return Refused(Reason.DRAINING)
        free = account.free(slots, now_s)
        if ticket.busy is None:
            free -= account.reserved_for_heavier(kind.weight, slots, now_s)
        else:
            free -= account.reserved_while_used(kind, slots, now_s)
        ticket.allowance = self._allowance(server, now_s, dispatch.weight)
        if ticket.allowance is not None:
            free = min(free, int(ticket.allowance.tokens))
            ticket.limit_wait(now_s)
            server.limited_capacity.record_attempt(now_s)
        effective_slots = account.effective_slots(dispatch.weight, slots, now_s)
        return Availability(server, kind, free, slots, effective_slots)

    def _slot_ends_s(self, server: LocalBackendServer, now_s: float) -> tuple:
        """Return the expected times until the occupied slots of a server are free."""
        running_s = (
            expected_remaining_s(
                expected_run_s(server, admitted.kind), now_s - admitted.started_s
            )
            for admitted in self._running
            if admitted.server is server
        )
        delayed_s = (end - now_s for end in server.account.delayed_releases_s())
        return (*running_s, *delayed_s)

    def _allowance(
        self, server: LocalBackendServer, now_s: float, weight: float = math.inf
    ) -> Allowance | None:
        return self.terms.allowance(
            server.backend_server_id, server.announcement.boot_id, now_s, weight
        )

    def try_spend_allowance(self, server: LocalBackendServer, now_s: float) -> bool:
        """Count a request that needs no slot; False if a limit allows none now."""
        with self._servers.changed:
            allowance = self._allowance(server, now_s)
            if allowance is not None and allowance.tokens < 1:
                return False
            self.terms.spend(
                server.backend_server_id, server.announcement.boot_id, 0.0, now_s
            )
            return True

    def _slots(self, server: LocalBackendServer, now_s: float) -> int:
        document = self._service_document(server.announcement.service)
        return usable_slots(server, document, now_s)

    def room(self, backend_server_id: str, now_s: float) -> Room | None:
        """Return the room at a backend server; None if it is unknown."""
        with self._servers.changed:
            server = self._servers.get(backend_server_id)
            if server is None:
                return None
            queue = self._queue(server.announcement.service)
            return room_at(server, self._slots(server, now_s), queue, now_s)

    def capacity(self, server: LocalBackendServer, now_s: float) -> float:
        """Return the fraction of its slots that a backend server may use now."""
        limit_per_s = self.terms.limit_per_s(
            server.backend_server_id, server.announcement.boot_id
        )
        return capacity_fraction(server, self._slots(server, now_s), limit_per_s, now_s)

    def restart_run(self, admitted: Admitted, now_s: float) -> Admitted:
        """Return an attempt whose slot was held for its dispatch; it runs from now."""
        with self._servers.changed:
            self._running.discard(admitted)
            admitted = dataclasses.replace(admitted, started_s=now_s)
            self._running.add(admitted)
        return admitted

    def release(self, admitted: Admitted, end: WorkEnd, was_sent: bool = True) -> int:
        """Release the slot of an attempt that has ended or will not run.

        After `WorkEnd.IN_DOUBT` the slot stays occupied for a while; see `SlotAccount`.

        Parameters
        ----------
        was_sent : bool
            Whether the request may have reached the backend server. If not, it does not
            count against the backend server's limit.

        Returns
        -------
        int
            Free slots of the backend server, or the requests that its limit allows now
            if they are fewer, minus attempts that wait for a slot there.
        """
        server = admitted.server
        with self._servers.changed:
            now_s = time.monotonic()
            server.in_flight -= 1
            server.running.discard(admitted.token)
            self._running.discard(admitted)
            if admitted.is_counted and not was_sent:
                self.terms.refund(server.backend_server_id, server.announcement.boot_id)
            ran_s = now_s - admitted.started_s
            server.account.release(end, ran_s, now_s, admitted.kind)
            self._servers.changed.notify_all()
            queue = self._queue(server.announcement.service)
            waiting = queue.count_waiting(server.backend_server_id)
            free = server.account.free(self._slots(server, now_s), now_s)
            allowance = self._allowance(server, now_s)
            if allowance is not None:
                free = min(free, int(allowance.tokens))
            return free - waiting
