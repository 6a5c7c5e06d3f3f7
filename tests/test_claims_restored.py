"""Claims of idempotency keys after the store came back from an older copy."""

import io
import random
import time
from collections import Counter

from testtools import TestCase

from balsamspindle.backend_servers import ledger
from balsamspindle.backend_servers.ledger import KeyRefused, RunLedger
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.requests import claim_eras
from balsamspindle.requests.claim_eras import ClaimEras, Confirmation, Holder
from balsamspindle.requests.claim_restorer import ClaimRestorer
from balsamspindle.requests.claims import ClaimBook, GateIdentity, KeyClaimant
from balsamspindle.tables.eras import packed_version
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import AttemptId, Claim, Dispatch, Reply
from tests.restorable_store import RestorableStore, StoreView

SERVICE, KEY = "crew/contracts", "sign-7"
# Long enough that each process knows its fleet.
STARTED_S = 100.0
COPY_INTERVAL_S = claim_eras.COPY_AGE_MAX_S / 2
# Some of these, and keys that were lost are no longer sent again.
RARELY_S = claim_eras.KEY_RESEND_MAX_S / 3


def dispatch_of(claim, key: str = KEY) -> Dispatch:
    return Dispatch(
        AttemptId("n", 1, 1), "id", SERVICE, "s", Execution.NON_IDEMPOTENT,
        1.0, 1.0, "POST", "/", [], b"", 0, key, claim=claim,
    )  # fmt: skip


def reply(outcome, reason=None) -> Reply:
    return Reply(AttemptId("n", 1, 1), outcome, reason)


class PromptBook(ClaimBook):
    """Calls a store that never hangs, without a thread."""

    def _ask(self, deadline_s, call):
        return call()


EVENTS = EventLog("all", 1, HybridClock(), io.StringIO())


class Process:
    """One node: the gate's ledger, the ingress's claims, and the restorer."""

    def __init__(
        self, name: str, incarnation: int, world: "World", rng: random.Random
    ) -> None:
        self.gate = GateIdentity(name, incarnation)
        self.view = StoreView(world.store, rng, lambda: world.now_s)
        self.ledger = RunLedger(*self.gate)
        eras = ClaimEras(on_wanted=world.want)
        self.book = PromptBook(self.view, eras, lambda: world.now_s)
        self.restorer = ClaimRestorer(
            self.view,
            Holder(*self.gate),
            eras,
            self.ledger.begin_era,
            self.book.take_made,
            lambda: [Holder(*one.gate) for one in world.processes.values()],
            lambda: False,
            EVENTS,
        )

    def claimant(self, key: str = KEY) -> KeyClaimant:
        return KeyClaimant(self.book, SERVICE, key, time.monotonic() + 60)


class World:
    """A store and a few processes that have known each other for a while."""

    def __init__(self, seed: int = 0, names: str = "abc") -> None:
        self.rng = random.Random(seed)
        self.store = RestorableStore()
        self.now_s = 0.0
        self.processes: dict[str, Process] = {}
        for name in names:
            self.replace(name)
        self.step_all()
        self.now_s = STARTED_S
        self.step_all()

    def want(self, era: int) -> None:
        for process in self.processes.values():
            process.restorer.want(era)

    def replace(self, name: str) -> None:
        """End a process and start another one in its place."""
        before = self.processes.get(name)
        incarnation = before.gate.incarnation + 1 if before else 1
        self.processes[name] = Process(name, incarnation, self, self.rng)

    def step_all(self) -> None:
        """Let each process follow the store, a second after the last time."""
        self.now_s += 1.0
        for process in self.processes.values():
            # As the settings do, from time to time.
            process.view.read("settings", ["any"])
            process.restorer.step(self.now_s)

    def run_at(self, name: str, ingress: str = "c", key: str = KEY) -> Claim:
        """Claim a key for a gate through an ingress, and run it there."""
        gate = self.processes[name]
        claim = self.processes[ingress].claimant(key).claim_for(gate.gate, self.now_s)
        assert isinstance(claim, Claim), claim
        dispatch = dispatch_of(claim, key)
        assert gate.ledger.begin(dispatch, self.now_s) is None
        gate.ledger.end(dispatch, reply(Outcome.ANSWERED), self.now_s)
        return claim


