"""Idempotency keys across several gates: each runs once, with a correct outcome."""

import random
import time
from collections import Counter

from expression import Error, Ok
from testtools import TestCase

from balsamspindle.backend_servers import ledger
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.requests.claims import ClaimsTable, GateIdentity
from balsamspindle.requests.key_claimant import KeyClaimant
from balsamspindle.tables import (
    Conflict,
    Put,
    Row,
    TableService,
    Transaction,
    Unknown,
    Unreachable,
)
from balsamspindle.wire import AttemptId, Dispatch, Reply

SERVICE = "crew/contracts"
HERE, THERE = GateIdentity("here", 1), GateIdentity("there", 1)


class Tables(TableService):
    """A claims table in memory; each call removes its fault from the list `faults`."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.faults: list[str] = []
        self.writes = 0

    def read(self, table, keys):
        if self._fault():
            return Error(Unreachable("down"))
        return Ok([self._row(key) for key in keys])

    def transact(self, transaction: Transaction):
        self.writes += 1
        fault = self._fault()
        if fault == "down":
            return Error(Unreachable("down"))
        if fault == "slow":
            time.sleep(0.3)
        if fault == "lost":
            return Error(Unknown("the call was lost"))
        for check in transaction.checks:
            if self._row(check.key).version != check.version:
                return Error(Conflict([self._row(check.key)]))
        for put in transaction.puts:
            self._put(put)
        if fault:
            return Error(Unknown("the reply was lost"))
        return Ok(self.rows[transaction.puts[0].key].version)

    def _put(self, put: Put) -> None:
        version = self._row(put.key).version + 1
        self.rows[put.key] = Row(put.key, version, put.value)

    def _row(self, key) -> Row:
        return self.rows.get(key, Row(key, 0))

    def _fault(self) -> str | None:
        return self.faults.pop(0) if self.faults else None


def reply(outcome, reason=None) -> Reply:
    return Reply(AttemptId("n", 1, 1), outcome, reason)


class KeyClaimantTests(TestCase):
    def setUp(self):
        super().setUp()
        self.tables = Tables()
        self.claims = ClaimsTable(self.tables)

    def _claimant(self, timeout_s=30.0):
        return KeyClaimant(self.claims, SERVICE, "key", time.monotonic() + timeout_s)

    def test_a_resend_through_another_node_goes_to_the_gate_that_has_the_key(self):
        self.assertEqual("here", self._claimant().claim_for(HERE, 5.0).node_id)
        resend = self._claimant()
        self.assertIs(Reason.CLAIM_MOVED, resend.claim_for(THERE, 9.0))
        self.assertEqual("here", resend.owner_id())
        self.assertEqual(("here", 1, 1, 5.0), resend.claim_for(HERE, 9.0))
        # The claimant sent no request to the gate that has the claim, and this gate may
        # have run a request with the key.
        final = resend.final_reply(reply(Outcome.NOT_RUN, Reason.CLAIM_MOVED))
        self.assertEqual(
            (Outcome.UNKNOWN, Reason.DUPLICATE), (final.outcome, final.reason)
        )

    def test_a_claim_moves_only_after_its_gate_replied_not_run(self):
        claimant = self._claimant()
        claimant.claim_for(HERE, 5.0)
        claimant.record_reply(reply(Outcome.UNKNOWN, Reason.SILENCE))
        self.assertIs(Reason.CLAIM_MOVED, claimant.claim_for(THERE, 5.0))
        claimant.record_reply(reply(Outcome.NOT_RUN, Reason.DRAINING))
        self.assertIsNone(claimant.owner_id())
        self.assertEqual(("there", 1, 2, 6.0), claimant.claim_for(THERE, 6.0))

    def test_only_one_of_two_claimants_can_move_a_claim(self):
        first, second = self._claimant(), self._claimant()
        for claimant in (first, second):
            claimant.claim_for(HERE, 5.0)
            claimant.record_reply(reply(Outcome.NOT_RUN, Reason.DRAINING))
        self.assertEqual(2, first.claim_for(THERE, 6.0).version)
        self.assertIs(Reason.CLAIM_MOVED, second.claim_for(HERE, 7.0))
        self.assertEqual("there", second.owner_id())

    def test_not_run_is_not_replied_when_a_resend_runs_at_another_gate(self):
        # Guards against `not_run` for a resend while the first request runs. A backend
        # server leaves, and its gate refuses the first request. The first request moves
        # the claim to another gate and runs there. The resend, through another node,
        # still uses the old claim and is refused by the first gate as well.
        first, resend = self._claimant(), self._claimant()
        first.claim_for(HERE, 5.0)
        self.assertIs(Reason.CLAIM_MOVED, resend.claim_for(THERE, 5.0))
        first.record_reply(reply(Outcome.NOT_RUN, Reason.DRAINING))
        self.assertEqual("there", first.claim_for(THERE, 6.0).node_id)
        refused = reply(Outcome.NOT_RUN, Reason.CLAIM_MOVED)
        resend.record_reply(refused)
        final = resend.final_reply(refused)
        self.assertEqual(
            (Outcome.UNKNOWN, Reason.DUPLICATE), (final.outcome, final.reason)
        )

    def test_not_run_is_replied_when_the_claim_has_not_moved(self):
        refused = reply(Outcome.NOT_RUN, Reason.DRAINING)
        claimant = self._claimant()
        claimant.claim_for(HERE, 5.0)
        claimant.record_reply(refused)
        self.assertIs(Outcome.NOT_RUN, claimant.final_reply(refused).outcome)
        # While the store is down, the claimant can't check whether a resend has moved
        # the claim.
        self.tables.faults = ["down"]
        self.assertIs(Outcome.UNKNOWN, claimant.final_reply(refused).outcome)

    def test_a_claim_is_made_although_a_write_or_its_reply_was_lost(self):
        for number, fault in enumerate(("lost reply", "lost")):
            claimant = KeyClaimant(
                self.claims, SERVICE, f"key-{number}", time.monotonic() + 30
            )
            self.tables.faults = [fault]
            self.assertEqual(1, claimant.claim_for(HERE, 5.0).version)

    def test_without_the_platform_nothing_runs_and_the_outcome_is_unknown(self):
        # Guards against a second run. This request did not run, but an earlier request
        # with the same key may have run. After 'not run', the caller would send its
        # request again with a new key, and the request would run again.
        for faults, timeout_s in ((["down"], 30.0), (["slow"], 0.05)):
            self.tables.faults = faults
            claimant = self._claimant(timeout_s)
            reason = claimant.claim_for(HERE, 5.0)
            self.assertIs(Reason.CLAIMS_UNAVAILABLE, reason)
            final = claimant.final_reply(reply(Outcome.NOT_RUN, reason))
            self.assertEqual((Outcome.UNKNOWN, reason), (final.outcome, final.reason))

    def test_without_an_attempt_not_run_is_replied_for_unclaimed_keys_only(self):
        refusal = reply(Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER)
        self.assertIs(Outcome.NOT_RUN, self._claimant().final_reply(refusal).outcome)
        self.tables.faults = ["down"]
        self.assertIs(Outcome.UNKNOWN, self._claimant().final_reply(refusal).outcome)
        self._claimant().claim_for(HERE, 5.0)
        self.assertIs(Outcome.UNKNOWN, self._claimant().final_reply(refusal).outcome)

    def test_a_first_request_needs_one_write(self):
        claimant = self._claimant()
        claimant.claim_for(HERE, 5.0)
        claimant.final_reply(reply(Outcome.ANSWERED))
        self.assertEqual(1, self.tables.writes)


class Schedule:
    """Callers that resend one key through failing gates, in random steps from a seed.

    Messages are lost, delayed and repeated, gates are replaced, time passes, and calls
    of the platform fail. Counts the runs of the key.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.tables = Tables()
        self.claims = ClaimsTable(self.tables)
        self.gates = {name: (1, ledger.RunLedger(name, 1)) for name in ("a", "b", "c")}
        self.late: list[tuple[str, Dispatch]] = []
        self.runs = 0
        self.replied_not_run = False
        self.outcomes: Counter[Outcome] = Counter()

    def step(self) -> None:
        self.now_s += self.rng.choice([0, 0, 1, ledger.KEY_RETENTION_S / 3])
        match self.rng.choice(["send", "send", "late", "late", "replace"]):
            case "send":
                self.send()
            case "late" if self.late:
                name, dispatch = self.rng.choice(self.late)
                self.handle_at_gate(name, dispatch)
            case "replace" if self.rng.random() < 0.3:
                name = self.rng.choice("abc")
                incarnation = self.gates[name][0] + 1
                self.gates[name] = incarnation, ledger.RunLedger(name, incarnation)

    def send(self) -> None:
        self.replied_not_run = False
        self.tables.faults = [
            self.rng.choice(["", "", "", "down", "lost", "lost reply"])
            for _ in range(4)
        ]
        claimant = KeyClaimant(self.claims, SERVICE, "key", time.monotonic() + 60)
        last = reply(Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER)
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
        gate = GateIdentity(name, self.gates[name][0])
        if self.rng.random() < 0.1:
            return reply(Outcome.NOT_RUN, Reason.UNREACHABLE)
        claim = claimant.claim_for(gate, self.now_s)
        if isinstance(claim, Reason):
            return reply(Outcome.NOT_RUN, claim)
        dispatch = Dispatch(
            AttemptId("n", 1, 1), "id", SERVICE, "s", Execution.NON_IDEMPOTENT,
            1.0, 1.0, "POST", "/", [], b"", 0, "key", claim=claim,
        )  # fmt: skip
        match self.rng.choice(["whole", "whole", "not sent", "late", "no reply"]):
            case "not sent":
                return reply(Outcome.NOT_RUN, Reason.UNREACHABLE)
            case "late":
                self.late.append((name, dispatch))
                return reply(Outcome.UNKNOWN, Reason.SILENCE)
            case "no reply":
                self.handle_at_gate(name, dispatch)
                return reply(Outcome.UNKNOWN, Reason.SILENCE)
        got = self.handle_at_gate(name, dispatch)
        claimant.record_reply(got)
        return got

    def handle_at_gate(self, name: str, dispatch: Dispatch) -> Reply:
        run_ledger = self.gates[name][1]
        match run_ledger.begin(dispatch, self.now_s):
            case ledger.KeyRefused(outcome, reason):
                return reply(outcome, reason)
            case ledger.EarlierAnswer(earlier):
                return earlier
        if self.rng.random() < 0.5:
            ended = reply(Outcome.NOT_RUN, Reason.NO_FREE_SLOT)
        else:
            self.runs += 1
            self.check()
            ended = reply(self.rng.choice([Outcome.ANSWERED, Outcome.UNKNOWN]))
        run_ledger.end(dispatch, ended, self.now_s)
        return ended

    def check(self) -> None:
        assert self.runs <= 1, "a key ran twice"
        assert not (self.replied_not_run and self.runs), (
            "'not run' replied for a key that ran"
        )


class ScheduleTests(TestCase):
    def test_a_key_runs_at_most_once_over_all_gates_with_random_faults(self):
        outcomes = Counter()
        for seed in range(1000):
            schedule = Schedule(seed)
            for _ in range(30):
                schedule.step()
            outcomes += schedule.outcomes
        # If one of the outcomes hardly occurred, the schedules would hardly test the
        # cases that lead to it.
        self.assertTrue(all(outcomes[outcome] > 100 for outcome in Outcome), outcomes)
