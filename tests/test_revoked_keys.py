"""Settings and proofs that change while requests are admitted."""

import json
import threading
import time
from io import StringIO

from testtools import TestCase

from balsamspindle.customers import Admitted, CustomerAdmission, Refused
from balsamspindle.customers.freshness import Freshness, Proof
from balsamspindle.customers.proofs import ProofQuestion, ProofRefresher
from balsamspindle.membership import Directory
from balsamspindle.protocol.api_keys import key_digest
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.requests.admissions import Admissions
from balsamspindle.requests.caller_requests import CallerRequest
from balsamspindle.requests.request_log import RequestLog
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.reader_selection import ReaderPosition
from balsamspindle.settings.watcher import OperatorRow, SettingsWatcher, WholeSettings
from balsamspindle.tables.proof_clock import proof_time_s
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import NodeRecord
from tests.caller_side import IngressFixture
from tests.test_customer_keys import (
    KEY,
    KEYED,
    NAMES,
    NEXT_KEY,
    OTHER_KEY,
    customer,
    get,
)
from tests.test_watcher_proofs import SlowTables

AGE_MAX_S = 5.0
OLD_S, NOW_S = 100.0, 109.0
# Reads of the configuration in one decision; more than any version makes.
READS_MAX = 6
# Time for which a read waits for the change that runs beside it. A change that needs a
# lock of the decision ends after it.
CHANGE_WAIT_S = 0.1
WORKERS, SWITCHES = 16, 40
REVOKED = {**KEYED, "crew/customers/anna": customer("Anna")}
REQUEST = CallerRequest("GET", "/contracts/7", key_digest=key_digest(KEY))


class ChangingConfiguration(CurrentConfiguration):
    """Makes a change in another thread right after one of its reads.

    Attributes
    ----------
    reads_left : int
        Number of reads up to the change.
    change : callable
    """

    def __init__(self) -> None:
        super().__init__()
        self.reads_left = 0
        self.change = lambda: None

    def get(self):
        configuration = super().get()
        if self.reads_left:
            self.reads_left -= 1
            if not self.reads_left:
                change = threading.Thread(target=self.change)
                change.start()
                change.join(CHANGE_WAIT_S)
        return configuration


class World:
    """The admissions of one node, which has revision 1 in force."""

    def __init__(self, configuration: CurrentConfiguration | None = None) -> None:
        self.configuration = configuration or CurrentConfiguration()
        self.configuration.offer(1, KEYED)
        self.freshness = Freshness(AGE_MAX_S, self.configuration)
        events = EventLog("node", 1, HybridClock(), StringIO())
        self.admissions = Admissions(
            CustomerAdmission(self.configuration, self.freshness),
            RequestLog(events, self.configuration),
        )

    def prove(self, began_s: float, revision: int) -> None:
        """Record a proof."""
        self.freshness.record(Proof(began_s, revision))

    def switch(self, documents: dict[str, bytes], began_s: float = NOW_S) -> None:
        """Put revision 2 in force and record its proof."""
        self.configuration.offer(2, documents)
        self.prove(began_s, 2)

    def admit(self, request: CallerRequest = REQUEST):
        """Decide on a request that arrives now."""
        return self.admissions.admit(request, "r", NOW_S)


class SwitchDuringDecisionTests(TestCase):
    def _decisions(self, documents, proven_s, request=REQUEST):
        """Return one decision for each read at which the switch can fall."""
        for reads in range(1, READS_MAX + 1):
            configuration = ChangingConfiguration()
            world = World(configuration)
            world.prove(proven_s, 1)
            configuration.change = lambda world=world: world.switch(documents)
            configuration.reads_left = reads
            yield world.admit(request)

    def test_a_proof_of_newer_settings_does_not_prolong_the_use_of_a_revoked_key(self):
        # Guards against a decision by old settings and by the proof of newer ones.
        for decision in self._decisions(REVOKED, OLD_S):
            self.assertNotIsInstance(decision, Admitted)

    def test_settings_that_come_into_force_after_their_proof_cover_no_older_ones(self):
        # Guards against the same fault at a node that is in touch all the time, but
        # starved: its settings come into force later than the bound.
        for reads in range(1, READS_MAX + 1):
            configuration = ChangingConfiguration()
            world = World(configuration)
            world.prove(OLD_S, 1)
            world.prove(NOW_S, 2)

            def change(world=world):
                world.configuration.offer(2, REVOKED)
                world.admit()

            configuration.change, configuration.reads_left = change, reads
            self.assertNotIsInstance(world.admit(), Admitted)

    def test_a_valid_key_is_accepted_while_settings_change(self):
        # Guards against refusals by a node whose proofs are new enough all the time.
        for decision in self._decisions(KEYED, NOW_S - 1):
            self.assertIsInstance(decision, Admitted)


