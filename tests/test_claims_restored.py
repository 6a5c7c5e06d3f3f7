"""Claims of idempotency keys after the store was restored from an older copy."""

import time

from expression import Ok
from testtools import TestCase

from balsamspindle.backend_servers.ledger import KeyRefused
from balsamspindle.protocol.outcomes import Outcome, Reason
from balsamspindle.requests import claim_eras
from balsamspindle.requests.claim_eras import ClaimEras, ClaimHolder, Confirmation
from balsamspindle.requests.claims import ClaimsTable, GateIdentity
from balsamspindle.requests.key_claimant import KeyClaimant
from balsamspindle.tables import Row, TableService
from balsamspindle.tables.eras import pack_version
from balsamspindle.wire import AttemptId, Claim, Reply
from tests.claim_world import KEY, World, make_dispatch, make_reply


class RestoredClaimTests(TestCase):
    def setUp(self):
        super().setUp()
        self.patch(claim_eras, "RESTORE_WAIT_S", 0.0)

    def _resend(self, world: World, ingress: str, gate: str, key: str = KEY):
        claimant = world.processes[ingress].claimant(key)
        claim = claimant.claim_for(world.processes[gate].gate, world.now_s)
        final = claimant.final_reply(make_reply(Outcome.NOT_RUN, Reason.CLAIM_MOVED))
        return claim, claimant.owner_id(), final.outcome

    def test_the_gate_that_ran_a_key_claims_it_again(self):
        # Guards against a second run of a request after the store has lost the claim of
        # its key.
        world = World()
        world.store.save_copy()
        world.run_at("a")
        world.store.restore()
        world.step_all()
        world.step_all()
        claim, owner, outcome = self._resend(world, "b", "b")
        self.assertIs(Reason.CLAIM_MOVED, claim)
        self.assertEqual(("a", Outcome.UNKNOWN), (owner, outcome))
        self.assertEqual("a", self._resend(world, "b", "a")[0].node_id)

    def test_a_key_is_unknown_after_its_gate_restarted(self):
        # Guards against a second run of a request after the store has lost the claim of
        # its key. The gate that ran the request has restarted, so it does not know of
        # the first run.
        world = World()
        world.store.save_copy()
        world.run_at("a", ingress="a")
        world.store.restore()
        world.replace("a")
        for _ in range(10):
            world.step_all()
        for gate in "abc":
            claim, _, outcome = self._resend(world, "b", gate)
            self.assertIs(Reason.CLAIMS_UNAVAILABLE, claim)
            self.assertIs(Outcome.UNKNOWN, outcome)

    def test_an_ingress_claims_a_key_again_whose_gate_has_ended(self):
        # Guards against a second run after `KEY_RESEND_MAX_S`. From then on, the era is
        # settled although the gate has ended and can't write the claim of the key
        # again. Therefore the ingress that wrote the claim must write it again.
        world = World()
        world.store.save_copy()
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
        # Requests with unclaimed keys are served again.
        world.step_all()
        self.assertIsInstance(self._resend(world, "b", "a", "other")[0], Claim)

    def test_keys_are_unknown_until_their_gate_reaches_the_store_again(self):
        # Guards against a second run of a request. The gate that ran the request can't
        # reach the store to claim the key again.
        world = World()
        world.store.save_copy()
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

    def test_a_claim_made_before_its_writer_knew_the_era_allows_no_run(self):
        # Guards against a second run of a request after the store has lost the claim of
        # its key. Before an ingress learns of the new era, it writes another claim for
        # the key.
        world = World()
        world.store.save_copy()
        world.run_at("a")
        world.store.restore()
        gate = world.processes["b"]
        late = gate.claimant()
        self.assertIs(Reason.CLAIMS_UNAVAILABLE, late.claim_for(gate.gate, 1.0))
        # Another ingress finds this claim before the gate that ran the request replaces
        # it.
        claim = world.processes["c"].claimant().claim_for(gate.gate, 1.0)
        refused = gate.ledger.begin(make_dispatch(claim), world.now_s)
        self.assertIsInstance(refused, KeyRefused)
        for _ in range(3):
            world.step_all()
        self.assertEqual("a", self._resend(world, "b", "b")[1])

    def test_a_claim_of_an_earlier_era_allows_no_run_after_keys_were_listed(self):
        # Guards against a run that is missing from its gate's list. When an era begins,
        # a gate lists the keys of all requests that it ran. If a request ran later
        # under a claim of an earlier era, its key would not be on this list.
        world = World()
        gate = world.processes["a"]
        claim = world.processes["c"].claimant().claim_for(gate.gate, world.now_s)
        listed = gate.ledger.begin_era(pack_version(2, 0), 0.0, world.now_s)
        self.assertEqual([], listed)
        refused = gate.ledger.begin(make_dispatch(claim), world.now_s)
        self.assertEqual(KeyRefused(Outcome.NOT_RUN, Reason.CLAIM_MOVED), refused)

    def test_not_run_is_not_replied_for_a_key_whose_claim_may_be_lost(self):
        # Guards against 'not run' for a request that ran before the store was restored.
        world = World()
        world.store.save_copy()
        world.run_at("a")
        world.store.restore()
        world.processes["b"].view.record_era(2)
        refusal = make_reply(Outcome.NOT_RUN, Reason.NO_BACKEND_SERVER)
        final = world.processes["b"].claimant().final_reply(refusal)
        self.assertIs(Outcome.UNKNOWN, final.outcome)

    def test_new_keys_are_soon_served_when_no_process_has_ended(self):
        # Guards against a fleet that refuses requests with new keys after a restore.
        world = World()
        world.store.save_copy()
        world.store.restore()
        world.step_all()
        self._resend(world, "b", "a", "first")
        world.step_all()
        world.step_all()
        for ingress in "abc":
            claim, _, _ = self._resend(world, ingress, "a", f"new-{ingress}")
            self.assertIsInstance(claim, Claim)

    def test_a_fleet_without_keys_writes_nothing_after_a_restore(self):
        # Guards against needless writes of all nodes at once after a restore.
        world = World()
        world.store.save_copy()
        world.store.restore()
        for _ in range(3):
            world.step_all()
        self.assertEqual({}, world.store.rows)

    def test_a_process_that_started_later_learns_that_the_era_is_settled(self):
        # Guards against new processes that never learn that the era is settled.
        world = World()
        world.store.save_copy()
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
        # Guards against claims that are written again and then lost in a second
        # restore.
        world = World()
        world.store.save_copy()
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
        eras.record_holders(holders, 0.0, 0.0)
        return eras

    def test_a_process_that_ended_shortly_before_the_era_is_missing(self):
        here, gone = ClaimHolder("here", 1), ClaimHolder("gone", 1)
        eras = self._eras(here, gone)
        eras.record_holders([here, ClaimHolder("gone", 2)], 50.0, 50.0)
        eras.begin(2, 55.0)
        confirmations = {"here": Confirmation(1, 2), "gone": Confirmation(2, 2)}
        self.assertEqual({gone}, eras.missing_holders(confirmations))

    def test_a_process_that_ended_before_any_copy_is_not_missing(self):
        here, gone = ClaimHolder("here", 1), ClaimHolder("gone", 1)
        eras = self._eras(here, gone)
        eras.record_holders([here], 61.0, 61.0)
        eras.begin(2, 62.0)
        self.assertEqual(set(), eras.missing_holders({"here": Confirmation(1, 2)}))

    def test_a_process_that_ended_after_the_last_answer_of_the_store_is_missing(self):
        # Guards against a process that discards ended holders of claims while it is cut
        # off from the store. The copy of the store that is restored later may have been
        # made while these holders ran, and may lack their claims.
        here, gone = ClaimHolder("here", 1), ClaimHolder("gone", 1)
        eras = self._eras(here, gone)
        eras.record_holders([here], 30.0, 500.0)
        eras.begin(2, 501.0)
        self.assertEqual({gone}, eras.missing_holders({"here": Confirmation(1, 2)}))

    def test_a_process_that_starts_in_an_era_does_not_know_who_is_missing(self):
        eras = ClaimEras()
        eras.record_holders([ClaimHolder("here", 1)], 0.0, 0.0)
        eras.begin(2, 50.0)
        self.assertIsNone(eras.missing_holders({"here": Confirmation(1, 2)}))

    def test_a_process_that_just_started_does_not_know_its_fleet(self):
        eras = self._eras(ClaimHolder("here", 1))
        eras.begin(2, claim_eras.FLEET_KNOWN_AFTER_S - 0.1)
        self.assertIsNone(eras.missing_holders({"here": Confirmation(1, 2)}))

    def test_a_missing_process_stays_missing_in_the_next_era(self):
        here, gone = ClaimHolder("here", 1), ClaimHolder("gone", 1)
        eras = self._eras(here, gone)
        eras.begin(2, 50.0)
        eras.record_holders([here], 111.0, 111.0)
        eras.begin(3, 112.0)
        self.assertEqual({gone}, eras.missing_holders({"here": Confirmation(1, 3)}))

    def test_a_process_that_peers_know_by_a_higher_incarnation_confirms(self):
        # Guards against an era that is never settled because peers know a node by a
        # higher incarnation than its own.
        eras = self._eras(ClaimHolder("here", 3))
        eras.begin(2, 50.0)
        self.assertEqual(set(), eras.missing_holders({"here": Confirmation(2, 2)}))

    def test_a_request_later_than_the_restore_wait_is_not_delayed(self):
        eras = self._eras(ClaimHolder("here", 1))
        eras.begin(2, 50.0)
        now_s = 50.1 + claim_eras.RESTORE_WAIT_S
        started_s = time.monotonic()
        self.assertFalse(eras.wait_until_settled(2, now_s, now_s + 60.0))
        self.assertLess(time.monotonic() - started_s, claim_eras.RESTORE_WAIT_S)