class RestoredClaimTests(TestCase):
    def setUp(self):
        super().setUp()
        self.patch(claim_eras, "RESTORE_WAIT_S", 0.0)

    def _resend(self, world: World, ingress: str, gate: str, key: str = KEY):
        claimant = world.processes[ingress].claimant(key)
        claim = claimant.claim_for(world.processes[gate].gate, world.now_s)
        final = claimant.final(reply(Outcome.NOT_RUN, Reason.CLAIM_MOVED))
        return claim, claimant.owner(), final.outcome

    def test_the_gate_that_ran_a_key_claims_it_again(self):
        # Guards against a second run of a key whose claim the store has lost.
        world = World()
        world.store.copy()
        world.run_at("a")
        world.store.restore()
        world.step_all()
        world.step_all()
        claim, owner, outcome = self._resend(world, "b", "b")
        self.assertIs(Reason.CLAIM_MOVED, claim)
        self.assertEqual(("a", Outcome.UNKNOWN), (owner, outcome))
        self.assertEqual("a", self._resend(world, "b", "a")[0].node_id)

    def test_a_gate_that_was_restarted_leaves_a_key_unknown(self):
        # Guards against a second run of a key whose gate has forgotten that it ran.
        world = World()
        world.store.copy()
        world.run_at("a", ingress="a")
        world.store.restore()
        world.replace("a")
        for _ in range(10):
            world.step_all()
        for gate in "abc":
            claim, _, outcome = self._resend(world, "b", gate)
            self.assertIs(Reason.CLAIMS_UNAVAILABLE, claim)
            self.assertIs(Outcome.UNKNOWN, outcome)

    def test_an_ingress_claims_a_key_again_that_ran_at_a_gate_which_is_gone(self):
        # Guards against a second run once such keys are no longer in doubt.
        world = World()
        world.store.copy()
        world.run_at("a", ingress="c")
        world.store.restore()
        world.replace("a")
        world.step_all()
        world.now_s += 2 * claim_eras.KEY_RESEND_MAX_S
        for _ in range(3):
            world.step_all()
        claim, owner, outcome = self._resend(world, "b", "a")
        self.assertIs(Reason.CLAIM_MOVED, claim)
        self.assertEqual(("a", Outcome.UNKNOWN), (owner, outcome))
        # Other keys are served again.
        world.step_all()
        self.assertIsInstance(self._resend(world, "b", "a", "other")[0], Claim)

    def test_a_gate_that_is_cut_off_leaves_keys_unknown_until_it_is_back(self):
        # Guards against a second run of a key whose gate can't tell that it ran.
        world = World()
        world.store.copy()
        world.run_at("a", ingress="a")
        world.processes["a"].view.is_cut = True
        world.store.restore()
        for _ in range(10):
            world.step_all()
        claim, _, outcome = self._resend(world, "b", "b")
        self.assertIs(Reason.CLAIMS_UNAVAILABLE, claim)
        self.assertIs(Outcome.UNKNOWN, outcome)
        world.processes["a"].view.is_cut = False
        for _ in range(3):
            world.step_all()
        self.assertIs(Reason.CLAIM_MOVED, self._resend(world, "b", "b")[0])
        self.assertIsInstance(self._resend(world, "b", "b", "other")[0], Claim)

    def test_a_claim_made_before_its_writer_heard_of_the_era_runs_nothing(self):
        # Guards against a run under a claim that took the place of a lost one.
        world = World()
        world.store.copy()
        world.run_at("a")
        world.store.restore()
        gate = world.processes["b"]
        late = gate.claimant()
        self.assertIs(Reason.CLAIMS_UNAVAILABLE, late.claim_for(gate.gate, 1.0))
        # Another one finds that row before the gate which ran the key does.
        claim = world.processes["c"].claimant().claim_for(gate.gate, 1.0)
        refused = gate.ledger.begin(dispatch_of(claim), world.now_s)
        self.assertIsInstance(refused, KeyRefused)
        for _ in range(3):
            world.step_all()
        self.assertEqual("a", self._resend(world, "b", "b")[1])

    def test_a_claim_of_an_earlier_era_begins_nothing_once_keys_were_counted(self):
        # Guards against a run that starts after its gate said which keys it ran.
        world = World()
        gate = world.processes["a"]
        claim = world.processes["c"].claimant().claim_for(gate.gate, world.now_s)
        held = gate.ledger.begin_era(packed_version(2, 0), 0.0, world.now_s)
        self.assertEqual([], held)
        refused = gate.ledger.begin(dispatch_of(claim), world.now_s)
        self.assertEqual(KeyRefused(Outcome.NOT_RUN, Reason.CLAIM_MOVED), refused)

    def test_not_run_is_not_said_of_a_key_whose_claim_may_be_lost(self):
        # Guards against 'not run' for a key that ran before the store came back.
        world = World()
        world.store.copy()
        world.run_at("a")
        world.store.restore()
        world.processes["b"].view.hear(2)
        refusal = reply(Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER)
        final = world.processes["b"].claimant().final(refusal)
        self.assertIs(Outcome.UNKNOWN, final.outcome)

    def test_keys_are_claimed_again_soon_when_all_processes_live(self):
        # Guards against a fleet that serves no new key after a drill.
        world = World()
        world.store.copy()
        world.store.restore()
        world.step_all()
        self._resend(world, "b", "a", "first")
        world.step_all()
        world.step_all()
        for ingress in "abc":
            claim, _, _ = self._resend(world, ingress, "a", f"new-{ingress}")
            self.assertIsInstance(claim, Claim)

    def test_a_fleet_without_keys_calls_the_store_no_more_than_before(self):
        # Guards against calls of all nodes at once after a drill, for nothing.
        world = World()
        world.store.copy()
        world.store.restore()
        for _ in range(3):
            world.step_all()
        self.assertEqual({}, world.store.rows)

    def test_a_process_that_started_later_takes_the_word_of_the_others(self):
        # Guards against an era that each new process holds for unsettled.
        world = World()
        world.store.copy()
        world.run_at("a")
        world.store.restore()
        for _ in range(3):
            world.step_all()
        self._resend(world, "b", "a", "first")
        for _ in range(3):
            world.step_all()
        world.replace("c")
        self._resend(world, "c", "a", "new")
        world.step_all()
        self.assertIsInstance(self._resend(world, "c", "a", "new")[0], Claim)

    def test_two_restores_in_a_row_lose_no_key(self):
        # Guards against claims that were written again and lost with the next copy.
        world = World()
        world.store.copy()
        world.run_at("a")
        for _ in range(2):
            world.store.restore()
            world.step_all()
        for _ in range(3):
            world.step_all()
        self.assertEqual("a", self._resend(world, "b", "b")[1])


