"""The evidence on other backend servers that an ingress sends to a gate."""

from balsamspindle.protocol.outcomes import Outcome
from balsamspindle.services.peer_evidence import JUDGEMENT_VALID_S, PeerEvidenceTracker
from balsamspindle.wire import AttemptId, PeerEvidence, Reply

SERVICE = "crew/contracts"


def reply_with(bad, p99_ms=80.0) -> Reply:
    return Reply(AttemptId("n", 1, 1), Outcome.ANSWERED, bad=bad, p99_ms=p99_ms)


def tracker_with(judgements: dict[str, bool | None], now_s=1.0, p99_ms=80.0):
    tracker = PeerEvidenceTracker()
    for server_id, bad in judgements.items():
        tracker.record_start(SERVICE, server_id, now_s)
        tracker.record_end(SERVICE, server_id, now_s, reply_with(bad, p99_ms), now_s)
    return tracker


def test_a_backend_server_is_compared_with_the_others_only():
    tracker = tracker_with({"a": True, "b": False, "c": True})
    assert tracker.summarize(SERVICE, "a", 1.0) == PeerEvidence(2, 1, 80.0)
    assert tracker.summarize(SERVICE, "b", 1.0) == PeerEvidence(2, 2, 80.0)
    assert tracker.summarize("crew/other", "a", 1.0) == PeerEvidence()


def test_missing_and_expired_judgements_are_no_evidence():
    """An attempt without a judgement must not count as evidence of a bad peer.

    Shed work and failed links have no judgement.
    """
    tracker = tracker_with({"a": True, "b": None, "c": True})
    tracker.record_start(SERVICE, "c", 2.0)
    tracker.record_end(SERVICE, "c", 2.0, None, 2.5)
    assert tracker.summarize(SERVICE, "a", 3.0).judged_count == 1
    assert tracker.summarize(SERVICE, "x", 1.1 + JUDGEMENT_VALID_S) == PeerEvidence(
        0, 0, 80.0
    )


def test_a_hanging_request_counts_as_bad_before_it_ends():
    tracker = tracker_with({"a": False, "b": False, "c": False})
    tracker.record_start(SERVICE, "b", 2.0)
    assert tracker.summarize(SERVICE, "a", 2.1).bad_count == 0
    assert tracker.summarize(SERVICE, "a", 2.2).bad_count == 1


def test_one_slow_peer_does_not_change_the_median_latency():
    tracker = tracker_with({"a": False, "b": False, "c": False})
    tracker.record_end(SERVICE, "c", 1.0, reply_with(True, 9000.0), 1.0)
    assert tracker.summarize(SERVICE, "x", 1.0).median_p99_ms == 80.0
