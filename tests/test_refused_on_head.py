"""Requests refused on their heads are answered before their bodies arrive."""

import json
import time

from testtools import TestCase

from balsamspindle.customers.buckets import Denial
from balsamspindle.customers.limits import Grant
from balsamspindle.protocol.header_names import HeaderNames
from tests.caller_side import DOCUMENTS, IngressFixture
from tests.test_customer_keys import customer

NAMES = HeaderNames(api_key="X-Key", customer="X-Customer")
KEY, LIMITED_KEY = "k-anna-3c11", "k-ben-70fd"
SIGN = {**json.loads(DOCUMENTS["crew/routes/sign"]), "allows_anonymous": False}
KEYED = {
    **DOCUMENTS,
    "crew/routes/sign": json.dumps(SIGN).encode(),
    "crew/customers/anna": customer("Anna", KEY),
    "crew/customers/ben": customer("Ben", LIMITED_KEY, rate_per_s=1.0, burst=2.0),
}
EXPECT = "Expect: 100-continue"
# Far less than the timeout for a body.
REFUSAL_MAX_S = 5.0


def head(*headers: str, target: str = "/contracts/7", method: str = "POST") -> bytes:
    lines = [f"{method} {target} HTTP/1.1", "Host: crew.example", *headers, "", ""]
    return "\r\n".join(lines).encode()


class CountingLimiter:
    """Grants as many requests as it has tokens."""

    def __init__(self, tokens: int) -> None:
        self.tokens = tokens

    def acquire(self, customer, revision):
        """See `balsamspindle.customers.limits.Limiter`."""
        if not customer.rate_per_s:
            return Grant(customer.name, is_limited=False)
        if not self.tokens:
            return Denial(1.0)
        self.tokens -= 1
        return Grant(customer.name)

    def refund(self, grant):
        """See `balsamspindle.customers.limits.Limiter`."""
        self.tokens += grant.is_limited


class RefusedOnHeadTests(TestCase):
    def setUp(self):
        super().setUp()
        self.limiter = CountingLimiter(tokens=2)
        self.fixture = IngressFixture(
            KEYED,
            limiter=self.limiter,
            headers=NAMES,
            request_body_max_bytes=100_000,
            request_body_timeout_s=60.0,
        )
        self.addCleanup(self.fixture.close)

    def _refused(self, data: bytes):
        """Send a head without its body; return the answer."""
        began_s = time.monotonic()
        caller = self.fixture.caller().send(data)
        answer = caller.read()
        self.assertLess(time.monotonic() - began_s, REFUSAL_MAX_S)
        self.assertEqual("close", answer.header_value("connection"))
        self.assertTrue(caller.wait_for_close())
        caller.close()
        self.assertEqual([], self.fixture.forwarder.forwarded)
        return answer

    def test_a_refused_head_is_answered_before_its_body_arrives(self):
        # Guards against a refusal that waits for the body of the request.
        key = f"X-Key: {KEY}"
        for length in ("Content-Length: 3", "Transfer-Encoding: chunked"):
            for expect in ((), (EXPECT,)):
                refused = {
                    401: head(length, *expect),
                    404: head(length, key, *expect, target="/nowhere"),
                    405: head(length, key, *expect, method="PUT"),
                }
                for status, data in refused.items():
                    self.assertEqual(status, self._refused(data).status)
                unknown = head(length, "X-Key: k-nobody", *expect)
                self.assertEqual(401, self._refused(unknown).status)
        large = head("Content-Length: 100001", key, EXPECT)
        self.assertEqual(413, self._refused(large).status)

    def test_a_request_over_its_limit_is_refused_before_the_body_arrives(self):
        self.limiter.tokens = 0
        answer = self._refused(head("Content-Length: 3", f"X-Key: {LIMITED_KEY}"))
        self.assertEqual(429, answer.status)
        self.assertIsNotNone(answer.header_value("retry-after"))

    def test_an_admitted_request_gets_100_continue(self):
        # Guards against a caller that waits for a 100 Continue which never arrives.
        data = head("Content-Length: 3", f"X-Key: {KEY}", EXPECT)
        caller = self.fixture.caller().send(data)
        self.assertEqual(100, caller.read().status)
        answer = caller.send(b"abc").read()
        self.assertEqual((200, "abc"), (answer.status, answer.json()["body"]))

    def test_the_answer_is_not_lost_when_the_body_arrives_anyway(self):
        # Guards against a connection reset that discards the refusal because the body
        # arrives after it.
        body = b"x" * 90_000
        caller = self.fixture.caller().send(head(f"Content-Length: {len(body)}"))
        caller.send(body)
        self.assertEqual(401, caller.read().status)
        self.assertTrue(caller.wait_for_close())

    def test_a_request_without_its_body_does_not_count_against_the_limit(self):
        # Guards against requests that never run but use up their customer's limit.
        data = head("Content-Length: 3", f"X-Key: {LIMITED_KEY}", EXPECT)
        for rest in (b"", b"ab"):
            caller = self.fixture.caller().send(data)
            self.assertEqual(100, caller.read().status)
            caller.send(rest).close()
            self.assertEqual(2, self.limiter.tokens)

    def test_bodies_that_end_together_run_within_the_limit(self):
        # Guards against slow uploads that each hold a token and then run together.
        data = head("Content-Length: 3", f"X-Key: {LIMITED_KEY}", EXPECT)
        self.limiter.tokens = 5
        callers = [self.fixture.caller().send(data) for _ in range(5)]
        for caller in callers:
            self.assertEqual(100, caller.read().status)
        self.limiter.tokens = 2
        statuses = [caller.send(b"abc").read().status for caller in callers]
        self.assertEqual([200, 200, 429, 429, 429], statuses)
        self.assertEqual(2, len(self.fixture.forwarder.forwarded))

    def test_a_complete_request_is_counted_once(self):
        data = head("Content-Length: 3", f"X-Key: {LIMITED_KEY}")
        caller = self.fixture.caller().send(data)
        self.assertEqual(200, caller.send(b"abc").read().status)
        self.assertEqual(1, self.limiter.tokens)

    def test_a_request_whose_key_is_removed_during_the_body_does_not_run(self):
        # Guards against a request that runs because its key was valid when the head
        # arrived, although the key was removed before the body was complete.
        data = head("Content-Length: 3", f"X-Key: {LIMITED_KEY}", EXPECT)
        caller = self.fixture.caller().send(data)
        self.assertEqual(100, caller.read().status)
        without = {**KEYED, "crew/customers/ben": customer("Ben")}
        self.fixture.configuration.offer(2, without)
        self.assertEqual(401, caller.send(b"abc").read().status)
        self.assertEqual([], self.fixture.forwarder.forwarded)
        self.assertEqual(2, self.limiter.tokens)
