"""Shares hold-outs of other zones' backend servers among the nodes of one zone.

A gate that refuses an attempt because the backend server is held out reports the
hold-out. Each refusal by a gate of another zone costs traffic between zones, while
traffic within a zone is free. A node that gets such a refusal therefore shares the
hold-out with the other nodes of its zone, so that they send no attempts to the backend
server in vain.
"""

import random
import threading
import time
from collections.abc import Callable

from balsamspindle.membership.directory import Directory
from balsamspindle.services.held_out_servers import HeldOutServers
from balsamspindle.wire import HoldOut, NodeRecord, SuspectHint

__all__ = ["ZoneHints"]

# Maximum number of nodes to which a hold-out is sent. In a small zone, these are all
# other nodes. In a large zone, they are selected at random. Within a second, about
# PEERS_MAX nodes of the zone would send requests to the backend server. Only they need
# the hold-out, but the selected nodes may be different ones.
PEERS_MAX = 12
# A hold-out is shared again only if it was extended by at least this much. Each further
# reply from the gate extends the hold-out by a few ms; this is not worth a message.
EXTENSION_MIN_MS = 150.0
REPORTED_MAX = 1000


class ZoneHints:
    """Sends and receives hints on hold-outs within one zone.

    Parameters
    ----------
    send : callable
        Sends a message to a member address; safe from any thread.
    held_out_servers : callable
        Returns the record of held-out backend servers, to which received hints are
        added.
    """

    def __init__(
        self,
        own: NodeRecord,
        directory: Directory,
        send: Callable[[str, SuspectHint], None],
        held_out_servers: Callable[[], HeldOutServers],
    ) -> None:
        self._own = own
        self._directory = directory
        self._send = send
        self._held_out_servers = held_out_servers
        self._random = random.Random(f"{own.node_id}/{own.incarnation}/hints")
        self._lock = threading.Lock()
        self._reported_until_s: dict[str, float] = {}

    def share(
        self,
        node: NodeRecord,
        backend_server_id: str,
        held_out: HoldOut,
        now_s: float,
    ) -> None:
        """Share a hold-out of another zone's backend server with nodes of this zone.

        Does nothing if the backend server is not held out, or if its node `node` is in
        this zone. An extension of a hold-out by less than `EXTENSION_MIN_MS` is not
        shared either.
        """
        held_out_ms = held_out.held_out_ms
        if not held_out_ms or node.availability_zone == self._own.availability_zone:
            return
        until_s = now_s + held_out_ms / 1000
        with self._lock:
            reported_s = self._reported_until_s.get(backend_server_id, 0.0)
            self._record_reported(backend_server_id, max(reported_s, until_s))
            if until_s - reported_s < EXTENSION_MIN_MS / 1000:
                return
            addresses = self._peer_addresses()
        hint = SuspectHint(backend_server_id, held_out)
        for address in addresses:
            self._send(address, hint)

    def receive(self, hint: SuspectHint) -> None:
        """Record a hold-out that another node of the zone shared."""
        now_s = time.monotonic()
        until_s = now_s + hint.held_out.held_out_ms / 1000
        with self._lock:
            self._record_reported(hint.backend_server_id, until_s)
        self._held_out_servers().record(hint.backend_server_id, hint.held_out, now_s)

    def _record_reported(self, backend_server_id: str, until_s: float) -> None:
        self._reported_until_s.pop(backend_server_id, None)
        self._reported_until_s[backend_server_id] = until_s
        if len(self._reported_until_s) > REPORTED_MAX:
            del self._reported_until_s[next(iter(self._reported_until_s))]

    def _peer_addresses(self) -> list[str]:
        addresses = [
            record.member_address
            for record in self._directory.alive()
            if record.availability_zone == self._own.availability_zone
            and record.node_id != self._own.node_id
        ]
        if len(addresses) <= PEERS_MAX:
            return addresses
        return self._random.sample(addresses, PEERS_MAX)
