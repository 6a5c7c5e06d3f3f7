"""Simulated nodes that claim idempotency keys in a simulated store.

Tests restore the store from older copies, so that claims are lost.
"""

import io
import random
import time

from balsamspindle.backend_servers.ledger import RunLedger
from balsamspindle.protocol.outcomes import Execution, Outcome
from balsamspindle.requests.claim_eras import ClaimEras, ClaimHolder
from balsamspindle.requests.claim_restorer import ClaimRestorer
from balsamspindle.requests.claims import ClaimsTable, GateIdentity
from balsamspindle.requests.key_claimant import KeyClaimant
from balsamspindle.timeline import EventLog, HybridClock
from balsamspindle.wire import AttemptId, Claim, Dispatch, Reply
from tests.restorable_store import RestorableStore, StoreView

__all__ = ["KEY", "SERVICE", "Process", "World", "make_dispatch", "make_reply"]

SERVICE, KEY = "crew/contracts", "sign-7"
# Simulated time at which each process has run for more than `FLEET_KNOWN_AFTER_S`.
STARTED_S = 100.0


def make_dispatch(claim, key: str = KEY) -> Dispatch:
    return Dispatch(
        AttemptId("n", 1, 1), "id", SERVICE, "s", Execution.NON_IDEMPOTENT,
        1.0, 1.0, "POST", "/", [], b"", 0, key, claim=claim,
    )  # fmt: skip


def make_reply(outcome, reason=None) -> Reply:
    return Reply(AttemptId("n", 1, 1), outcome, reason)


class ThreadlessClaimsTable(ClaimsTable):
    """Calls the store in the caller's thread, since the simulated store never hangs."""

    def _call_store(self, deadline_s, call):
        return call()


EVENTS = EventLog("all", 1, HybridClock(), io.StringIO())


class Process:
    """One process of a node: its gate's ledger, claims table and claim restorer."""

    def __init__(
        self, name: str, incarnation: int, world: "World", rng: random.Random
    ) -> None:
        self.gate = GateIdentity(name, incarnation)
        self.view = StoreView(world.store, rng, lambda: world.now_s)
        self.ledger = RunLedger(*self.gate)
        eras = ClaimEras(on_request=world.request_era)
        self.claims = ThreadlessClaimsTable(self.view, eras, lambda: world.now_s)
        self.restorer = ClaimRestorer(
            self.view,
            ClaimHolder(*self.gate),
            eras,
            self.ledger.begin_era,
            self.claims.take_written_claims,
            lambda: [
                ClaimHolder(*process.gate) for process in world.processes.values()
            ],
            lambda: False,
            EVENTS,
        )

    def claimant(self, key: str = KEY) -> KeyClaimant:
        return KeyClaimant(self.claims, SERVICE, key, time.monotonic() + 60)


class World:
    """A store and one process for each node, on a simulated clock.

    The clock is initially past `STARTED_S`, so that the processes have started up.
    """

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

    def request_era(self, era: int) -> None:
        for process in self.processes.values():
            process.restorer.request_era(era)

    def replace(self, name: str) -> None:
        """Start a node, or replace its process by one with the next incarnation."""
        before = self.processes.get(name)
        incarnation = before.gate.incarnation + 1 if before else 1
        self.processes[name] = Process(name, incarnation, self, self.rng)

    def step_all(self) -> None:
        """Advance the clock by a second and let each process read the store."""
        self.now_s += 1.0
        for process in self.processes.values():
            # A node reads its settings from the store, and learns the store's era from
            # the answer.
            process.view.read("settings", ["any"])
            process.restorer.step(self.now_s)

    def run_at(self, name: str, ingress: str = "c", key: str = KEY) -> Claim:
        """Claim a key for gate `name` at an ingress, run a request with it, and end it.

        Returns the claim; fails if the claim or the run is refused.
        """
        gate = self.processes[name]
        claim = self.processes[ingress].claimant(key).claim_for(gate.gate, self.now_s)
        assert isinstance(claim, Claim), claim
        dispatch = make_dispatch(claim, key)
        assert gate.ledger.begin(dispatch, self.now_s) is None
        gate.ledger.end(dispatch, make_reply(Outcome.ANSWERED), self.now_s)
        return claim
