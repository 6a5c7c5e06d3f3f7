"""How a gate treats a request that crashes its backend servers."""

import time

from testtools import TestCase

from balsamspindle.backend_servers.retry_grants import RetryGrants
from balsamspindle.protocol.header_names import HeaderNames
from balsamspindle.protocol.outcomes import Execution, Outcome, Reason
from balsamspindle.requests.content import hash_content
from balsamspindle.requests.http import CallerRequest
from balsamspindle.settings.documents import RetryBudget
from balsamspindle.wire import AdmissionQuery
from tests.crash_watch_case import CAUSE, OTHER, SERVICE, CrashWatchCase
from tests.utils import wait_until


class GateQuarantineTests(CrashWatchCase):
    def test_copies_that_wait_for_a_slot_do_not_run_after_the_third_crash(self):
        # Five copies of a request wait at one gate when the request crashes its third
        # backend server. If they ran, each copy would crash this backend server again
        # after its restart.
        self._announce("one slot", slots=1)
        self._earlier_crashes(2)
        first = self._begin(1)
        self._wait_running(1)
        copies = [self._begin(sequence) for sequence in range(2, 7)]
        wait_until(lambda: self.gate.waiting() == 5, "the copies wait")
        self._crash()
        self.assertEqual(Reason.SERVER_CRASHED, first.result().reason)
        for copy in copies:
            reply = copy.result()
            self.assertEqual(
                (Outcome.NOT_RUN, Reason.CRASHES_SERVERS),
                (reply.outcome, reply.reason),
            )
            self.assertGreater(reply.retry_after_ms, 0)
        self.assertEqual(1, len(self.server.requests))

    def test_a_preview_declines_a_quarantined_request(self):
        self._earlier_crashes(3)
        query = AdmissionQuery(
            1, SERVICE, "server", Execution.IDEMPOTENT, 5000.0, 1.0, content_hash=CAUSE
        )
        result = self.gate.preview(query, time.monotonic())
        self.assertEqual(Reason.CRASHES_SERVERS, result.reason)

    def test_two_suspected_requests_do_not_run_together(self):
        # Guards against two suspected requests that are lost in the same crashes. Then
        # it would stay unknown which of them is the cause: neither would be
        # quarantined, and the harmless one would never be answered.
        self._earlier_crashes(2)
        self._earlier_crashes(2, OTHER)
        first = self._begin(1)
        self._wait_running(1)
        reply = self._begin(2, OTHER).result()
        self.assertEqual(
            (Outcome.NOT_RUN, Reason.WOULD_WAIT), (reply.outcome, reply.reason)
        )
        self.may_end.set()
        first.result()

    def test_a_suspected_request_leaves_half_of_the_repeats_to_others(self):
        # Guards against a suspected request that uses up the retry budget of its
        # service. Its repeats fail like its first run. Other requests that were lost in
        # the same crash could not be repeated then.
        self._earlier_crashes(2)
        error = b"HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n"
        self.server.answer = lambda number: (error, True)
        budget = RetryBudget(fraction=0.2, fleet_per_s_min=0.4)
        grants = RetryGrants(lambda *_: budget)
        self.gate = self._make_gate(grants=grants)
        replies = [
            self._begin(sequence, is_repeat=True, run_was_lost=True).result()
            for sequence in range(1, 6)
        ]
        denied = [reply for reply in replies if reply.reason is Reason.RETRY_BUDGET]
        self.assertEqual(3, len(denied))
        other = self._begin(6, OTHER, is_repeat=True, run_was_lost=True).result()
        self.assertEqual(500, other.status)


class ContentTests(TestCase):
    NAMES = HeaderNames(credential="X-Credential")

    def _content_hash(self, **changes):
        fields = {
            "method": "POST",
            "target": "/sign?page=7",
            "host": "crew.example",
            "body": b"signed",
            "headers": [("X-Credential", "anna"), ("X-Request-Id", "1")],
            **changes,
        }
        return hash_content(CallerRequest(**fields), self.NAMES)

    def test_a_repeat_with_other_ids_has_the_same_content(self):
        headers = [
            ("X-Request-Id", "2"),
            ("Date", "now"),
            ("x-credential", "anna"),
            ("X-Deadline-Ms", "700"),
        ]
        self.assertEqual(self._content_hash(), self._content_hash(headers=headers))

    def test_another_path_query_body_host_or_caller_is_another_request(self):
        others = [
            self._content_hash(target="/sign?page=8"),
            self._content_hash(body=b"Signed"),
            self._content_hash(method="PUT"),
            self._content_hash(host="crew2.example"),
            self._content_hash(headers=[("X-Credential", "berta")]),
            self._content_hash(headers=[]),
        ]
        self.assertEqual(len(others), len({*others, self._content_hash()}) - 1)

    def test_the_same_bytes_divided_differently_are_another_request(self):
        first = self._content_hash(target="/a", body=b"bc")
        self.assertNotEqual(first, self._content_hash(target="/ab", body=b"c"))
