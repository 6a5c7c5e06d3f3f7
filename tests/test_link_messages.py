"""Tests of link messages between nodes of different builds."""

import msgspec
from testtools import TestCase

from balsamspindle.membership.headers import header_of, record_with_header
from balsamspindle.protocol.outcomes import Execution, Outcome
from balsamspindle.wire import (
    LINK_LEVEL,
    AdmissionQuery,
    AttemptId,
    GateLoad,
    Importance,
    NodeHeader,
    NodeRecord,
    Reply,
    ReservationCall,
    ReservationRequest,
    decode_link,
    encode,
)

ATTEMPT = AttemptId("node-1", 7, 1)
QUERY = AdmissionQuery(1, "a/b", "i-1", Execution.IDEMPOTENT, 500.0, 1.0)
ADDRESS = "10.1.0.1:7600"


class _OldReply(msgspec.Struct, array_like=True, tag="reply"):
    """The fields of a reply that a build without `load` knows."""

    attempt_id: AttemptId
    outcome: Outcome
    reason: str | None = None
    status: int = 0


class LinkMessageTests(TestCase):
    def test_messages_arrive_as_they_were_sent(self):
        load = GateLoad(0, 3, 120.0, 0.5)
        query = msgspec.structs.replace(
            QUERY, importance=Importance(1.0, 700.0), body_bytes=60_000
        )
        for message in (
            Reply(ATTEMPT, Outcome.ANSWERED, load=load),
            ReservationRequest(ATTEMPT, query),
            ReservationCall(ATTEMPT, 40.0, 12.5),
        ):
            self.assertEqual(message, decode_link(encode(message)))

    def test_a_build_without_the_new_fields_reads_the_fields_that_it_knows(self):
        frame = encode(Reply(ATTEMPT, Outcome.ANSWERED, status=200, load=GateLoad()))
        old = msgspec.msgpack.decode(frame[1:], type=_OldReply)
        self.assertEqual((Outcome.ANSWERED, 200), (old.outcome, old.status))

    def test_messages_of_an_old_build_get_the_defaults(self):
        reply = decode_link(encode(_OldReply(ATTEMPT, Outcome.NOT_RUN, "draining")))
        self.assertIsNone(reply.load)

    def test_fields_that_a_newer_build_adds_to_a_load_are_ignored(self):
        values = [*msgspec.to_builtins(GateLoad(2)), "added later"]
        load = msgspec.msgpack.decode(msgspec.msgpack.encode(values), type=GateLoad)
        self.assertEqual(2, load.free_slots)


class HeaderTests(TestCase):
    def test_a_header_without_a_link_level_means_that_no_reservation_is_sent(self):
        old = ["r", "z", ADDRESS, ADDRESS, "alive", ""]
        header = msgspec.convert(old, NodeHeader)
        record = record_with_header("n", 1, 1, header)
        self.assertEqual(0, record.link_level)

    def test_a_record_keeps_its_link_through_its_header(self):
        record = NodeRecord(
            "n", 1, 1, "r", "z", ADDRESS, ADDRESS, "alive", link_level=1
        )
        header = header_of(record)
        self.assertEqual(record, record_with_header("n", 1, 1, header))
        self.assertGreaterEqual(LINK_LEVEL, 1)
