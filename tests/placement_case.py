"""A selector of placements with fixed backend servers, for tests."""

import random
from typing import NamedTuple

from testtools import TestCase

from balsamspindle.membership.directory import Placement
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.requests.forwarded import ForwardedRequest
from balsamspindle.requests.http import CallerRequest
from balsamspindle.requests.placement_selection import (
    PlacementSelector,
)
from balsamspindle.services.answer_sizes import AnswerSizes
from balsamspindle.services.free_slots import FreeSlotEstimates
from balsamspindle.services.held_out_servers import HeldOutServers
from balsamspindle.services.holdouts import HoldOuts
from balsamspindle.services.known_terms import KnownTerms
from balsamspindle.services.queue_hints import QueueHints
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.wire import (
    BackendServerRecord,
    NodeRecord,
)

__all__ = [
    "ANSWER_BYTES",
    "DEADLINE_S",
    "FAR",
    "NEAR",
    "SERVICE",
    "TARGET_MS",
    "FixedPicker",
    "FixedSender",
    "PlacementCase",
    "place",
]

TARGET_MS = 2000.0
DEADLINE_S = 100.0
ANSWER_BYTES = 2500
SERVICE = "t/a"
NEAR, FAR = ("near-0", "near-1"), ("far-0", "far-1", "far-2", "far-3", "far-4")


def place(name: str) -> Placement:
    node = NodeRecord(f"node-{name}", 1, 0, "r", name.partition("-")[0], "", "", "")
    return Placement(node, BackendServerRecord(name, SERVICE, "1", 6, "ready"))


class FixedPicker:
    def __init__(self, near=NEAR) -> None:
        self._near = near

    def split_by_zone(self, service, execution):
        return [place(name) for name in self._near], [place(name) for name in FAR]

    def view(self, service):
        placements = [place(name) for name in (*self._near, *FAR)]
        return NamedTuple("View", [("placements", list)])(placements)


class FixedSender:
    def __init__(self) -> None:
        self.held_out_servers = HeldOutServers()
        self.queue_hints = QueueHints()
        self.link_hold_outs = HoldOuts(1.0, 1.0)
        self.known_terms = KnownTerms()


class PlacementCase(TestCase):
    """Selects the placements of one request among two near and five far servers."""

    def setUp(self):
        super().setUp()
        self.sender = FixedSender()
        self.free = FreeSlotEstimates()
        self.sizes = AnswerSizes()
        self.selector = PlacementSelector(
            FixedPicker(), self.sender, self.free, self.sizes, random.Random(1)
        )
        route = RouteDocument(SERVICE, Execution.IDEMPOTENT, target_ms=TARGET_MS)
        self.sizes.record(route, ANSWER_BYTES)
        self.forwarded = ForwardedRequest("r", None, CallerRequest(), route, DEADLINE_S)

    def tries(self, waits_ms=None):
        """Select attempts until a gate accepts one; return each with its longest wait.

        The gate of a backend server refuses an attempt that would have to wait longer,
        according to `waits_ms`. A missing wait is 10 s.
        """
        tries = []
        while selected := self.selector.select(self.forwarded, 0.0):
            name = selected.placement.backend_server.backend_server_id
            wait_ms = (waits_ms or {}).get(name, 10_000.0)
            self.forwarded.attempts += 1
            tries.append((name, selected.wait_max_ms))
            if selected.wait_max_ms is None or wait_ms <= selected.wait_max_ms:
                return tries
            self.forwarded.tried.add(name)
            self.forwarded.search.queue_wait_ms[name] = wait_ms
        return tries
