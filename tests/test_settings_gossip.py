"""How accepted changes reach all nodes: order, joining nodes and cost."""

import random
from collections import Counter
from collections.abc import Mapping

import msgspec
from expression import Error, Ok
from testtools import TestCase

from balsamspindle.settings.configuration import (
    ApplyResult,
    Configuration,
    CurrentConfiguration,
)
from balsamspindle.settings.pages import pages_of_documents
from balsamspindle.settings.reader import PollPlan
from balsamspindle.settings.reader_selection import is_reader
from balsamspindle.tables import PlatformGuard, Unreachable
from balsamspindle.wire.settings_messages import (
    SettingsNotice,
    SettingsPage,
    SettingsPagePull,
)
from tests.settings_network import History, Network
from tests.settings_utils import ZONES, node_record
from tests.utils import encode as json_bytes

FLEET_NODES = 5_600
PLATFORM_READS_PER_S = 2_000


def route(service: str, prefix: str, **fields) -> bytes:
    """Return a route document."""
    fields = {"service": service, "path_prefix": prefix, **fields}
    return json_bytes({"execution": "idempotent", **fields})


class ConfigurationTests(TestCase):
    def test_a_node_never_returns_to_an_older_revision_or_skips_a_change(self):
        # Guards against a slow peer's older snapshot that replaces newer settings.
        # Guards also against changes that arrive out of order and leave a mix of two
        # revisions that nobody accepted.
        history, current = History(), CurrentConfiguration()
        first, second, third = (
            history.change({f"t/services/s{n}": b"{}"}) for n in range(3)
        )
        self.assertEqual(ApplyResult.GAP, current.apply([first]))
        self.assertEqual(ApplyResult.IN_FORCE, current.offer(0, {}))
        self.assertEqual(ApplyResult.GAP, current.apply([second]))
        self.assertEqual(ApplyResult.IN_FORCE, current.apply([first, second]))
        self.assertEqual(ApplyResult.OLD, current.apply([first]))
        self.assertEqual(ApplyResult.OLD, current.offer(1, {}, first.chain))
        self.assertEqual(ApplyResult.IN_FORCE, current.apply([first, second, third]))
        self.assertEqual(3, len(current.get().services))

    def test_a_slow_older_source_does_not_replace_a_newer_one(self):
        # A change comes in force while the node decodes a peer's whole settings of
        # revision 0. When the decoding is done, these older settings must not replace
        # the newer ones.
        history, current = History(), CurrentConfiguration()
        newer = history.change({"t/services/a": b"{}"})

        class SlowDocuments(Mapping):
            def __getitem__(self, path):
                return b"{}"

            def __iter__(self):
                current.offer(0, {})
                current.apply([newer])
                return iter(())

            def __len__(self):
                return 0

        current.offer(0, SlowDocuments())
        self.assertEqual(1, current.revision)

    def test_a_change_of_another_history_is_refused(self):
        # A platform that was restored from a backup assigns the same revisions again,
        # but to other changes.
        history, restored = History(), History()
        current = CurrentConfiguration()
        current.offer(0, {})
        current.apply([history.change({"t/services/a": b"{}"})])
        restored.change({})
        restored.chain = "another"
        next_there = restored.change({"t/services/b": b"{}"})
        self.assertEqual(ApplyResult.DIVERGED, current.apply([next_there]))
        self.assertEqual(["t/services/a"], list(current.get().documents))

    def test_single_changes_give_the_same_settings_as_a_full_load(self):
        draw = random.Random(11)
        history, current = History(), CurrentConfiguration()
        current.offer(0, {})
        for _ in range(300):
            number = draw.randrange(12)
            kind = draw.choice(["services", "routes"])
            path = f"t/{kind}/{number}"
            document = b"{}"
            if kind == "routes":
                document = route(
                    f"t/{draw.randrange(9)}",
                    f"/p{draw.randrange(4)}",
                    weight=number + 1,
                )
            if draw.random() < 0.3:
                document = None
            self.assertEqual(
                ApplyResult.IN_FORCE, current.apply([history.change({path: document})])
            )
            step, whole = current.get(), Configuration(0, current.get().documents)
            self.assertEqual(whole.services, step.services)
            for prefix in range(4):
                lookup = ("any", f"/p{prefix}/x", "GET")
                self.assertEqual(whole.routes.find(*lookup), step.routes.find(*lookup))

    def test_an_unreadable_document_does_not_block_other_documents(self):
        # A newer release wrote a document that this node can't decode. If the node
        # refused the whole change, it would route by old settings for ever, and its
        # callers would get no error.
        history, current = History(), CurrentConfiguration()
        current.offer(0, {"t/services/a": b'{"queue_max": 3}'})
        current.apply(
            [history.change({"t/services/a": b'{"newer": 1}', "t/services/b": b"{}"})]
        )
        self.assertEqual({"t/a", "t/b"}, set(current.get().services))
        self.assertEqual(3, current.get().services["t/a"].queue_max)
        self.assertEqual(["t/services/a"], list(current.get().unusable))


