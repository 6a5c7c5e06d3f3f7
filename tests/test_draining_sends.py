"""A request is not sent to a backend server that began to drain after admission."""

from balsamspindle.backend_servers.servers import Announcement
from balsamspindle.protocol.outcomes import Outcome, Reason
from tests.gate_case import GateCase


class DrainingSendTests(GateCase):
    def before_the_send(self, action):
        """Call `action` between an attempt's admission and its send."""
        client = self.gate._checked._runner._client
        acquire = client._pool.acquire

        def act_and_acquire(*arguments):
            action()
            return acquire(*arguments)

        client._pool.acquire = act_and_acquire

    def test_an_admitted_attempt_is_not_sent_after_its_server_drained(self):
        """Guards against a send that is delayed beyond the confirmation of a drain."""
        self.before_the_send(lambda: self.servers.drain("server"))
        reply = self._handle(self._dispatch())
        self.assertEqual([], self.server.requests)
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.DRAINING), (reply.outcome, reply.reason)
        )
        self.assertEqual(0, self.gate.in_flight())

    def test_an_admitted_attempt_is_not_sent_after_its_server_restarted(self):
        """Guards against a send to a start for which it was not admitted."""
        current = self.servers.get("server").announcement
        other = Announcement(current.service, current.address, 4, "another-start")
        self.before_the_send(lambda: self.servers.announce("server", other, 0.0))
        self._handle(self._dispatch())
        self.assertEqual([], self.server.requests)

    def test_an_admitted_attempt_is_sent_after_a_new_announcement_of_its_server(self):
        """Guards against the refusal of work because a detail of its server changed."""
        current = self.servers.get("server").announcement
        other = Announcement(
            current.service, current.address, current.slots + 1, current.boot_id
        )
        self.before_the_send(lambda: self.servers.announce("server", other, 0.0))
        reply = self._handle(self._dispatch())
        self.assertEqual(Outcome.ANSWERED, reply.outcome)