class MeanwhileTables(TableService):
    """A store without rows; `meanwhile` runs between a call and its answer.

    Attributes
    ----------
    era : int
        See `TableService`.
    """

    def __init__(self, era: int) -> None:
        self.era = era
        self.meanwhile = lambda: None

    def read(self, table, keys):
        self.meanwhile()
        return Ok([Row(key, 0) for key in keys])

    def transact(self, transaction):
        self.meanwhile()
        return Ok(pack_version(self.era, 7))


class EraDuringCallTests(TestCase):
    """An era of the store is settled between a call and the look at the era."""

    def setUp(self):
        super().setUp()
        self.eras = ClaimEras()
        self.deadline_s = time.monotonic() + 5

    def _settle(self, era: int) -> None:
        self.eras.begin(era, time.monotonic())
        self.eras.settle(era)

    def test_a_key_without_a_claim_in_an_unsettled_era_does_not_count_as_unclaimed(
        self,
    ):
        # Guards against `not_run` for a request that ran: its lost claim is written
        # again right after the read.
        tables = MeanwhileTables(era=2)
        self.eras.begin(2, time.monotonic())
        tables.meanwhile = lambda: self.eras.settle(2)
        claims = ClaimsTable(tables, self.eras)
        self.assertTrue(claims.read("s:key", self.deadline_s).is_error())

    def test_a_caller_is_not_told_that_a_request_with_such_a_key_did_not_run(self):
        tables = MeanwhileTables(era=2)
        self.eras.begin(2, time.monotonic())
        tables.meanwhile = lambda: self.eras.settle(2)
        claimant = KeyClaimant(
            ClaimsTable(tables, self.eras), "s", "key", self.deadline_s
        )
        reply = Reply(AttemptId("n", 1, 1), Outcome.NOT_RUN, Reason.DEADLINE)
        self.assertEqual(Outcome.UNKNOWN, claimant.final_reply(reply).outcome)

    def test_a_claim_written_before_an_era_was_settled_is_not_used(self):
        # Guards against a second run: the write found no conflict, since the store had
        # lost the claim of the first run, and the era was settled before its answer.
        tables = MeanwhileTables(era=1)

        def restore():
            tables.era = 2
            self._settle(2)

        tables.meanwhile = restore
        claims = ClaimsTable(tables, self.eras)
        claim = claims.write("s:key", 0, GateIdentity("n", 1), 0.0, self.deadline_s)
        self.assertIsNone(claim)

    def test_a_claim_in_a_settled_era_is_used(self):
        tables = MeanwhileTables(era=2)
        self._settle(2)
        claims = ClaimsTable(tables, self.eras)
        self.assertEqual(Ok(None), claims.read("s:key", self.deadline_s))
        claim = claims.write("s:key", 0, GateIdentity("n", 1), 0.0, self.deadline_s)
        self.assertEqual("n", claim.node_id)
