"""Identification of customers by key; keys are neither logged nor forwarded."""

import json
import time

from testtools import TestCase

from balsamspindle.backend_servers.dispatches import backend_server_headers
from balsamspindle.customers.freshness import Proof
from balsamspindle.platform.headers import HEADER_NAMES
from balsamspindle.protocol.api_keys import key_digest
from balsamspindle.protocol.header_names import HeaderNames
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.timeline import parse_event
from balsamspindle.timeline.line_budget import LINES_PER_S
from balsamspindle.wire import AttemptId, Dispatch, encode
from tests.caller_side import DOCUMENTS, IngressFixture

NAMES = HeaderNames(api_key="X-Key", customer="X-Customer")
KEY, NEXT_KEY, OTHER_KEY = "k-first-7d2f", "k-next-11ac", "k-other-90be"


def customer(name: str, *keys: str, **fields) -> bytes:
    digests = list(map(key_digest, keys))
    return json.dumps({"name": name, "key_digests": digests, **fields}).encode()


KEYED = {
    **DOCUMENTS,
    "crew/routes/read": json.dumps(
        {
            **json.loads(DOCUMENTS["crew/routes/read"]),
            "allows_anonymous": False,
        }
    ).encode(),
    "crew/customers/anna": customer("Anna", KEY, NEXT_KEY, weight=3.0),
    "crew/customers/ben": customer("Ben", OTHER_KEY),
}


def get(*headers: str) -> bytes:
    lines = ["GET /contracts/7 HTTP/1.1", "Host: crew.example", *headers, "", ""]
    return "\r\n".join(lines).encode()


class KeysAtIngressTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = IngressFixture(KEYED, headers=NAMES)
        self.addCleanup(self.fixture.close)

    def _ask(self, *headers: str):
        return self.fixture.caller().send(get(*headers)).read()

    def _last_forwarded(self):
        return self.fixture.forwarder.forwarded[-1]

    def test_each_key_identifies_its_customer(self):
        for key, name in ((KEY, "Anna"), (NEXT_KEY, "Anna"), (OTHER_KEY, "Ben")):
            self.assertEqual(200, self._ask(f"X-Key: {key}").status)
            self.assertEqual(name, self._last_forwarded().customer)

    def test_the_customers_weight_replaces_the_routes(self):
        self._ask(f"X-Key: {KEY}")
        self.assertEqual(3.0, self._last_forwarded().route.weight)
        self._ask(f"X-Key: {OTHER_KEY}")
        self.assertEqual(1.0, self._last_forwarded().route.weight)

    def test_requests_without_a_valid_key_are_refused_and_not_run(self):
        # Guards against requests without a customer on a route that requires one.
        for headers in (
            (),
            ("X-Key: k-never",),
            ("X-Key: ",),
            (f"X-Key: {'k' * 400}",),
        ):
            answer = self._ask(*headers)
            self.assertEqual(401, answer.status)
            self.assertEqual("ApiKey", answer.header_value("www-authenticate"))
            self.assertIsNone(answer.header_value("retry-after"))
        self.assertEqual([], self.fixture.forwarder.forwarded)

    def test_a_route_that_allows_anonymous_requests_needs_no_key(self):
        sign = b"POST /contracts HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
        self.assertEqual(200, self.fixture.caller().send(sign).read().status)
        self.assertEqual("", self._last_forwarded().customer)

    def test_a_key_is_read_whatever_the_case_of_its_header(self):
        self.assertEqual(200, self._ask(f"x-KEY: {KEY}").status)
        self.assertEqual("Anna", self._last_forwarded().customer)

    def test_two_keys_are_refused(self):
        # Guards against two parsers of the request that each use a different key.
        answer = self._ask(f"X-Key: {KEY}", f"X-Key: {OTHER_KEY}")
        self.assertEqual(400, answer.status)
        self.assertEqual([], self.fixture.forwarder.forwarded)

    def test_keys_and_customer_headers_of_callers_are_not_forwarded(self):
        # Guards against keys that reach backend servers, and against callers that set
        # the customer's name.
        caller_headers = (
            f"X-Key: {KEY}",
            f"X_Key: {OTHER_KEY}",
            f"x_key: {KEY}",
            "X-Customer: Ben",
            "x_customer: Ben",
            "X-CUSTOMER: Ben",
            "Connection: X-Key, X-Customer",
        )
        self.assertEqual(200, self._ask(*caller_headers).status)
        forwarded = self._last_forwarded()
        self.assertEqual("Anna", forwarded.customer)
        forwarded_headers = str(forwarded.request.headers).lower()
        for part in (KEY, OTHER_KEY, "customer", "x-key", "x_key", "ben"):
            self.assertNotIn(part.lower(), forwarded_headers)

    def test_a_key_in_a_trailer_is_ignored(self):
        # Guards against a request that is identified by a key in its trailer, after it
        # was admitted.
        head = "POST /contracts/7 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        body = f"Trailer: X-Key\r\n\r\n0\r\nX-Key: {KEY}\r\n\r\n"
        caller = self.fixture.caller().send((head + body).encode())
        self.assertEqual(200, caller.read().status)
        self.assertEqual("", self._last_forwarded().customer)
        self.assertNotIn(KEY, str(self._last_forwarded().request))

    def test_no_key_is_logged_or_answered(self):
        # Guards against keys in logs, problem documents and messages between nodes.
        answers = [
            self._ask(f"X-Key: {key}", *more)
            for key in (KEY, "k-wrong-55", "")
            for more in ((), (f"X-Key: {OTHER_KEY}",), ("Connection: X-Key",))
        ]
        output = self.fixture.logged() + str(answers)
        output += str(self.fixture.forwarder.forwarded)
        output += str(
            [encode(one.customer) for one in self.fixture.forwarder.forwarded]
        )
        for key in (KEY, OTHER_KEY, "k-wrong-55"):
            self.assertNotIn(key, output)
        self.assertIn("cause=key_unknown", output)


