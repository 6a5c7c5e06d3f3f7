"""Limits and leavings of backend servers while a node or the store fails."""

import time

from tests.announcing_server import LEAVING_HEADER
from tests.limited_fleet import DRAIN_S, STABILITY_S, WINDOW_S, LimitedFleet
from tests.relay import Flow, Relay
from tests.utils import call, free_address, wait_until

LIMIT_PER_S = 2.0
CUT_S = 2.5
KEYS = 12


class CutOffGateTests(LimitedFleet):
    def start_node(self, node_id, zone):
        """Start a node; data for the first one's gate and ingress passes a relay."""
        if node_id != "node-0":
            return super().start_node(node_id, zone)
        link_address = free_address()
        self.relay = Relay(link_address)
        self.addCleanup(self.relay.close)
        return self.fleet.start_node(
            node_id,
            zone,
            link_address=link_address,
            link_advertised_address=self.relay.address,
        )

    def test_the_limit_holds_across_cuts_of_the_gates_node(self):
        # Guards against attempts that gather during a cut and are all sent after it.
        time.sleep(1.0)
        named_s = self.limited.set_terms(str(LIMIT_PER_S))
        wait_until(lambda: self.knows_limit(self.nodes[2]), "another node is told")
        for flow in (Flow.HOLD, Flow.DROP):
            self.relay.forward = self.relay.backward = flow
            time.sleep(CUT_S)
            self.relay.forward = self.relay.backward = Flow.PASS
            if flow is Flow.DROP:
                self.relay.reset_connections()
            time.sleep(STABILITY_S)
        time.sleep(WINDOW_S)
        self.callers.stop()
        self.check_limit(named_s, LIMIT_PER_S)


class FaultTests(LimitedFleet):
    def test_the_limit_holds_when_the_gates_node_is_replaced_by_another_vm(self):
        # Guards against a limit that is known under the id of the gate's node.
        time.sleep(1.0)
        named_s = self.limited.set_terms(str(LIMIT_PER_S))
        wait_until(lambda: self.knows_limit(self.nodes[2]), "another node is told")
        self.nodes[0].kill()
        replacement = self.start_node("node-9", "zone-0")
        self.limited.announce_to(replacement)
        self.fleet.wait_ready([replacement], [self.limited.name])
        time.sleep(STABILITY_S + WINDOW_S)
        self.callers.stop()
        self.check_limit(named_s, LIMIT_PER_S)

    def test_limits_and_leavings_hold_without_the_store(self):
        # Guards against terms that a node can't learn, or forgets, without the store.
        self.fleet.platform.kill()
        time.sleep(1.0)
        named_s = self.limited.set_terms(str(LIMIT_PER_S))
        time.sleep(STABILITY_S + WINDOW_S)
        self.check_limit(named_s, LIMIT_PER_S)
        leaves_s = self.limited.set_terms(is_leaving=True)
        time.sleep(DRAIN_S + 2)
        self.callers.stop()
        late = [at for at in self.limited.arrivals_s if at > leaves_s + DRAIN_S]
        self.assertEqual(0, len(late))

    def test_a_resent_key_reaches_no_backend_server_that_leaves(self):
        # Guards against a claim that leads a key's resend to a leaving backend server.
        answers = {f"key-{number}": self._sign(number) for number in range(KEYS)}
        ran_at = {key: answer.json()["server"] for key, answer in answers.items()}
        self.assertIn(self.limited.name, ran_at.values())
        self.limited.set_terms(is_leaving=True)
        wait_until(self._has_left, "an answer says that it leaves")
        time.sleep(DRAIN_S)
        self.callers.stop()
        arrivals = len(self.limited.arrivals_s)
        for number in range(KEYS):
            # Another ingress than the first one has to find the claim's gate.
            resent = self._sign(number, first_node=1)
            self.assertEqual("answered", resent.outcome)
            self.assertEqual(answers[f"key-{number}"].body, resent.body)
            new = self._sign(KEYS + number)
            self.assertEqual(self.other.name, new.json()["server"])
        self.assertEqual(arrivals, len(self.limited.arrivals_s))
        self.assertEqual([1] * KEYS, [self._runs(key) for key in answers])

    def test_a_resent_key_reaches_no_leaving_server_whose_gate_was_restarted(self):
        # Guards against a gate that forgot the leaving, and is found by a key's claim.
        answers = [self._sign(number) for number in range(KEYS)]
        ran_at = [answer.json()["server"] for answer in answers]
        # Several nodes wait for answers when the leaving begins, so each is told.
        self.limited.work_s = 0.5
        time.sleep(1.0)
        leaves_s = self.limited.set_terms(is_leaving=True)
        told = wait_until(self._told_node, "a caller elsewhere learns of the leaving")
        self.callers.stop()
        self.nodes[0].kill()
        self.nodes[0] = self.fleet.restart(self.nodes[0])
        self.limited.announce_to(self.nodes[0])
        self.fleet.wait_ready([self.nodes[0]], [self.limited.name])
        time.sleep(max(0.0, leaves_s + DRAIN_S - time.monotonic()))
        arrivals = len(self.limited.arrivals_s)
        resent = [self._sign_at(told, number) for number in range(KEYS)]
        outcomes = {
            name: {
                answer.outcome
                for answer, server_name in zip(resent, ran_at, strict=True)
                if server_name == name
            }
            for name in ran_at
        }
        # The gate that ran them has ended, so it is not known whether they ran.
        self.assertEqual({"unknown"}, outcomes[self.limited.name])
        self.assertEqual({"answered"}, outcomes[self.other.name])
        new = self._sign_at(told, KEYS)
        self.assertEqual(self.other.name, new.json()["server"])
        self.assertEqual(arrivals, len(self.limited.arrivals_s))

    def _told_node(self):
        told = (
            node
            for node in self.nodes[1:]
            for _, answer, _ in self.callers.answers_of(node)
            if LEAVING_HEADER.lower() in answer.headers
        )
        return next(told, None)

    def _sign(self, number, first_node=0):
        node = self.nodes[(number + first_node) % len(self.nodes)]
        return self._sign_at(node, number)

    def _sign_at(self, node, number):
        key = f"key-{number}"
        headers = {"X-Run-Key": key, "Idempotency-Key": key}
        return call(node.caller_address, "/sign/7", "POST", key.encode(), headers)

    def _runs(self, key) -> int:
        return self.limited.runs[key] + self.other.runs[key]

    def _has_left(self) -> bool:
        states = {
            server[0]: server[4]
            for node in self.nodes[2].status()["nodes"]
            for server in node["backend_servers"]
        }
        return states[self.limited.name] != "ready"
