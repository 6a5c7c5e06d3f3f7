"""Idempotency keys with random faults and a store restored from older copies."""

from collections import Counter

from testtools import TestCase

from balsamspindle.backend_servers import ledger
from balsamspindle.backend_servers.ledger import KeyRefused
from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests import claim_eras
from balsamspindle.wire import Dispatch, Reply
from tests.claim_world import SERVICE, Process, World, make_dispatch, make_reply

COPY_INTERVAL_S = claim_eras.COPY_AGE_MAX_S / 2
# Three of these steps make up the time for which callers resend a key.
LONG_STEP_S = claim_eras.KEY_RESEND_MAX_S / 3


class Schedule:
    """Callers that resend a key while processes fail and the store is restored.

    After the time for which a key may be resent, the callers use the next key.
    """

    def __init__(self, seed: int) -> None:
        self.world = World(seed)
        self.rng = self.world.rng
        self.copied_s = self.world.now_s
        self.delayed: list[tuple[Process, Dispatch]] = []
        self.number, self.first_sent_s = 0, self.world.now_s
        self.runs: Counter[str] = Counter()
        self.replied_not_run = False
        self.outcomes: Counter[Outcome] = Counter()
        self.lost_claims = 0
        self.runs_after_restore = 0
        for process in self.world.processes.values():
            process.view.failure_rate = 0.1

    def step(self) -> None:
        """Advance the time and perform one random action."""
        self.world.now_s += self.rng.choice([0, 0, 0.2, 1, 5, LONG_STEP_S])
        if self.world.now_s - self.copied_s > COPY_INTERVAL_S:
            self.copy()
        self.rng.choice(
            [
                *[self.send] * 3, self.deliver_late, self.copy, self.restore,
                self.replace, self.cut, *[self.step_restorer] * 6, *[self.gossip] * 3,
            ]
        )()  # fmt: skip

    @property
    def key(self) -> str:
        return f"sign-{self.number}"

    def send(self) -> None:
        if self.world.now_s - self.first_sent_s > claim_eras.KEY_RESEND_MAX_S:
            self.number, self.first_sent_s = self.number + 1, self.world.now_s
        claimant = self._any().claimant(self.key)
        self.replied_not_run = False
        last = make_reply(Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER)
        if self.rng.random() < 0.2:
            claimant.look_up()
        else:
            for _ in range(3):
                last = self.attempt(claimant)
                if last.outcome is not Outcome.NOT_RUN:
                    break
        final = claimant.final_reply(last)
        self.outcomes[final.outcome] += 1
        self.replied_not_run = final.outcome is Outcome.NOT_RUN
        self.check()

    def attempt(self, claimant) -> Reply:
        name = claimant.owner_id() or self.rng.choice("abc")
        gate = self.world.processes[name]
        claim = claimant.claim_for(gate.gate, self.world.now_s)
        if isinstance(claim, Reason):
            return make_reply(Outcome.NOT_RUN, claim)
        dispatch = make_dispatch(claim, self.key)
        match self.rng.choice(["whole", "whole", "not sent", "late", "no reply"]):
            case "not sent":
                return make_reply(Outcome.NOT_RUN, Reason.UNREACHABLE)
            case "late":
                self.delayed.append((gate, dispatch))
                return make_reply(Outcome.UNKNOWN, Reason.SILENCE)
            case "no reply":
                self.handle_at_gate(gate, dispatch)
                return make_reply(Outcome.UNKNOWN, Reason.SILENCE)
        got = self.handle_at_gate(gate, dispatch)
        claimant.record_reply(got)
        return got

    def deliver_late(self) -> None:
        if self.delayed:
            gate, dispatch = self.rng.choice(self.delayed)
            if gate is self.world.processes[gate.gate.node_id]:
                self.handle_at_gate(gate, dispatch)

    def handle_at_gate(self, gate: Process, dispatch: Dispatch) -> Reply:
        match gate.ledger.begin(dispatch, self.world.now_s):
            case KeyRefused(outcome, reason):
                return make_reply(outcome, reason)
            case ledger.EarlierAnswer(earlier):
                return earlier
        if self.rng.random() < 0.5:
            ended = make_reply(Outcome.NOT_RUN, Reason.NO_FREE_SLOT)
        else:
            self.runs[dispatch.idempotency_key] += 1
            self.runs_after_restore += self.world.store.era > 1
            self.check()
            ended = make_reply(self.rng.choice([Outcome.ANSWERED, Outcome.UNKNOWN]))
        gate.ledger.end(dispatch, ended, self.world.now_s)
        return ended

    def copy(self) -> None:
        self.world.store.save_copy()
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
            self.world.processes[name].view.failure_rate = 0.1

    def cut(self) -> None:
        for process in self.world.processes.values():
            process.view.is_cut = self.rng.random() < 0.1

    def step_restorer(self) -> None:
        process = self._any()
        process.view.read("settings", ["any"])
        process.restorer.step(self.world.now_s)

    def gossip(self) -> None:
        self._any().view.record_era(self._any().view.era)

    def check(self) -> None:
        assert max(self.runs.values(), default=0) <= 1, "a key ran twice"
        was_run = self.replied_not_run and self.runs[self.key]
        assert not was_run, "'not run' replied for a key that ran"

    def _any(self) -> Process:
        return self.rng.choice(list(self.world.processes.values()))


class RestoreScheduleTests(TestCase):
    def test_a_key_runs_at_most_once_after_restores_at_random_times(self):
        # Guards against a second run of a request, and against 'not run' for a request
        # that ran, after the store was restored at random times.
        self.patch(claim_eras, "RESTORE_WAIT_S", 0.0)
        outcomes, lost_claims, runs_after_restore = Counter(), 0, 0
        for seed in range(1000):
            schedule = Schedule(seed)
            for _ in range(60):
                schedule.step()
            outcomes += schedule.outcomes
            lost_claims += schedule.lost_claims
            runs_after_restore += schedule.runs_after_restore
        self.assertTrue(all(outcomes[outcome] > 100 for outcome in Outcome), outcomes)
        self.assertGreater(lost_claims, 100)
        self.assertGreater(runs_after_restore, 100)
