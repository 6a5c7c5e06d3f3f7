"""White space around header values from callers and backend servers."""

from testtools import TestCase

from balsamspindle.protocol.field_values import field_value
from balsamspindle.protocol.header_names import HeaderNames
from tests.caller_side import IngressFixture
from tests.test_customer_keys import KEY, KEYED

NAMES = HeaderNames(api_key="X-Key", customer="X-Customer")


class FieldValueTests(TestCase):
    def setUp(self):
        super().setUp()
        self.fixture = IngressFixture(KEYED, headers=NAMES)
        self.addCleanup(self.fixture.close)

    def _get(self, *headers: str):
        lines = ["GET /contracts/7 HTTP/1.1", "Host: crew.example", *headers, "", ""]
        caller = self.fixture.caller().send("\r\n".join(lines).encode("latin-1"))
        return caller.read()

    def test_white_space_around_a_value_is_removed(self):
        # Guards against a valid key that is refused because a space follows it.
        for before, after in ((" ", " "), ("", "\t"), ("\t ", " \t "), ("", "")):
            answer = self._get(
                f"X-Key:{before}{KEY}{after}", f"X-Note:{before}a b{after}"
            )
            self.assertEqual(200, answer.status)
            forwarded = self.fixture.forwarder.forwarded[-1]
            self.assertEqual("Anna", forwarded.customer)
            self.assertIn(("X-Note", "a b"), forwarded.request.headers)

    def test_other_control_characters_are_not_removed(self):
        for character in ("\x0b", "\x1f", "\xa0", "\x85"):
            self.assertIn(self._get(f"X-Key: {KEY}{character}").status, (400, 401))
        self.assertEqual([], self.fixture.forwarder.forwarded)

    def test_other_white_space_characters_of_a_value_are_kept(self):
        # Guards against a signature or an id that is changed in transit.
        for raw, value in (
            (b" \ta b\t ", "a b"),
            (b"a\xa0", "a\xa0"),
            (b"\x1ca", "\x1ca"),
            (b" ", ""),
        ):
            self.assertEqual(value, field_value(raw))