class PollTests(TestCase):
    def test_the_fleets_polls_are_bounded_whatever_its_size(self):
        # 5,600 nodes that each poll once a second would send almost three times the
        # reads that the platform allows. Operators' writes would then fail, too.
        records = [node_record(number) for number in range(FLEET_NODES)]
        by_zone = [records[zone::ZONES] for zone in range(ZONES)]
        readers = [
            record for zone in by_zone for record in zone if is_reader(record, zone)
        ]
        self.assertEqual(2 * ZONES, len(readers))
        self.assertLess(self._reads_per_s(records, records), 400)

    def test_polls_of_partitioned_nodes_stay_within_the_platforms_limit(self):
        # A partitioned node knows only itself and selects itself as reader, so the
        # whole fleet would poll the platform in the middle of a failure.
        records = [node_record(number) for number in range(FLEET_NODES)]
        self.assertLess(self._reads_per_s(records, []), PLATFORM_READS_PER_S)

    def _reads_per_s(self, records, known_later):
        """Return the fleet's polls per second, extrapolated from a sample of nodes."""
        sample = random.Random(3).sample(records, 280)
        reads_per_s = 0.0
        for record in sample:
            known = [list(records)]
            plan = PollPlan(record, lambda known=known: known[0])
            plan.next_wait_s(True)
            known[0] = [*known_later, record]
            waits_s = [plan.next_wait_s(True) for _ in range(3)]
            reads_per_s += len(waits_s) / sum(waits_s)
        return reads_per_s * len(records) / len(sample)

    def test_calls_to_an_unavailable_platform_are_limited(self):
        # Each call that hangs takes its full timeout. Without a pause between calls a
        # node would do nothing else, and an overloaded platform would not recover.
        now_s = [0.0]
        guard = PlatformGuard("seed", lambda: now_s[0])
        calls = []

        def fail():
            calls.append(now_s[0])
            return Error(Unreachable("down"))

        for _ in range(1200):
            now_s[0] += 0.05
            guard.read(fail)
        self.assertLess(len(calls), 70)
        now_s[0] += 2.0
        self.assertTrue(guard.read(lambda: Ok([])).is_ok())
        self.assertTrue(guard.read(lambda: Ok([])).is_ok())


