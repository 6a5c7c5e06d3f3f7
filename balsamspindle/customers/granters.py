"""Selection of the nodes that grant a customer's requests, and their share.

A fraction of each limit is divided equally among the availability zones. One node of
each zone, its granter, grants the zone's share, because messages within a zone cost
nothing. The rest is granted by one node of the whole fleet, to requests for which the
zone's share does not suffice. So a customer whose callers are all in one zone can use
more than that zone's share.

Each node selects the granters by rendezvous hashing over the nodes that it knows,
without any agreement between nodes. While nodes can't reach each other, one customer
may have two granters. Each then grants a share proportional to the nodes that it can
reach, so that together they grant no more than one would.
"""

from enum import IntEnum
from typing import NamedTuple

import xxhash

from balsamspindle.customers.buckets import Rate
from balsamspindle.membership.directory import Directory, NodeState
from balsamspindle.wire import NodeRecord

__all__ = ["Granters", "Limit", "LimitPolicy", "Scope"]

# A bucket that holds less than one token can't grant anything.
BURST_MIN = 1.0
# How long a dead node still counts towards the number of nodes: it may be alive but
# unreachable, and grant requests on its own.
DEAD_COUNTED_S = 30.0
RANKINGS_MAX = 10_000


class Limit(NamedTuple):
    """A customer's limit over all nodes, as set in its document."""

    rate_per_s: float
    burst: float


class LimitPolicy(NamedTuple):
    """How strictly limits are enforced.

    Attributes
    ----------
    zones : int
        Number of availability zones in the fleet; 0 to count those that are known.
    window_s : float
        In any window of this length, a customer may run its rate times the window
        plus its burst. If 0, the burst is available once and refills at the rate.
    over_fraction : float
        Fraction of that amount by which a customer may exceed it.
    slack : float
        Requests by which a customer may exceed it in addition.
    """

    zones: int = 0
    window_s: float = 0.0
    over_fraction: float = 0.0
    slack: float = 0.0

    def fleet_rate(self, limit: Limit) -> Rate:
        """Return what all nodes together may grant."""
        if not self.window_s:
            return Rate(limit.rate_per_s, limit.burst + self.slack)
        in_window = limit.rate_per_s * self.window_s + limit.burst
        return Rate(
            in_window / self.window_s, in_window * self.over_fraction + self.slack
        )


class Scope(IntEnum):
    """The nodes among which a granter is selected; asked in this order."""

    ZONE = 0
    FLEET = 1


# Fraction of a limit that each scope grants. With callers in only one of three zones,
# a customer can use 0.4 / 3 + 0.6 of its limit, which is more than two thirds.
_SCOPE_FRACTIONS = {Scope.ZONE: 0.4, Scope.FLEET: 0.6}


class Granters:
    """Ranks the nodes of one scope for each customer; the first one is the granter."""

    def __init__(
        self, own: NodeRecord, directory: Directory, scope: Scope, policy: LimitPolicy
    ) -> None:
        self._own = own
        self._directory = directory
        self._scope = scope
        self._policy = policy
        self._last_records: list[NodeRecord] | None = None
        self._nodes: list[NodeRecord] = []
        self._known_zones = 1
        self._rankings: dict[str, tuple[NodeRecord, ...]] = {}

    def update(self) -> bool:
        """Read the directory; return whether the ids of the scope's nodes changed."""
        records = self._directory.alive()
        if records is self._last_records:
            return False
        others = [
            record
            for record in records
            if self._is_member(record) and record.node_id != self._own.node_id
        ]
        nodes = [*sorted(others, key=lambda record: record.node_id), self._own]
        is_changed = _node_ids(nodes) != _node_ids(self._nodes)
        zones = {record.availability_zone for record in (*records, self._own)}
        self._known_zones = len(zones)
        self._last_records, self._nodes = records, nodes
        # Cleared even if no id changed: a node may have restarted at another address.
        self._rankings = {}
        return is_changed

    def ranked(self, customer: str) -> tuple[NodeRecord, ...]:
        """Return the customer's granter and the node to ask if it is unreachable."""
        ranking = self._rankings.get(customer)
        if ranking is None:
            if len(self._rankings) >= RANKINGS_MAX:
                self._rankings = {}
            order = sorted(
                self._nodes,
                key=lambda record: _rendezvous_hash(customer, record.node_id),
            )
            ranking = self._rankings[customer] = tuple(order[:2])
        return ranking

    def is_own(self, customer: str) -> bool:
        """Return whether this node is the customer's granter."""
        return self.ranked(customer)[0].node_id == self._own.node_id

    def own_rate(self, customer: str, limit: Limit, now_s: float) -> Rate:
        """Return what this node may grant of a limit.

        A node that is asked in place of the granter grants only its own node's share.
        """
        counted = len(self._nodes) if self.is_own(customer) else 1
        fraction = _SCOPE_FRACTIONS[self._scope] * counted / self._node_count(now_s)
        if self._scope is Scope.ZONE:
            fraction /= self._policy.zones or self._known_zones
        fleet = self._policy.fleet_rate(limit)
        return Rate(fleet.per_s * fraction, max(BURST_MIN, fleet.burst * fraction))

    def _node_count(self, now_s: float) -> int:
        """Return the number of the scope's nodes, with those that died recently."""
        dead_count = sum(
            self._is_member(view.record) and now_s - view.dead_since_s < DEAD_COUNTED_S
            for view in self._directory.dead()
        )
        return len(self._nodes) + dead_count

    def _is_member(self, record: NodeRecord) -> bool:
        is_in_scope = (
            self._scope is Scope.FLEET
            or record.availability_zone == self._own.availability_zone
        )
        return is_in_scope and record.state == NodeState.ALIVE


def _node_ids(nodes: list[NodeRecord]) -> list[str]:
    return [record.node_id for record in nodes]


def _rendezvous_hash(customer: str, node_id: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{customer}\0{node_id}".encode())
