"""The number of links that a node opens, and what happens when none is free."""

import io
import time

import zmq
from testtools import TestCase
from testtools.matchers import raises

from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests.link_pool import (
    EXHAUSTED_S,
    IDLE_LINK_MAX_S,
    IDLE_LINKS_MAX,
    LinkPool,
    LinksExhausted,
)
from balsamspindle.timeline import EventLog, HybridClock
from tests.fake_gate import FakeGate
from tests.one_gate import Ingress, prompt_answer
from tests.utils import free_address, wait_until

PEERS = 20
LINKS_EACH = 8


class LinkPoolTests(TestCase):
    def setUp(self):
        super().setUp()
        self.events = EventLog("own", 1, HybridClock(), io.StringIO())
        self.context = zmq.Context()
        self.addCleanup(self.context.destroy, linger=0)

    def _pool(self, **options) -> LinkPool:
        pool = LinkPool(self.context, self.events, **options)
        self.addCleanup(pool.close)
        return pool

    def _gate(self) -> str:
        address = free_address()
        gate = FakeGate(address, prompt_answer)
        self.addCleanup(gate.close)
        return address

    def _acquire(self, pool: LinkPool, address: str):
        return pool.acquire(address, time.monotonic() + 5)

    def test_links_to_peers_that_are_gone_are_given_back(self):
        # Guards against a node that closes callers' connections without an answer:
        # links to replaced peers, which nobody asks for again, used up its sockets.
        pool = self._pool()
        for _ in range(PEERS):
            address = free_address()
            gate = FakeGate(address, prompt_answer)
            links = [self._acquire(pool, address) for _ in range(LINKS_EACH)]
            for link in links:
                pool.release(link)
            gate.close()
        self.assertEqual(IDLE_LINKS_MAX, pool.open_count())
        pool.close_unused(time.monotonic() + IDLE_LINK_MAX_S + 1)
        self.assertEqual(0, pool.open_count())

    def test_an_idle_link_makes_room_for_one_to_another_peer(self):
        pool = self._pool(links_max=1)
        for address in (self._gate(), self._gate()):
            link = self._acquire(pool, address)
            self.assertIsNotNone(link)
            pool.release(link)
        self.assertEqual(1, pool.open_count())

    def test_a_pool_without_a_free_link_says_so_until_one_is_free(self):
        pool, address = self._pool(links_max=2), self._gate()
        links = [self._acquire(pool, address) for _ in range(2)]
        self.assertFalse(pool.is_exhausted(time.monotonic()))
        self.assertThat(lambda: self._acquire(pool, address), raises(LinksExhausted))
        now_s = time.monotonic()
        self.assertTrue(pool.is_exhausted(now_s))
        self.assertFalse(pool.is_exhausted(now_s + EXHAUSTED_S))
        events = self.events.recent(0, 100).lines
        self.assertEqual(1, sum("links_exhausted" in event for event in events))
        links[0].close()
        self.assertIsNotNone(self._acquire(pool, address))

    def test_a_context_without_sockets_exhausts_the_pool_and_loses_none(self):
        # Guards against sockets that stay open after a link could be opened in part
        # only, and against an error that no caller of the pool expects.
        self.context.max_sockets = 10
        pool, address = self._pool(), self._gate()
        links = []
        while not pool.is_exhausted(time.monotonic()):
            try:
                links.append(self._acquire(pool, address))
            except LinksExhausted:
                pass
        for _ in range(20):
            self.assertThat(
                lambda: self._acquire(pool, address), raises(LinksExhausted)
            )
        for link in links:
            link.close()
        self.assertEqual(0, pool.open_count())
        # ZeroMQ frees the sockets of closed links in another thread.
        wait_until(
            lambda: self._can_open(pool, address, len(links)), "sockets are free"
        )

    def _can_open(self, pool, address, count) -> bool:
        links = []
        try:
            while len(links) < count:
                links.append(self._acquire(pool, address))
        except LinksExhausted:
            return False
        finally:
            for link in links:
                link.close()
        return True


class RefusalTests(TestCase):
    def test_a_request_is_refused_truthfully_when_no_link_is_free(self):
        # Guards against connections that are closed without an answer, and against a
        # gate that is avoided because this node is short of links.
        address = free_address()
        gate = FakeGate(address, prompt_answer)
        self.addCleanup(gate.close)
        ingress = Ingress(address, links_max=1)
        self.addCleanup(ingress.links.close)
        taken = ingress.links.acquire(address, time.monotonic() + 5)
        reply = ingress.request()
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.NO_FREE_LINK), (reply.outcome, reply.reason)
        )
        self.assertEqual([], gate.dispatches)
        ingress.links.release(taken)
        self.assertIs(Outcome.ANSWERED, ingress.request().outcome)
        self.assertNotIn("gate_unreachable", "".join(ingress.log.recent(0, 100).lines))
