"""News that waits to be passed on: the most important first, each a few times.

A newer item about the same thing replaces the older one, so the queue is
bounded by what there is to say and not by how often it changed. What falls
out is repaired by anti-entropy: nothing is lost for good.
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
    """What goes first when bytes are short."""

    URGENT = 0
    NORMAL = 1
    DETAIL = 2


class _Item(NamedTuple):
    news: News
    size_bytes: int
    left: int


Key = tuple[str, str]


def transmissions(priority: Priority, nodes: int) -> int:
    """Return how often one node passes an item on in a fleet of a size.

    An epidemic reaches all but a few after a number of rounds that grows with
    the logarithm of the fleet. Urgent news is repeated until it is very
    unlikely that a node misses it; for the rest anti-entropy is cheaper.
    """
    digits = math.ceil(math.log10(nodes + 1))
    if priority is Priority.URGENT:
        return URGENT_TRANSMISSIONS_FACTOR * digits
    return digits + ROUTINE_EXTRA_TRANSMISSIONS


class NewsQueue:
    """News of one node, by priority; used by the member task alone.

    Attributes
    ----------
    overflowed : int
        Items that fell out since the queue was full.
    """

    def __init__(self) -> None:
        self._items: dict[Priority, OrderedDict[Key, _Item]] = {
            priority: OrderedDict() for priority in Priority
        }
        self._priorities: dict[Key, Priority] = {}
        self.overflowed = 0

    def __len__(self) -> int:
        return len(self._priorities)

    def has_urgent(self) -> bool:
        """Tell whether urgent news waits."""
        return bool(self._items[Priority.URGENT])

    def add(self, news: News, priority: Priority, nodes: int) -> None:
        """Queue one item in place of an older one about the same thing."""
        key = _key(news)
        self.remove(key)
        if len(self._priorities) >= QUEUED_MAX:
            self._overflow()
        item = _Item(news, len(_encoder.encode(news)), transmissions(priority, nodes))
        items = self._items[priority]
        items[key] = item
        # Fresh news goes before news that was passed on already.
        items.move_to_end(key, last=False)
        self._priorities[key] = priority

    def heard_again(self, news: News) -> None:
        """Count news that a peer repeated: there it need not go any more.

        In a burst most transmissions would go to nodes that know already.
        """
        key = _key(news)
        priority = self._priorities.get(key)
        if priority in (None, Priority.URGENT):
            return
        items = self._items[priority]
        if items[key].left <= 1:
            self.remove(key)
        else:
            items[key] = items[key]._replace(left=items[key].left - 1)

    def remove(self, key: Key) -> None:
        """Drop what is queued about one thing."""
        priority = self._priorities.pop(key, None)
        if priority is not None:
            del self._items[priority][key]

    def remove_claims(self) -> None:
        """Drop all claims about other nodes."""
        for key in [key for key in self._priorities if key[1].startswith("claim/")]:
            self.remove(key)

    def take(self, size_max_bytes: int, urgent_only: bool = False) -> list[News]:
        """Return the items to pass on now and count this transmission."""
        taken: list[News] = []
        left_bytes = size_max_bytes
        for priority in Priority:
            if urgent_only and priority is not Priority.URGENT:
                break
            left_bytes = self._take_of(priority, left_bytes, taken)
        return _merged(taken)

    def waiting(self) -> Counter[str]:
        """Return the number of items by priority."""
        return Counter(
            {priority.name.lower(): len(self._items[priority]) for priority in Priority}
        )

    def _take_of(self, priority, left_bytes: int, taken: list[News]) -> int:
        items = self._items[priority]
        for _ in range(len(items)):
            key, item = next(iter(items.items()))
            if item.size_bytes > left_bytes:
                break
            left_bytes -= item.size_bytes
            taken.append(item.news)
            if item.left <= 1:
                self.remove(key)
            else:
                items[key] = item._replace(left=item.left - 1)
                items.move_to_end(key)
        return left_bytes

    def _overflow(self) -> None:
        for priority in reversed(Priority):
            if self._items[priority]:
                self.remove(next(reversed(self._items[priority])))
                self.overflowed += 1
                return


def _key(news: News) -> Key:
    match news:
        case VerdictNews(node_id=node_id, by=by):
            return node_id, f"claim/{by}"
        case NodeNews(node_id=node_id, header=None, servers=[entry]):
            return node_id, f"server/{entry.record.backend_server_id}"
        case NodeNews(node_id=node_id):
            return node_id, "node"


def _merged(taken: list[News]) -> list[News]:
    """Put entries of the same node into one item: its name travels once."""
    merged: dict[tuple, News] = {}
    for number, news in enumerate(taken):
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
