"""Delay of the retry of a request that was lost in a backend server's crash."""

import random

from balsamspindle.crashes.records import UNSUSPECTED, QuarantineStatus
from balsamspindle.crashes.retry_waits import (
    WAIT_FRACTION_MAX,
    WAIT_MAX_S,
    retry_wait_s,
)
from balsamspindle.crashes.verdicts import RETRIED_WITHIN_S

SUSPECT = QuarantineStatus(is_suspect=True)
RNG = random.Random(1)


def test_a_request_lost_once_is_retried_at_once():
    assert retry_wait_s(UNSUSPECTED, 10.0, RNG) == 0.0


def test_a_suspect_waits_longer_than_a_retry_that_follows_a_crash():
    waits_s = [retry_wait_s(SUSPECT, 10.0, RNG) for _ in range(100)]
    assert RETRIED_WITHIN_S <= min(waits_s) < max(waits_s) <= WAIT_MAX_S
    assert len(set(waits_s)) == len(waits_s)


def test_a_request_with_little_time_remaining_waits_for_a_fraction_of_it():
    assert retry_wait_s(SUSPECT, 0.2, RNG) <= 0.2 * WAIT_FRACTION_MAX
    assert retry_wait_s(SUSPECT, -1.0, RNG) == 0.0
