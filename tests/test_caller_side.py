"""Answers of an ingress to valid and invalid requests, sent as raw bytes."""

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from balsamspindle.backend_servers.answers import end_to_end_headers
from balsamspindle.protocol import Reason
from balsamspindle.requests.heads import BadRequest
from balsamspindle.requests.http import HttpConnection, HttpLimits
from tests.caller_side import IngressFixture, RawCaller
from tests.test_whole_path import SETTINGS
from tests.utils import start_fleet

GET = b"GET /contracts/7 HTTP/1.1\r\nHost: crew.example\r\n\r\n"


def post(headers: bytes, body: bytes = b"") -> bytes:
    head = b"POST /contracts HTTP/1.1\r\nHost: a\r\n" + headers + b"\r\n\r\n"
    return head + body


def get(line: bytes = b"/contracts HTTP/1.1", headers: bytes = b"Host: a") -> bytes:
    return b"GET " + line + b"\r\n" + headers + b"\r\n\r\n"


CHUNKED = b"Transfer-Encoding: chunked"
REFUSED = {
    "length and coding": (400, post(b"Content-Length: 5\r\n" + CHUNKED, b"0\r\n\r\n")),
    "coding and length": (400, post(CHUNKED + b"\r\nContent-Length: 5", b"0\r\n\r\n")),
    "equal lengths": (400, post(b"Content-Length: 1\r\nContent-Length: 1", b"x")),
    "two lengths": (400, post(b"Content-Length: 1\r\nContent-Length: 2", b"xy")),
    "list of lengths": (400, post(b"Content-Length: 1, 1", b"x")),
    "signed length": (400, post(b"Content-Length: +1", b"x")),
    "endless length": (400, post(b"Content-Length: " + b"9" * 40, b"x")),
    "unknown coding": (400, post(b"Transfer-Encoding: xchunked", b"0\r\n\r\n")),
    "coded twice": (400, post(b"Transfer-Encoding: gzip, chunked", b"0\r\n\r\n")),
    "two codings": (400, post(CHUNKED + b"\r\n" + CHUNKED, b"0\r\n\r\n")),
    "coding in 1.0": (
        400,
        b"POST /contracts HTTP/1.0\r\n" + CHUNKED + b"\r\n\r\n0\r\n\r\n",
    ),
    "space before colon": (400, post(b"Transfer-Encoding : chunked", b"0\r\n\r\n")),
    "chunk size": (400, post(CHUNKED, b"zz\r\nabc\r\n0\r\n\r\n")),
    "chunk too long": (400, post(CHUNKED, b"3\r\nabcd\r\n0\r\n\r\n")),
    "chunk bare LF": (400, post(CHUNKED, b"3\nabc\n0\n\n")),
    "NUL in value": (400, get(headers=b"Host: a\r\nX: a\0b")),
    "control in value": (400, get(headers=b"Host: a\r\nX: a\x01b")),
    "bare CR in value": (400, get(headers=b"Host: a\r\nX: a\rb")),
    "NUL in target": (400, get(b"/contracts\0 HTTP/1.1")),
    "non-ASCII target": (400, get(b"/contracts\xe9 HTTP/1.1")),
    "fragment": (400, get(b"/contracts#1 HTTP/1.1")),
    "folded header": (400, get(headers=b"Host: a\r\nX: a\r\n b")),
    "bare LF": (400, b"GET /contracts HTTP/1.1\nHost: a\n\n"),
    "no host": (400, get(headers=b"X: a")),
    "two hosts": (400, get(headers=b"Host: a\r\nHost: a")),
    "bad host": (400, get(headers=b"Host: a/b")),
    "other host in target": (400, get(b"http://b/contracts HTTP/1.1")),
    "authority": (400, b"CONNECT a:80 HTTP/1.1\r\nHost: a:80\r\n\r\n"),
    "asterisk": (400, b"OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"),
    "dot segments": (400, get(b"/contracts/../x HTTP/1.1")),
    "coded dot segments": (400, get(b"/contracts/%2E%2e%2fx HTTP/1.1")),
    "HTTP/2": (505, get(b"/contracts HTTP/2.0")),
    "not HTTP": (400, b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n"),
    "expectation": (417, post(b"Expect: more\r\nContent-Length: 0")),
    "two keys": (
        400,
        post(b"Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0"),
    ),
    "long key": (400, post(b"Content-Length: 0\r\nIdempotency-Key: " + b"k" * 256)),
    "many headers": (431, get(headers=b"Host: a" + b"\r\nX: 1" * 100)),
    "long head": (431, get(headers=b"Host: a\r\nX: " + b"x" * 40_000)),
    "endless header": (431, b"GET /contracts HTTP/1.1\r\nX: " + b"x" * 200_000),
    "long body": (413, post(b"Content-Length: 9999999", b"x" * 300_000)),
    "long chunked body": (
        413,
        post(CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n10000\r\n" + b"x" * 65536),
    ),
}


class RefusedRequestTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = IngressFixture(request_body_max_bytes=100_000)
        self.addCleanup(self.fixture.close)

    def test_an_ambiguous_or_invalid_request_is_refused(self):
        # Guards against request smuggling: if two programs between the caller and the
        # backend server disagree where a request ends, the rest of one caller's body is
        # served as the next caller's request. An ambiguous request gets one answer and
        # ends its connection, so that the bytes after it are not read as a request.
        for name, (status, data) in REFUSED.items():
            follower = b"" if name == "endless header" else GET
            caller = self.fixture.caller().send(data + follower)
            answer = caller.read()
            problem = answer.json()
            self.assertEqual((name, status), (name, answer.status))
            self.assertEqual(
                "not_run", answer.header_value("x-balsamspindle-outcome"), name
            )
            self.assertEqual("close", answer.header_value("connection"), name)
            self.assertTrue(problem["detail"].endswith("."), problem)
            self.assertTrue(caller.wait_for_close(), name)
            caller.close()
        self.assertEqual([], self.fixture.forwarder.forwarded)

    def test_complete_requests_before_an_invalid_one_are_answered_first(self):
        caller = self.fixture.caller().send(GET + GET + b"nonsense\r\n\r\n")
        self.assertEqual([200, 200, 400], [caller.read().status for _ in range(3)])
        self.assertTrue(caller.wait_for_close())

    def test_a_request_with_an_invalid_timeout_is_rejected_and_the_next_is_served(self):
        caller = self.fixture.caller()
        for value in (b"soon", b"-1", b"0", b"nan", b"1e9", b"1_0", b""):
            header = b"Host: a\r\nX-Request-Timeout-Ms: " + value
            answer = caller.send(get(headers=header)).read()
            self.assertEqual(
                (400, "bad_timeout"), (answer.status, answer.json()["reason"])
            )
        self.assertEqual(200, caller.send(GET).read().status)

    def test_a_405_names_the_allowed_methods(self):
        answer = self.fixture.caller().send(GET.replace(b"GET", b"PUT")).read()
        self.assertEqual(
            (405, "GET, HEAD, POST"), (answer.status, answer.header_value("allow"))
        )


class AcceptedRequestTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = IngressFixture()
        self.addCleanup(self.fixture.close)

    def test_pipelined_requests_are_answered_in_order(self):
        data = b"".join(get(b"/contracts/%d HTTP/1.1" % number) for number in range(20))
        caller = self.fixture.caller().send(data)
        targets = [caller.read().json()["target"] for _ in range(20)]
        self.assertEqual([f"/contracts/{number}" for number in range(20)], targets)

    def test_a_chunked_body_is_forwarded_complete_and_without_trailers(self):
        body = b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Request-Timeout-Ms: 1\r\n\r\n"
        answer = self.fixture.caller().send(post(CHUNKED, body)).read()
        self.assertEqual("abcde", answer.json()["body"])
        self.assertNotIn(
            "x-request-timeout-ms",
            [
                name.lower()
                for name, _ in self.fixture.forwarder.forwarded[0].request.headers
            ],
        )

    def test_a_caller_that_expects_continue_gets_it_before_it_sends(self):
        caller = self.fixture.caller()
        caller.send(post(b"Content-Length: 4\r\nExpect: 100-continue"))
        self.assertEqual(100, caller.read().status)
        self.assertEqual("sign", caller.send(b"sign").read().json()["body"])

    def test_an_absolute_target_of_the_same_host_is_served(self):
        answer = (
            self.fixture.caller().send(get(b"http://A/contracts?x HTTP/1.1")).read()
        )
        self.assertEqual("/contracts?x", answer.json()["target"])

    def test_an_offer_to_upgrade_is_ignored(self):
        offer = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c"
        caller = self.fixture.caller()
        caller.send(post(offer + b"\r\nContent-Length: 1", b"x") * 2 + GET)
        bodies = [caller.read().json()["body"] for _ in range(3)]
        self.assertEqual(["x", "x", ""], bodies)

    def test_head_answers_have_no_body_and_http_1_0_connections_end(self):
        caller = self.fixture.caller().send(GET.replace(b"GET", b"HEAD") + GET)
        self.assertEqual(200, caller.read(is_head=True).status)
        self.assertEqual("GET", caller.read().json()["method"])
        caller = self.fixture.caller().send(b"GET /contracts HTTP/1.0\r\n\r\n")
        self.assertEqual("close", caller.read().header_value("connection"))
        self.assertTrue(caller.wait_for_close())

    def test_hop_by_hop_headers_are_not_forwarded(self):
        headers = (
            b"Host: a\r\nConnection: X-Hop, keep-alive\r\nX-Hop: 1\r\nTE: trailers\r\n"
            b"Keep-Alive: 5\r\nX-Balsamspindle-Outcome: not_run\r\nX-End: 2"
        )
        self.fixture.caller().send(get(headers=headers)).read()
        passed = self.fixture.forwarder.forwarded[0].request.headers
        self.assertEqual([("Host", "a"), ("X-End", "2")], passed[:2])
        self.assertEqual(["X-Request-Id"], [name for name, _ in passed[2:]])
        answer = [("Connection", "x-a"), ("X-A", "1"), ("X-B", "2"), ("Upgrade", "h2c")]
        self.assertEqual([("X-B", "2")], end_to_end_headers(answer))

    def test_a_backend_server_can_not_set_headers_of_the_fleet(self):
        # A faulty or hostile backend server adds the fleet's own headers to its answer.
        # A caller that trusted a "not_run" from the backend server would send a request
        # again that has run.
        self.fixture.forwarder.headers = [
            ("x-balsamspindle-outcome", "not_run"),
            ("X-Request-Id", "forged"),
            ("Content-Length", "1"),
            ("Transfer-Encoding", "chunked"),
        ]
        answer = self.fixture.caller().send(GET).read()
        self.assertEqual("answered", answer.header_value("x-balsamspindle-outcome"))
        self.assertNotEqual("forged", answer.header_value("x-request-id"))
        self.assertEqual("/contracts/7", answer.json()["target"])

    def test_a_valid_request_id_is_kept(self):
        for given_id, kept in (
            (b"job-7.a:B_c", True),
            (b'a/b+c==&"d"=e', True),
            (b"a b", False),
            (b"x" * 129, False),
        ):
            header = b"Host: a\r\nX-Request-Id: " + given_id
            answer = self.fixture.caller().send(get(headers=header)).read()
            self.assertEqual(
                kept, answer.header_value("x-request-id") == given_id.decode()
            )

    def test_a_callers_timeout_can_only_shorten_the_timeout_of_the_route(self):
        caller = self.fixture.caller()
        for timeout_ms in (b"50", b"999999"):
            header = b"Host: a\r\nX-Request-Timeout-Ms: " + timeout_ms
            caller.send(get(headers=header)).read()
        short_ms, long_ms = self.fixture.forwarder.remaining_ms
        self.assertTrue(short_ms <= 50 and long_ms <= 2000, (short_ms, long_ms))


class ScriptedSocket:
    """Returns a byte stream in pieces, as the network might split it."""

    def __init__(self, pieces):
        self.pieces = list(pieces)

    def setsockopt(self, *_):
        """Ignore timeouts."""

    def recv(self, *_):
        return self.pieces.pop(0) if self.pieces else b""

    def send(self, data):
        return len(data)


def read_all(pieces) -> list:
    connection = HttpConnection(ScriptedSocket(pieces), HttpLimits(2_000, 500))
    found = []
    try:
        while connection.wait_for_request():
            request = connection.read_request()
            if request is None:
                break
            found.append(
                (request.method, request.target, request.headers, request.body)
            )
    except BadRequest as error:
        found.append(error.reason)
    return found


STREAMS = [
    GET + post(b"Content-Length: 4", b"sign") + GET,
    post(CHUNKED, b"3\r\nabc\r\n0\r\nX: y\r\n\r\n") + GET,
    post(b"Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 2", b"xy") + GET,
    GET + post(b"Content-Length: 1\r\nContent-Length: 1", b"x") + GET,
    GET + get(headers=b"Host: a\r\nX: " + b"x" * 3_000),
    GET + post(CHUNKED, b"1f4\r\n" + b"x" * 500 + b"\r\n1\r\nx\r\n0\r\n\r\n"),
]


class SplitStreamTests(TestCase):
    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.sampled_from(STREAMS), st.lists(st.integers(1, 60), max_size=60))
    def test_however_the_stream_is_split_the_requests_are_the_same(self, stream, cuts):
        pieces, rest = [], stream
        for length in cuts:
            pieces.append(rest[:length])
            rest = rest[length:]
        pieces = [piece for piece in [*pieces, rest] if piece]
        self.assertEqual(read_all([stream]), read_all(pieces))

    def test_each_stream_contains_the_expected_requests(self):
        counts = [len(read_all([stream])) for stream in STREAMS]
        self.assertEqual([3, 2, 2, 2, 2, 2], counts)
        self.assertEqual(Reason.BODY_TOO_LARGE, read_all([STREAMS[5]])[1])


class RealNodeTests(TestCase):
    def test_a_refused_request_never_runs_and_an_accepted_one_runs_once(self):
        # Guards against request smuggling through real nodes. The refused request gives
        # its length in two ways, and the bytes after it look like another request.
        # Neither may run. A request with a chunked body runs once, with its complete
        # body.
        fleet = start_fleet(self, SETTINGS)
        ingress, gate = (fleet.start_node(f"node-{n}", f"zone-{n}") for n in range(2))
        server = fleet.start_backend("contract-1", "crew/contracts", gate)
        fleet.wait_ready([ingress, gate], ["contract-1"])
        smuggled = post(b"X-Run-Key: smuggled\r\nContent-Length: 0")
        refused = RawCaller(ingress.caller_address)
        self.addCleanup(refused.close)
        refused.send(post(b"Content-Length: 9\r\n" + CHUNKED, b"0\r\n\r\n") + smuggled)
        self.assertEqual(400, refused.read().status)
        accepted = RawCaller(ingress.caller_address)
        self.addCleanup(accepted.close)
        accepted.send(post(b"X-Run-Key: taken\r\n" + CHUNKED, b"3\r\nabc\r\n0\r\n\r\n"))
        self.assertEqual("abc", accepted.read().json()["body"])
        self.assertEqual({"taken": 1}, server.runs())
