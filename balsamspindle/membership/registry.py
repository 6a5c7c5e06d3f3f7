"""Discovery of a starting node's first peers through a table of the platform.

Table ``members`` has `SLOTS_PER_ZONE` rows for each availability zone, one for each
slot of the zone. A row has the member address of one node. For each slot, a hash
ranks the nodes of the zone; the node that ranks first writes the slot's row, and only
when the row names another node. So the number of rows, reads and writes grows with
the number of zones and not with the number of nodes.

A node uses the table only to find its first peers. A row that is outdated, wrong or
missing costs a joining node one failed attempt to contact a peer.
"""

import random
import threading
from collections.abc import Callable, Iterable

import msgspec
import xxhash
from expression import Result

from balsamspindle.membership.directory import Directory
from balsamspindle.membership.node_view import NodeState
from balsamspindle.protocol.addresses import Address
from balsamspindle.tables import Check, Put, Row, RowDecoder, TableService, Transaction
from balsamspindle.timeline import EventLog
from balsamspindle.wire import NodeRecord
from balsamspindle.wire.member_messages import NodeId

__all__ = ["MEMBERS_TABLE", "SLOTS_PER_ZONE", "MemberRow", "Registry", "slot_owner"]

MEMBERS_TABLE = "members"
SLOTS_PER_ZONE = 4
# Longest random delay before a starting node first reads the table. It is short because
# the node serves no requests until it has found a peer. When a large fleet starts at
# once, the store refuses some of the reads, and the refused nodes read again.
FIRST_READ_DELAY_MAX_S = 0.3
READ_INTERVAL_MIN_S = 0.6
READ_INTERVAL_MAX_S = 30.0
UPDATE_INTERVAL_S = 60.0
# A node without peers contacts the nodes in the table for this many rounds. If none of
# them answers, it writes its own address into the table.
PEER_REPLY_ROUNDS = 2
BACKOFF_DOUBLINGS_MAX = 10


class MemberRow(msgspec.Struct, frozen=True):
    """One row: a node that a joining node may contact."""

    node_id: NodeId
    member_address: Address


def slot_owner(zone: str, slot: int, node_ids: Iterable[str]) -> str:
    """Return the node that writes a slot's row, by rendezvous hashing."""
    return max(
        node_ids,
        key=lambda node_id: xxhash.xxh3_64_intdigest(
            f"{zone}/{slot}/{node_id}".encode()
        ),
    )


class Registry:
    """Task that finds a starting node's peers and writes this node's rows.

    Parameters
    ----------
    set_contacts : callable
        Called with the member addresses to contact; must be thread-safe.
    is_isolated : callable
        Returns whether no peer answers this node.
    """

    def __init__(
        self,
        tables: TableService,
        own: NodeRecord,
        directory: Directory,
        set_contacts: Callable[[tuple[str, ...]], None],
        is_isolated: Callable[[], bool],
        events: EventLog,
    ) -> None:
        self._tables = tables
        self._own = own
        self._directory = directory
        self._set_contacts = set_contacts
        self._is_isolated = is_isolated
        self._events = events
        self._rows = RowDecoder(MEMBERS_TABLE, MemberRow, events)
        self._random = random.Random(f"{own.node_id}/{own.incarnation}/registry")
        self._stopped = threading.Event()
        self._available = True
        self._isolated_rounds = 0

    def run(self) -> None:
        """Find peers and update rows until `stop` is called."""
        wait_s = self._random.uniform(0, FIRST_READ_DELAY_MAX_S)
        while not self._stopped.wait(wait_s):
            wait_s = self.run_round() * self._random.uniform(0.5, 1.5)

    def run_round(self) -> float:
        """Run one round; return the mean delay in seconds before the next round."""
        if not self._is_isolated():
            self._isolated_rounds = 0
            self.update_rows()
            return UPDATE_INTERVAL_S
        # A node that knows no other node ranks first for each slot of its zone, so it
        # would write all rows of the zone. In a starting fleet, all nodes would write
        # the same rows. So the node first waits for answers from the nodes in the
        # table.
        if not self.find_peers() or self._isolated_rounds >= PEER_REPLY_ROUNDS:
            # The first node of a fleet has no peers. It writes its rows without having
            # found any, so that the nodes that start later find it.
            self.update_rows()
        wait_s = READ_INTERVAL_MIN_S * 2 ** min(
            self._isolated_rounds, BACKOFF_DOUBLINGS_MAX
        )
        self._isolated_rounds += 1
        return min(wait_s, READ_INTERVAL_MAX_S)

    def stop(self) -> None:
        """Make `run` return soon."""
        self._stopped.set()

    def find_peers(self) -> bool:
        """Contact the other nodes in the table; return whether any were found.

        Returns False if the table has no other node or can't be read.
        """
        match self._tables.scan(MEMBERS_TABLE):
            case Result(tag="ok", ok=rows):
                self._record_availability(True, "")
                members = [row for row in map(self._rows.decode, rows) if row]
                found = {row.member_address for row in members}
                found.discard(self._own.member_address)
                if found:
                    unreadable = len(rows) - len(members)
                    self._events.emit(
                        "registry_read",
                        members=len(found),
                        unreadable=unreadable or None,
                    )
                    self._set_contacts(tuple(sorted(found)))
                return bool(found)
            case Result(error=error):
                self._record_availability(False, error.message)
        return False

    def update_rows(self) -> None:
        """Write the address of this node to rows of its slots that don't contain it."""
        zone = self._own.availability_zone
        node_ids = {self._own.node_id}
        for node in self._directory.alive():
            if node.availability_zone == zone and node.state == NodeState.ALIVE:
                node_ids.add(node.node_id)
        keys = [
            f"{zone}/{slot}"
            for slot in range(SLOTS_PER_ZONE)
            if slot_owner(zone, slot, node_ids) == self._own.node_id
        ]
        if not keys:
            return
        match self._tables.read(MEMBERS_TABLE, keys):
            case Result(tag="ok", ok=rows):
                self._record_availability(True, "")
                own_row = self._own_row()
                self._write([row for row in rows if self._rows.decode(row) != own_row])
            case Result(error=error):
                self._record_availability(False, error.message)

    def _write(self, rows: list[Row]) -> None:
        if not rows:
            return
        value = msgspec.to_builtins(self._own_row())
        transaction = Transaction(
            [Check(MEMBERS_TABLE, row.key, row.version) for row in rows],
            [Put(MEMBERS_TABLE, row.key, value) for row in rows],
        )
        # A conflict or a lost reply needs no handling: the next round reads the row
        # again and writes it if it still differs.
        if self._tables.transact(transaction).is_ok():
            self._events.emit("registry_written", rows=len(rows))

    def _own_row(self) -> MemberRow:
        return MemberRow(self._own.node_id, self._own.member_address)

    def _record_availability(self, available: bool, cause: str) -> None:
        if available != self._available:
            event = "registry_available" if available else "registry_unavailable"
            self._events.emit(event, cause=cause or None)
        self._available = available