class GossipTests(TestCase):
    def test_a_change_reaches_every_node_once(self):
        network, history = Network(250), History()
        for configuration in network.configurations:
            configuration.offer(0, {})
        network.run(2)
        network.received_bytes = [0] * 250
        change = history.change({"t/services/s": b" " * 1000 + b"{}"})
        network.configurations[0].apply([change])
        network.run(20)
        # A node that missed all notices receives the revision with a peer's next member
        # message.
        for number in range(250):
            network.announce(number, (number + 1) % 250)
        network.run(10)
        self.assertEqual({1}, network.revisions())
        # Each node receives the change of 1,000 bytes once. The other bytes are notices
        # and pulls.
        self.assertLess(sum(network.received_bytes) / 250, 1_800)

    def test_a_joining_node_starts_from_the_highest_revision_of_its_peers(self):
        # The first peer to answer was isolated and still has old settings. If the
        # joining node started from them, it would route by older settings than before
        # its restart.
        network, history = Network(4, zones=1), History()
        changes = [history.change({f"t/services/{n}": b"{}"}) for n in range(3)]
        for number in (1, 2, 3):
            network.configurations[number].offer(0, {})
            network.configurations[number].apply(changes[:number])
        in_force = []
        offer = network.configurations[0].offer
        network.configurations[0].offer = lambda revision, *rest: (
            in_force.append(revision) or offer(revision, *rest)
        )
        for node in network.nodes[1:]:
            node._notified_revision = 3
        network.run(10)
        self.assertEqual([3], in_force)
        self.assertEqual(3, len(network.configurations[0].get().services))

    def test_a_joining_node_queries_another_peer_if_one_does_not_answer(self):
        network = Network(3, zones=1)
        for number in (1, 2):
            network.configurations[number].offer(number, {"t/services/s": b"{}"})
        network.nodes[0].handle(SettingsNotice("n2", 2), network.now_s)
        network.nodes[0].handle(SettingsNotice("n1", 1), network.now_s)
        network.unreachable = {"n2"}
        network.run(40)
        self.assertEqual(1, network.configurations[0].revision)

    def test_a_node_without_a_source_of_settings_emits_an_event(self):
        network = Network(1)
        network.run(50)
        self.assertIn("settings_no_source", network.events[0].names)
        self.assertEqual(-1, network.configurations[0].revision)

    def test_a_joining_node_pulls_the_pages_from_many_peers(self):
        # Each peer sends within its own byte cap. A single peer would take minutes for
        # the megabyte of settings of a full-size fleet, and until then the joining
        # node refuses callers.
        network = Network(9, zones=1)
        documents = {
            f"t/routes/{n}": route("t/s", f"/{n}", host=f"h{n}") for n in range(12_000)
        }
        for configuration in network.configurations[1:]:
            configuration.offer(7, documents)
        for node in network.nodes[1:]:
            node._notified_revision = 7
        page_count = len(pages_of_documents(documents))
        sent = []
        send = network.nodes[0]._send
        network.nodes[0]._send = lambda address, message: (
            sent.append((address, type(message))) or send(address, message)
        )
        network.run(10)
        self.assertEqual(documents, network.configurations[0].get().documents)
        pulls = Counter(address for address, kind in sent if kind is SettingsPagePull)
        self.assertEqual(page_count, pulls.total())
        self.assertGreater(len(pulls), 4)

    def test_a_joining_node_requests_a_lost_page_again(self):
        # A peer at its byte cap drops a page. The joining node must request the page
        # again, and must not discard the peer as a source after one lost page.
        network = Network(2, zones=1)
        network.configurations[1].offer(7, {"t/services/s": b"{}"})
        lost = []

        def lose_first_page(message):
            if isinstance(message, SettingsPage) and not lost:
                lost.append(message)
                return True
            return False

        network.is_lost = lose_first_page
        network.run(40)
        self.assertEqual(1, len(lost))
        self.assertEqual(7, network.configurations[0].revision)

    def test_a_node_that_has_settings_requests_a_lost_page_again(self):
        # The two nodes have no revision in common, so all pages have to be sent, and
        # one of them is lost. If the node did not request this page again, it would
        # route by old settings until the next change.
        network = Network(2, zones=1)
        documents = {
            f"t/routes/{n}": route("t/s", f"/{n}", host=f"h{n}") for n in range(2_000)
        }
        network.configurations[0].offer(3, {"t/services/s": b"{}"})
        network.configurations[1].offer(7, documents)
        lost = []

        def lose_second_page(message):
            if isinstance(message, SettingsPage) and message.page == 1 and not lost:
                lost.append(message)
                return True
            return False

        network.is_lost = lose_second_page
        network.run(40)
        self.assertEqual(1, len(lost))
        self.assertEqual({7}, network.revisions())
        self.assertEqual(documents, network.configurations[0].get().documents)

    def test_pages_contain_all_settings_and_a_damaged_page_is_refused(self):
        network = Network(2, zones=1)
        documents = {
            f"t/routes/{n}": route("t/s", f"/{n}", host=f"h{n}") for n in range(12_000)
        }
        self.assertGreater(len(pages_of_documents(documents)), 3)
        network.configurations[1].offer(7, documents)
        damaged = network.nodes[1]._page_sender._pages_by_revision
        damaged[7] = ("", [b"damaged"])
        network.run(10)
        self.assertIn("settings_refused", network.events[0].names)
        del damaged[7]
        network.run(10)
        self.assertEqual(documents, network.configurations[0].get().documents)

    def test_an_isolated_node_gets_all_changes_that_it_lacks(self):
        network, history = Network(2, zones=1), History()
        for configuration in network.configurations:
            configuration.offer(0, {})
        changes = [
            history.change({f"t/services/{n}": b" " * 300 + b"{}"}) for n in range(400)
        ]
        network.configurations[1].apply(changes)
        network.run(20)
        self.assertEqual({400}, network.revisions())
        self.assertEqual(
            msgspec.json.encode(sorted(network.configurations[1].get().services)),
            msgspec.json.encode(sorted(network.configurations[0].get().services)),
        )