class ClaimErasTests(TestCase):
    def _eras(self, *holders) -> ClaimEras:
        eras = ClaimEras()
        eras.begin(1, 0.0)
        eras.note_holders(holders, 0.0, 0.0)
        return eras

    def test_who_ended_shortly_before_the_era_is_missing(self):
        here, gone = Holder("here", 1), Holder("gone", 1)
        eras = self._eras(here, gone)
        eras.note_holders([here, Holder("gone", 2)], 50.0, 50.0)
        eras.begin(2, 55.0)
        words = {"here": Confirmation(1, 2), "gone": Confirmation(2, 2)}
        self.assertEqual({gone}, eras.missing(words))

    def test_who_ended_before_any_copy_is_not_missing(self):
        here, gone = Holder("here", 1), Holder("gone", 1)
        eras = self._eras(here, gone)
        eras.note_holders([here], 61.0, 61.0)
        eras.begin(2, 62.0)
        self.assertEqual(set(), eras.missing({"here": Confirmation(1, 2)}))

    def test_who_ended_since_the_last_answer_of_the_store_is_missing(self):
        # Guards against a process that was cut off and forgets who held claims.
        here, gone = Holder("here", 1), Holder("gone", 1)
        eras = self._eras(here, gone)
        eras.note_holders([here], 30.0, 500.0)
        eras.begin(2, 501.0)
        self.assertEqual({gone}, eras.missing({"here": Confirmation(1, 2)}))

    def test_who_starts_in_an_era_does_not_know_who_is_missing(self):
        eras = ClaimEras()
        eras.note_holders([Holder("here", 1)], 0.0, 0.0)
        eras.begin(2, 50.0)
        self.assertIsNone(eras.missing({"here": Confirmation(1, 2)}))

    def test_who_has_just_started_does_not_know_its_fleet(self):
        eras = self._eras(Holder("here", 1))
        eras.begin(2, claim_eras.FLEET_KNOWN_AFTER_S - 0.1)
        self.assertIsNone(eras.missing({"here": Confirmation(1, 2)}))

    def test_who_was_missing_stays_so_over_the_next_era(self):
        here, gone = Holder("here", 1), Holder("gone", 1)
        eras = self._eras(here, gone)
        eras.begin(2, 50.0)
        eras.note_holders([here], 111.0, 111.0)
        eras.begin(3, 112.0)
        self.assertEqual({gone}, eras.missing({"here": Confirmation(1, 3)}))

    def test_a_process_that_outbid_old_news_of_itself_confirms(self):
        # Guards against an era that one node's higher incarnation leaves unsettled.
        eras = self._eras(Holder("here", 3))
        eras.begin(2, 50.0)
        self.assertEqual(set(), eras.missing({"here": Confirmation(2, 2)}))

    def test_a_request_in_doubt_is_told_at_once(self):
        eras = self._eras(Holder("here", 1))
        eras.begin(2, 50.0)
        now_s = 50.1 + claim_eras.RESTORE_WAIT_S
        started_s = time.monotonic()
        self.assertFalse(eras.wait_settled(2, now_s, now_s + 60.0))
        self.assertLess(time.monotonic() - started_s, claim_eras.RESTORE_WAIT_S)


