"""Simulation of nodes that enforce customers' limits together, and of their callers.

Nodes call each other directly, without sockets, on a simulated clock.
"""

import random
from collections import defaultdict
from typing import NamedTuple

from balsamspindle.customers.buckets import Denial
from balsamspindle.customers.granters import Granters, LimitPolicy, Scope
from balsamspindle.customers.limits import Grant, Limiter
from balsamspindle.settings.documents import CustomerDocument
from balsamspindle.wire import NodeRecord, encode

WINDOW_S = 5.0
# By how much a customer may exceed its limit in a window: by this fraction of the
# limit, plus this number of requests.
OVER_FRACTION, OVER_COUNT = 0.1, 20.0
# Fraction of this permitted excess that the nodes' `LimitPolicy` uses.
USED_FRACTION = 0.7
# Bytes that TCP, IP and ZMTP send for one message besides its contents, counted in
# both directions.
MESSAGE_OVERHEAD_BYTES = 80


class DeadView(NamedTuple):
    """A node that is dead in a `NodeView`, and when it was marked dead."""

    record: NodeRecord
    dead_since_s: float


class NodeView:
    """The nodes that are alive or dead for one node; replaces its `Directory`."""

    def __init__(self, records: list[NodeRecord]) -> None:
        self.records = records
        self.dead_views: list[DeadView] = []

    def alive(self) -> list[NodeRecord]:
        """See `balsamspindle.membership.directory.Directory`."""
        return self.records

    def dead(self) -> list[DeadView]:
        """See `balsamspindle.membership.directory.Directory`."""
        return self.dead_views

    def mark_dead(self, gone: set[str], now_s: float) -> None:
        """Move the nodes with the ids in `gone` to the dead nodes."""
        self.dead_views += [
            DeadView(record, now_s) for record in self.records if record.node_id in gone
        ]
        self.records = [other for other in self.records if other.node_id not in gone]

    def mark_all_alive(self) -> None:
        """Move all dead nodes back to the alive nodes."""
        self.records = [*self.records, *(view.record for view in self.dead_views)]
        self.dead_views = []


class LimitFleet:
    """The limiters of simulated nodes, which are spread over availability zones.

    Attributes
    ----------
    unreachable : callable
        Takes the records of two nodes; returns whether messages from the first node to
        the second node are lost.
    bytes, bytes_between_zones : int
        Size of all messages, and of those between nodes of different zones.
    """

    def __init__(self, count: int, zones: int = 3, seed: int = 1) -> None:
        self.now_s = 1000.0
        self.random = random.Random(seed)
        self.unreachable = lambda asker, asked: False
        self.bytes = self.bytes_between_zones = 0
        self.policy = LimitPolicy(
            zones, WINDOW_S, OVER_FRACTION * USED_FRACTION, OVER_COUNT * USED_FRACTION
        )
        self.records = [
            NodeRecord(
                f"node-{number}", 1, 0, "r", f"zone-{number % zones}", "", "", "alive"
            )
            for number in range(count)
        ]
        self.views = {own.node_id: NodeView(list(self.records)) for own in self.records}
        self.limiters: dict[str, Limiter] = {}
        for record in self.records:
            self.start(record)
        for limiter in self.limiters.values():
            limiter.refresh(self.now_s)
        self.now_s += 60

    def start(self, record: NodeRecord) -> None:
        """Start a node's limiter; a restarted one has lost its buckets."""
        view = self.views[record.node_id]
        granters = {
            scope: Granters(record, view, scope, self.policy) for scope in Scope
        }
        links = _Links(self, record)
        self.limiters[record.node_id] = Limiter(
            record, granters, links, lambda: self.now_s
        )


class _Links:
    def __init__(self, fleet: LimitFleet, own: NodeRecord) -> None:
        self._fleet, self._own = fleet, own

    def request_grant(self, node, question):
        """See `balsamspindle.customers.limits.LimitLinks`."""
        if self._fleet.unreachable(self._own, node):
            return None
        result = self._fleet.limiters[node.node_id].answer(question)
        self._count(node, question, result)
        return result

    def send(self, node, message):
        """See `balsamspindle.customers.limits.LimitLinks`."""
        if not self._fleet.unreachable(self._own, node):
            self._fleet.limiters[node.node_id].receive_return(message)
            self._count(node, message)

    def _count(self, node, *messages) -> None:
        size = sum(
            len(encode(message)) + MESSAGE_OVERHEAD_BYTES for message in messages
        )
        self._fleet.bytes += size
        if node.availability_zone != self._own.availability_zone:
            self._fleet.bytes_between_zones += size


