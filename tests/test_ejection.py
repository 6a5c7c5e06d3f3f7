"""Ejection in a fleet of real processes, with the platform down throughout."""

import time

from tests.ejection_utils import FleetUnderLoad
from tests.relay import Flow
from tests.utils import call, wait_until

CUT_S = 5.0


class FloorTests(FleetUnderLoad):
    def test_sick_backend_servers_are_ejected_until_the_floor_binds(self):
        """Three of five backend servers fail in turn: by errors, hangs and resets.

        Each gate suspects its own backend server and notifies the other nodes. Each
        node ejects two backend servers. The floor does not allow it to eject the
        third. The platform is not needed for this.
        """
        faults = ({"mode": "error"}, {"mode": "hang"}, {"mode": "close"})
        for number, fault in enumerate(faults):
            self.servers[number].set_fault(**fault)
            sick = {server.name for server in self.servers[: number + 1]}
            for node in self.nodes:
                wait_until(
                    lambda node=node, sick=sick: set(self.suspicions(node)) == sick,
                    f"{sick} are suspected at {node.settings['node_id']}",
                )
                self.assertEqual(min(2, number + 1), len(self.excluded_servers(node)))
        for node in self.nodes:
            wait_until(
                lambda node=node: "cause=floor_binds" in node.log_path.read_text(),
                "the log reports that the floor binds",
            )
        explanation = self.explain(self.nodes[0])
        self.assertIn("floor", explanation["cause"])
        evidence = explanation["backend_servers"][0]["evidence"]
        self.assertIn("error", " ".join(evidence))


class ReadmissionTests(FleetUnderLoad):
    hold_out_s = 2.0

    def test_a_backend_server_that_recovers_is_readmitted_by_a_trial(self):
        """A backend server fails, is ejected and recovers; a trial detects this."""
        node = self.nodes[2]
        self.servers[1].set_fault(mode="error")
        wait_until(
            lambda: "contract-1" in self.excluded_servers(node), "contract-1 is ejected"
        )
        self.servers[1].set_fault(mode="none")
        wait_until(
            lambda: not self.excluded_servers(node) and not self.suspicions(node),
            "contract-1 is no longer ejected or suspected",
        )
        for event in ("suspected", "on_trial", "readmitted"):
            wait_until(
                lambda event=event: (
                    f"event=backend_server_{event} "
                    in self.nodes[1].log_path.read_text()
                ),
                f"the log reports that the backend server was {event}",
            )


class CutLinkTests(FleetUnderLoad):
    def test_a_cut_link_causes_no_suspicion(self):
        """The link to one node's gate loses first the requests, then the replies.

        Attempts at this gate fail, and other backend servers answer the requests.
        No attempt failed at a backend server, so no backend server may be suspected.
        """
        for direction in ("forward", "backward"):
            setattr(self.relay, direction, Flow.DROP)
            give_up_s = time.monotonic() + CUT_S
            while time.monotonic() < give_up_s:
                answer = call(self.nodes[2].caller_address, "/contracts/7")
                if answer.outcome == "answered":
                    self.assertIn(answer.json()["server"], ("contract-1", "contract-3"))
                for node in self.nodes:
                    self.assertEqual({}, self.suspicions(node))
            self.relay.reset_connections()
            setattr(self.relay, direction, Flow.PASS)