class Schedule:
    """Callers that resend a key while processes fail and the store goes back.

    When they no longer do they go on with the next key.
    """

    def __init__(self, seed: int) -> None:
        self.world = World(seed)
        self.rng = self.world.rng
        self.copied_s = self.world.now_s
        self.late: list[tuple[Process, Dispatch]] = []
        self.number, self.first_sent_s = 0, self.world.now_s
        self.runs: Counter[str] = Counter()
        self.told_not_run = False
        self.told: Counter[Outcome] = Counter()
        self.lost_claims = 0
        self.runs_after_restore = 0
        for process in self.world.processes.values():
            process.view.fails = 0.1

    def step(self) -> None:
        """Let one thing happen."""
        self.world.now_s += self.rng.choice([0, 0, 0.2, 1, 5, RARELY_S])
        if self.world.now_s - self.copied_s > COPY_INTERVAL_S:
            self.copy()
        self.rng.choice(
            [
                *[self.send] * 3, self.come_late, self.copy, self.restore,
                self.replace, self.cut, *[self.follow] * 6, *[self.gossip] * 3,
            ]
        )()  # fmt: skip

    @property
    def key(self) -> str:
        return f"sign-{self.number}"

    def send(self) -> None:
        if self.world.now_s - self.first_sent_s > claim_eras.KEY_RESEND_MAX_S:
            self.number, self.first_sent_s = self.number + 1, self.world.now_s
        claimant = self._any().claimant(self.key)
        self.told_not_run = False
        last = reply(Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER)
        if self.rng.random() < 0.2:
            claimant.look_up()
        else:
            for _ in range(3):
                last = self.attempt(claimant)
                if last.outcome is not Outcome.NOT_RUN:
                    break
        final = claimant.final(last)
        self.told[final.outcome] += 1
        self.told_not_run = final.outcome is Outcome.NOT_RUN
        self.check()

    def attempt(self, claimant) -> Reply:
        name = claimant.owner() or self.rng.choice("abc")
        gate = self.world.processes[name]
        claim = claimant.claim_for(gate.gate, self.world.now_s)
        if isinstance(claim, Reason):
            return reply(Outcome.NOT_RUN, claim)
        dispatch = dispatch_of(claim, self.key)
        match self.rng.choice(["whole", "whole", "not sent", "late", "no reply"]):
            case "not sent":
                return reply(Outcome.NOT_RUN, Reason.UNREACHABLE)
            case "late":
                self.late.append((gate, dispatch))
                return reply(Outcome.UNKNOWN, Reason.SILENCE)
            case "no reply":
                self.gate_handles(gate, dispatch)
                return reply(Outcome.UNKNOWN, Reason.SILENCE)
        got = self.gate_handles(gate, dispatch)
        claimant.note(got)
        return got

    def come_late(self) -> None:
        if self.late:
            gate, dispatch = self.rng.choice(self.late)
            if gate is self.world.processes[gate.gate.node_id]:
                self.gate_handles(gate, dispatch)

    def gate_handles(self, gate: Process, dispatch: Dispatch) -> Reply:
        match gate.ledger.begin(dispatch, self.world.now_s):
            case KeyRefused(outcome, reason):
                return reply(outcome, reason)
            case ledger.Earlier(earlier):
                return earlier
        if self.rng.random() < 0.5:
            ended = reply(Outcome.NOT_RUN, Reason.NO_FREE_SLOT)
        else:
            self.runs[dispatch.idempotency_key] += 1
            self.runs_after_restore += self.world.store.era > 1
            self.check()
            ended = reply(self.rng.choice([Outcome.ANSWERED, Outcome.UNKNOWN]))
        gate.ledger.end(dispatch, ended, self.world.now_s)
        return ended

    def copy(self) -> None:
        self.world.store.copy()
        self.copied_s = self.world.now_s

    def restore(self) -> None:
        row = ("claims", f"{SERVICE}:{self.key}")
        had_claim = row in self.world.store.rows
        self.world.store.restore()
        self.lost_claims += had_claim and row not in self.world.store.rows

    def replace(self) -> None:
        if self.rng.random() < 0.2:
            name = self.rng.choice("abc")
            self.world.replace(name)
            self.world.processes[name].view.fails = 0.1

    def cut(self) -> None:
        for process in self.world.processes.values():
            process.view.is_cut = self.rng.random() < 0.1

    def follow(self) -> None:
        process = self._any()
        process.view.read("settings", ["any"])
        process.restorer.step(self.world.now_s)

    def gossip(self) -> None:
        self._any().view.hear(self._any().view.era)

    def check(self) -> None:
        assert max(self.runs.values(), default=0) <= 1, "a key ran twice"
        was_run = self.told_not_run and self.runs[self.key]
        assert not was_run, "'not run' was said of a run"

    def _any(self) -> Process:
        return self.rng.choice(list(self.world.processes.values()))


class RestoreScheduleTests(TestCase):
    def test_a_key_runs_once_whatever_the_store_loses(self):
        # Guards against a second run after restores at random moments.
        self.patch(claim_eras, "RESTORE_WAIT_S", 0.0)
        told, lost_claims, runs_after_restore = Counter(), 0, 0
        for seed in range(1000):
            schedule = Schedule(seed)
            for _ in range(60):
                schedule.step()
            told += schedule.told
            lost_claims += schedule.lost_claims
            runs_after_restore += schedule.runs_after_restore
        self.assertTrue(all(told[outcome] > 100 for outcome in Outcome), told)
        self.assertGreater(lost_claims, 100)
        self.assertGreater(runs_after_restore, 100)