class AcceptedKeyEventTests(TestCase):
    def _accepted(self, fixture) -> list[dict[str, str]]:
        lines = map(parse_event, fixture.logged().splitlines())
        return [line for line in lines if line["event"] == "key_accepted"]

    def test_the_log_shows_by_which_settings_and_proof_a_key_was_accepted(self):
        fixture = IngressFixture(KEYED, 5.0, headers=NAMES)
        self.addCleanup(fixture.close)
        fixture.freshness.record(Proof(time.monotonic() - 1.0, 1, "10.0.0.7:1"))
        request = get(f"X-Key: {KEY}", "X-Request-Id: request-12345678")
        self.assertEqual(200, fixture.caller().send(request).read().status)
        (line,) = self._accepted(fixture)
        self.assertEqual("1", line["revision"])
        self.assertEqual("1", line["proof_revision"])
        self.assertEqual("10.0.0.7:1", line["proof_source"])
        self.assertGreaterEqual(int(line["proof_age_ms"]), 1000)
        (received,) = [
            parse_event(text)
            for text in fixture.logged().splitlines()
            if "event=request_received" in text
        ]
        self.assertEqual(received["request"], line["request"])

    def test_the_lines_of_accepted_keys_are_limited_under_load(self):
        # Guards against a log that takes processor time from the requests.
        fixture = IngressFixture(KEYED, headers=NAMES)
        self.addCleanup(fixture.close)
        caller = fixture.caller()
        for _ in range(3 * LINES_PER_S):
            self.assertEqual(200, caller.send(get(f"X-Key: {KEY}")).read().status)
        seconds = {int(float(line["wall_s"])) for line in self._accepted(fixture)}
        limit = LINES_PER_S * len(seconds)
        self.assertLessEqual(len(self._accepted(fixture)), limit)

    def test_requests_without_a_valid_key_have_no_line(self):
        fixture = IngressFixture(KEYED, headers=NAMES)
        self.addCleanup(fixture.close)
        sign = b"POST /contracts HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
        self.assertEqual(200, fixture.caller().send(sign).read().status)
        self.assertEqual(
            401, fixture.caller().send(get("X-Key: k-never")).read().status
        )
        self.assertEqual([], self._accepted(fixture))


class UnprovenKeysTests(TestCase):
    def test_without_a_proof_keys_are_refused_with_a_retry_time(self):
        # Guards against a 401 for a valid key, from a node whose settings may be too
        # old to include it.
        fixture = IngressFixture(KEYED, 5.0, headers=NAMES)
        self.addCleanup(fixture.close)
        for key in (KEY, "k-unknown"):
            answer = fixture.caller().send(get(f"X-Key: {key}")).read()
            self.assertEqual(503, answer.status)
            self.assertEqual("not_run", answer.header_value("x-balsamspindle-outcome"))
            self.assertIsNotNone(answer.header_value("retry-after"))
        sign = b"POST /contracts HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n"
        self.assertEqual(200, fixture.caller().send(sign).read().status)


class CustomerHeaderTests(TestCase):
    def _dispatch(self, **fields):
        return Dispatch(
            AttemptId("node", 1, 1),
            "r",
            "crew/contracts",
            "server",
            Execution.IDEMPOTENT,
            1000.0,
            1.0,
            "GET",
            "/",
            [("Host", "a")],
            b"",
            0,
            **fields,
        )

    def test_backend_servers_receive_one_customer_header(self):
        headers = backend_server_headers(self._dispatch(customer="Anna"), HEADER_NAMES)
        self.assertEqual(["Anna"], [v for name, v in headers if name == "X-Tenant"])

    def test_without_a_customer_the_header_is_absent(self):
        names = [
            name for name, _ in backend_server_headers(self._dispatch(), HEADER_NAMES)
        ]
        self.assertNotIn("X-Tenant", names)
