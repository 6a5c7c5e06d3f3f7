"""Queue of membership news; each item is sent a few times, by priority.

The subject of an item is a node, a backend server, or one node's verdict on
another. A newer item replaces the queued item about the same subject, so the
queue is bounded by the number of subjects and not by how often they change.
Items that are evicted from a full queue still reach the peers later, by
anti-entropy.
"""

import math
from collections import Counter, OrderedDict
from enum import IntEnum
from typing import NamedTuple

import msgspec

from balsamspindle.wire import News, NodeNews, VerdictNews

__all__ = ["NewsQueue", "Priority", "transmissions"]

QUEUED_MAX = 20_000
URGENT_TRANSMISSIONS_FACTOR = 3
ROUTINE_EXTRA_TRANSMISSIONS = 3

_encoder = msgspec.msgpack.Encoder()


class Priority(IntEnum):
    """Order in which items are sent when the byte cap does not allow all of them."""

    URGENT = 0
    NORMAL = 1
    DETAIL = 2


class _Item(NamedTuple):
    news: News
    size_bytes: int
    remaining_transmissions: int


ItemKey = tuple[str, str]


def transmissions(priority: Priority, nodes: int) -> int:
    """Return how often each node sends an item in a fleet of `nodes` nodes.

    Gossip reaches all but a few nodes after a number of rounds that grows with
    the logarithm of the fleet's size. Urgent news is sent in more rounds, so that
    a node is very unlikely to miss it. Other news is sent in fewer rounds, since
    anti-entropy reaches the remaining nodes at a lower cost.
    """
    digits = math.ceil(math.log10(nodes + 1))
    if priority is Priority.URGENT:
        return URGENT_TRANSMISSIONS_FACTOR * digits
    return digits + ROUTINE_EXTRA_TRANSMISSIONS


class NewsQueue:
    """News that one node has to send, by priority; used by the member task alone.

    Attributes
    ----------
    evicted_count : int
        Number of items evicted because the queue was full.
    """

    def __init__(self) -> None:
        self._items: dict[Priority, OrderedDict[ItemKey, _Item]] = {
            priority: OrderedDict() for priority in Priority
        }
        self._priorities: dict[ItemKey, Priority] = {}
        self.evicted_count = 0

    def __len__(self) -> int:
        return len(self._priorities)

    def has_urgent(self) -> bool:
        """Return whether urgent news is queued."""
        return bool(self._items[Priority.URGENT])

    def add(self, news: News, priority: Priority, nodes: int) -> None:
        """Queue an item; it replaces any queued item about the same subject.

        `nodes` is the size of the fleet, on which the number of transmissions depends.
        """
        key = _key(news)
        self.remove(key)
        if len(self._priorities) >= QUEUED_MAX:
            self._evict_one()
        item = _Item(news, len(_encoder.encode(news)), transmissions(priority, nodes))
        items = self._items[priority]
        items[key] = item
        # New items are sent before items that were sent already.
        items.move_to_end(key, last=False)
        self._priorities[key] = priority

    def record_duplicate(self, news: News) -> None:
        """Reduce the remaining transmissions of an item that a peer has sent too.

        Each received duplicate shows that one more node has the item. Without the
        reduction, most transmissions in a burst of news would go to nodes that
        already have the item. Urgent items keep their number of transmissions.
        """
        key = _key(news)
        priority = self._priorities.get(key)
        if priority in (None, Priority.URGENT):
            return
        items = self._items[priority]
        if items[key].remaining_transmissions <= 1:
            self.remove(key)
        else:
            items[key] = items[key]._replace(
                remaining_transmissions=items[key].remaining_transmissions - 1
            )

    def remove(self, key: ItemKey) -> None:
        """Remove the item about one subject, if any."""
        priority = self._priorities.pop(key, None)
        if priority is not None:
            del self._items[priority][key]

    def remove_verdicts(self) -> None:
        """Remove all verdicts on other nodes."""
        for key in [key for key in self._priorities if key[1].startswith("claim/")]:
            self.remove(key)

    def next_batch(self, size_max_bytes: int, urgent_only: bool = False) -> list[News]:
        """Return items that fit into the size, and count one transmission of each."""
        batch: list[News] = []
        remaining_bytes = size_max_bytes
        for priority in Priority:
            if urgent_only and priority is not Priority.URGENT:
                break
            remaining_bytes = self._add_items(priority, remaining_bytes, batch)
        return _merge_entries(batch)

    def count_by_priority(self) -> Counter[str]:
        """Return the number of queued items by priority."""
        return Counter(
            {priority.name.lower(): len(self._items[priority]) for priority in Priority}
        )

    def _add_items(self, priority, remaining_bytes: int, batch: list[News]) -> int:
        items = self._items[priority]
        for _ in range(len(items)):
            key, item = next(iter(items.items()))
            if item.size_bytes > remaining_bytes:
                break
            remaining_bytes -= item.size_bytes
            batch.append(item.news)
            if item.remaining_transmissions <= 1:
                self.remove(key)
            else:
                items[key] = item._replace(
                    remaining_transmissions=item.remaining_transmissions - 1
                )
                items.move_to_end(key)
        return remaining_bytes

    def _evict_one(self) -> None:
        for priority in reversed(Priority):
            if self._items[priority]:
                self.remove(next(reversed(self._items[priority])))
                self.evicted_count += 1
                return


def _key(news: News) -> ItemKey:
    match news:
        case VerdictNews(node_id=node_id, by=by):
            return node_id, f"claim/{by}"
        case NodeNews(node_id=node_id, header=None, servers=[entry]):
            return node_id, f"server/{entry.record.backend_server_id}"
        case NodeNews(node_id=node_id):
            return node_id, "node"


def _merge_entries(batch: list[News]) -> list[News]:
    """Merge the entries of each node into one item, so that its id is sent once."""
    merged: dict[tuple, News] = {}
    for number, news in enumerate(batch):
        match news:
            case NodeNews(header=None):
                key = (news.node_id, news.incarnation)
                if key in merged:
                    news = msgspec.structs.replace(
                        news, servers=[*merged[key].servers, *news.servers]
                    )
                merged[key] = news
            case _:
                merged[number,] = news
    return list(merged.values())