class Load:
    """Simulated callers of many customers; a few customers send most requests.

    Attributes
    ----------
    usual_rates : dict of str to float
        Each customer's usual requests per second.
    limits : dict of str to float
        Each customer's limit in requests per second; by default `headroom` times its
        usual rate.
    rate_factors : dict of str to float
        Ratio of each customer's present rate to its usual rate; 1 by default.
    zone_weights : dict of str to dict of str to float
        For each customer, the weight with which its requests go to nodes of a zone.
        A customer without an entry uses all nodes equally.
    revision : int
        Revision of the settings that contain the limits.
    granted : dict of str to list of float
        Simulated times of the granted requests, by customer.
    refused : dict of str to int
        Number of refused requests, by customer.
    """

    def __init__(
        self, fleet: LimitFleet, per_s: float, customers: int, headroom: float = 1.6
    ) -> None:
        self.fleet = fleet
        self.zone_weights: dict[str, dict[str, float]] = {}
        weights = [1 / (rank + 3) for rank in range(customers)]
        self.usual_rates = {
            f"c-{rank}": per_s * weight / sum(weights)
            for rank, weight in enumerate(weights)
        }
        self.limits = {
            name: max(1.0, round(headroom * rate))
            for name, rate in self.usual_rates.items()
        }
        self.rate_factors = defaultdict(lambda: 1.0)
        self.revision = 1
        self.granted: dict[str, list[float]] = defaultdict(list)
        self.refused: dict[str, int] = defaultdict(int)

    def run(self, seconds: float) -> None:
        """Advance the clock by `seconds`, and send requests to random nodes."""
        fleet, until_s = self.fleet, self.fleet.now_s + seconds
        names = list(self.usual_rates)
        while True:
            rates = [self.usual_rates[name] * self.rate_factors[name] for name in names]
            fleet.now_s += fleet.random.expovariate(sum(rates))
            if fleet.now_s >= until_s:
                fleet.now_s = until_s
                return
            (name,) = fleet.random.choices(names, rates)
            self.send_request(self._node(name), name)

    def _node(self, name: str) -> NodeRecord:
        records, weights = self.fleet.records, self.zone_weights.get(name)
        if weights is None:
            return self.fleet.random.choice(records)
        by_node = [weights.get(record.availability_zone, 0.0) for record in records]
        return self.fleet.random.choices(records, by_node)[0]

    def send_request(self, node: NodeRecord, name: str) -> Grant | Denial | None:
        """Request a grant for a customer at a node; count and return the result."""
        limit = self.limits[name]
        customer = CustomerDocument(name, (), limit, limit)
        limiter = self.fleet.limiters[node.node_id]
        acquired = limiter.acquire(customer, self.revision)
        if isinstance(acquired, Grant):
            self.granted[name].append(self.fleet.now_s)
        else:
            self.refused[name] += 1
        return acquired

    def refused_fraction(self) -> float:
        """Return the fraction of all requests that was refused."""
        refused = sum(self.refused.values())
        return refused / (refused + sum(map(len, self.granted.values())))

    def largest_window_fraction(self) -> float:
        """Return the highest ratio of granted to allowed requests in a window.

        The maximum is taken over all customers and all windows of `WINDOW_S`.
        """
        return max(
            _most_in_window(times) / allowed(self.limits[name], self.limits[name])
            for name, times in self.granted.items()
        )

    def reset_counts(self) -> None:
        """Reset the counts of granted and refused requests, and of bytes."""
        self.granted.clear()
        self.refused.clear()
        self.fleet.bytes = self.fleet.bytes_between_zones = 0


def allowed(rate_per_s: float, burst: float) -> float:
    """Return how many requests a customer may run in one window of `WINDOW_S`.

    The permitted excess is included.
    """
    return (rate_per_s * WINDOW_S + burst) * (1 + OVER_FRACTION) + OVER_COUNT


def _most_in_window(times: list[float]) -> int:
    most = first = 0
    for last, time_s in enumerate(times):
        while time_s - times[first] > WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most
