"""Selects the nodes that grant a customer's requests, and the fraction of each node.

One fraction of each limit is divided equally among the availability zones. In each
zone, one node grants the zone's fraction: the customer's granter for the zone. Each
node queries the granter in its own zone first, because messages within a zone cost
nothing. The remaining fraction of the limit is granted by one node of the whole fleet,
the customer's granter for the fleet. A node queries the granter for the fleet about
requests that exceed the fraction of their zone. So a customer whose callers are all in
one zone can use more than that zone's fraction.

Each node selects the granters by rendezvous hashing over the nodes that it knows,
without any agreement between nodes. While nodes can't reach each other, a customer may
have two granters for the same zone or fleet. Each of the two then grants only a
fraction proportional to the number of nodes that it can reach. So together they grant
no more than a single granter would.
"""

from enum import IntEnum
from typing import NamedTuple

import xxhash

from balsamspindle.customers.buckets import Rate
from balsamspindle.membership.directory import Directory, NodeState
from balsamspindle.wire import NodeRecord

__all__ = ["Granters", "Limit", "LimitPolicy", "Scope"]

# Smallest burst of a bucket: a bucket that can't hold one token could grant nothing.
BURST_MIN = 1.0
# How long a dead node is still counted among the nodes that share a limit: it may be
# alive but unreachable, and grant requests on its own.
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
        Number of availability zones in the fleet; if 0, the known zones are counted.
    window_s : float
        Length of a time window in s. A customer may run `rate_per_s * window_s + burst`
        requests in any window of this length. Requests are granted at the even rate
        that results in this number. The customer's burst therefore raises the rate, but
        not the number of requests that can be granted at once: `over_fraction` and
        `slack` determine that number. If 0, there is no window: a customer may run its
        burst at once, and a spent burst refills at the customer's rate.
    over_fraction : float
        Fraction of the requests allowed in a window. A customer may run this fraction
        at once, and may exceed the number allowed in a window by this fraction. Not
        used if `window_s` is 0.
    slack : float
        Number of requests that a customer may run at once, and by which it may exceed
        its limit, in addition to those that `over_fraction` or the burst allows.
    """

    zones: int = 0
    window_s: float = 0.0
    over_fraction: float = 0.0
    slack: float = 0.0

    def fleet_rate(self, limit: Limit) -> Rate:
        """Return the rate and burst up to which all nodes together grant requests.

        At this rate and burst, a customer exceeds its limit by no more than
        `over_fraction` and `slack` allow.
        """
        if not self.window_s:
            return Rate(limit.rate_per_s, limit.burst + self.slack)
        in_window = limit.rate_per_s * self.window_s + limit.burst
        return Rate(
            in_window / self.window_s, in_window * self.over_fraction + self.slack
        )


class Scope(IntEnum):
    """The nodes among which a granter is selected: those of a zone or of the fleet.

    A customer's granter of scope `ZONE` is queried first, then that of scope `FLEET`.
    """

    ZONE = 0
    FLEET = 1


# Fraction of a limit that a customer's zone granters grant together, and fraction that
# the customer's granter for the whole fleet grants. A customer whose callers are all in
# one of three zones can use the zone's fraction (0.4 / 3) and the fleet's fraction
# (0.6): together more than two thirds of its limit.
_SCOPE_FRACTIONS = {Scope.ZONE: 0.4, Scope.FLEET: 0.6}


class Granters:
    """Selects each customer's granter among the nodes of one scope.

    The scope's nodes are those of this node's availability zone or of the whole fleet.
    """

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
        """Update the scope's nodes; return whether a node was added or removed."""
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
        # The rankings contain node records, so they are cleared even if the nodes are
        # the same: a node may have restarted at another address.
        self._rankings = {}
        return is_changed

    def ranked(self, customer: str) -> tuple[NodeRecord, ...]:
        """Return a customer's granter, and the node to query if it can't be reached.

        Only the granter is returned if the scope has a single node.
        """
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
        """Return the rate and burst that this node may grant of a customer's limit.

        Each node of the scope counts for an equal fraction of the rate and burst that
        the scope may grant. The granter may grant the fractions of all nodes that it
        knows to be alive, on their behalf. A node that is queried because the granter
        is unreachable may grant only the fraction of a single node.
        """
        counted = len(self._nodes) if self.is_own(customer) else 1
        fraction = _SCOPE_FRACTIONS[self._scope] * counted / self._node_count(now_s)
        if self._scope is Scope.ZONE:
            fraction /= self._policy.zones or self._known_zones
        fleet = self._policy.fleet_rate(limit)
        return Rate(fleet.per_s * fraction, max(BURST_MIN, fleet.burst * fraction))

    def _node_count(self, now_s: float) -> int:
        """Return the number of the scope's nodes, including recently dead ones."""
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