class ManyRequestsTests(TestCase):
    def _count_admitted(self, documents, proven_s: float) -> tuple[int, int]:
        """Return how many decisions beside the switches admitted, and their number."""
        admitted = decided = 0
        for _ in range(SWITCHES):
            world, ended = World(), threading.Event()
            world.prove(proven_s, 1)
            counts: list[tuple[int, int]] = []
            workers = [
                threading.Thread(target=_admit_until, args=(world, ended, counts))
                for _ in range(WORKERS)
            ]
            for worker in workers:
                worker.start()
            world.switch(documents)
            ended.set()
            for worker in workers:
                worker.join()
            admitted += sum(count for count, _ in counts)
            decided += sum(count for _, count in counts)
        return admitted, decided

    def test_no_request_with_a_revoked_key_is_admitted_as_a_node_is_in_touch_again(
        self,
    ):
        # Guards against the same fault where only the interpreter switches threads.
        admitted, decided = self._count_admitted(REVOKED, OLD_S)
        self.assertEqual(0, admitted, f"of {decided} requests")

    def test_no_request_with_a_valid_key_is_refused_as_settings_change(self):
        admitted, decided = self._count_admitted(KEYED, NOW_S - 1)
        self.assertEqual(decided, admitted)


def _admit_until(
    world: World, ended: threading.Event, counts: list[tuple[int, int]]
) -> None:
    admitted = decided = 0
    while True:
        is_last = ended.is_set()
        decided += 1
        admitted += isinstance(world.admit(), Admitted)
        if is_last:
            break
    counts.append((admitted, decided))


class SuspendedMachineTests(TestCase):
    """While a machine is suspended, its monotonic clock stops."""

    def _suspend(self, duration_s: float) -> None:
        clock_gettime = time.clock_gettime

        def after_suspension(clock: int) -> float:
            passed_s = duration_s if clock == time.CLOCK_BOOTTIME else 0.0
            return clock_gettime(clock) + passed_s

        self.patch(time, "clock_gettime", after_suspension)

    def test_no_key_is_accepted_by_a_proof_from_before_a_suspension(self):
        # Guards against a key that is revoked while the machine is suspended.
        fixture = IngressFixture(KEYED, AGE_MAX_S, headers=NAMES)
        self.addCleanup(fixture.close)
        tables = SlowTables()
        tables.read_s = 0.0
        watcher = SettingsWatcher(
            tables,
            OperatorRow("op", "config", lambda value: WholeSettings(value, KEYED)),
            fixture.configuration,
            fixture.events,
            lambda: ReaderPosition(0, 1),
            on_read=lambda *read: fixture.freshness.record(Proof(*read)),
        )
        watcher.renew_proof()
        request = get(f"X-Key: {KEY}")
        self.assertEqual(200, fixture.caller().send(request).read().status)
        self._suspend(AGE_MAX_S + 1)
        self.assertEqual(503, fixture.caller().send(request).read().status)

    def test_a_suspension_counts_in_the_age_that_peers_are_told(self):
        configuration = CurrentConfiguration()
        configuration.offer(1, {})
        record = NodeRecord("node", 1, 0, "r", "zone", "a:1", "a:2", "alive")
        sent = []
        refresher = ProofRefresher(
            record,
            Directory(),
            Freshness(AGE_MAX_S, configuration),
            EventLog("node", 1, HybridClock(), StringIO()),
            lambda: None,
            lambda address, message: sent.append(message),
        )
        refresher.record_read(proof_time_s(), 1)
        self._suspend(AGE_MAX_S + 1)
        refresher.answer_question(ProofQuestion("b:2", 1))
        self.assertGreater(sent[0].age_ms, AGE_MAX_S * 1000)


class UndecodableCustomerTests(TestCase):
    """A newer release writes a customer's document that this release can't decode."""

    def _decide(self, document: bytes, key: str) -> Admitted | Refused:
        world = World()
        world.switch({**KEYED, "crew/customers/anna": document})
        request = CallerRequest("GET", "/contracts/7", key_digest=key_digest(key))
        return world.admit(request)

    def test_a_key_that_the_document_no_longer_lists_is_not_accepted(self):
        # Guards against a revoked key that stays in the last decodable document.
        document = customer("Anna", NEXT_KEY, added_later=1)
        self.assertNotIsInstance(self._decide(document, KEY), Admitted)
        self.assertEqual("Anna", self._decide(document, NEXT_KEY).name)

    def test_keys_that_cant_be_read_are_refused_as_unproven(self):
        # Guards against a key that may be revoked, and against a 401 for a valid key.
        document = b'{"name": "Anna", "key_digests": 7}'
        for key in (KEY, NEXT_KEY, "k-unknown"):
            self.assertEqual(Reason.KEYS_UNPROVEN, self._decide(document, key).reason)
        self.assertEqual("Ben", self._decide(document, OTHER_KEY).name)


class OneConfigurationTests(TestCase):
    def test_route_and_customer_of_a_request_come_from_the_same_settings(self):
        # Guards against a service and a customer together that no settings allow.
        moved = {
            **json.loads(KEYED["crew/routes/read"]),
            "service": "crew/next",
        }
        before = {**KEYED, "crew/customers/ben": customer("Ben")}
        after = {
            **KEYED,
            "crew/services/next": b"{}",
            "crew/routes/read": json.dumps(moved).encode(),
        }
        request = CallerRequest("GET", "/contracts/7", key_digest=key_digest(OTHER_KEY))
        for reads in range(1, READS_MAX + 1):
            configuration = ChangingConfiguration()
            world = World(configuration)
            world.configuration.offer(2, before)
            world.prove(NOW_S - 1, 2)

            def change(world=world):
                world.configuration.offer(3, after)
                world.prove(NOW_S, 3)

            configuration.change, configuration.reads_left = change, reads
            match world.admit(request):
                case Admitted(route=route):
                    self.assertEqual("crew/next", route.service)
            if configuration.reads_left:
                change()
            self.assertEqual("crew/next", world.admit(request).route.service)
