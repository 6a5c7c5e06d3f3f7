"""Headers of answers that no server sends, with odd or contradictory values."""

import pytest

from balsamspindle.backend_servers.answers import AnswerReader, BackendFailure
from balsamspindle.protocol.header_names import HeaderNames
from balsamspindle.tables import StoreEras


@pytest.mark.parametrize("digits", ["9" * 5_000, "9" * 30])
def test_an_era_out_of_range_is_ignored(digits):
    """Guards against a store's header that ends tasks, or hides all later answers."""
    eras = StoreEras()
    assert eras.record_answer("7") == 7
    assert eras.record_answer(digits) is None
    assert eras.record_answer("8") == 8


def test_a_length_of_many_digits_raises_no_exception_in_the_callback():
    """Guards against a traceback for each answer with such a length."""
    reader = AnswerReader(1_000)
    for line in (b"HTTP/1.1 200 OK\r\n", b"Content-Length: " + b"9" * 5_000 + b"\r\n"):
        reader.on_header(line)
    reader.on_header(b"\r\n")


def test_an_answer_with_two_request_ids_belongs_to_no_request():
    """Guards against an answer of another request that is taken by its first id."""
    names = HeaderNames(request_id="X-Request-Id", echoes_request_id=True)
    reader = AnswerReader(1_000, "own", names)
    for line in (
        b"HTTP/1.1 200 OK\r\n",
        b"Content-Length: 0\r\n",
        b"X-Request-Id: own\r\n",
        b"X-Request-Id: other\r\n",
        b"\r\n",
    ):
        reader.on_header(line)
    result = reader.answer(200, "GET", False, lambda request_id: False)
    assert isinstance(result, BackendFailure) and result.is_foreign
