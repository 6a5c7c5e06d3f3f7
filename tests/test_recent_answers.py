"""The time for which answers are remembered, and their maximum number."""

from balsamspindle.crashes.recent_answers import (
    ANSWER_VALID_S,
    ANSWERS_MAX,
    RecentAnswers,
)


def test_an_answer_is_remembered_for_a_limited_time():
    answers = RecentAnswers()
    answers.record(1, 100.0)
    for after_s in (0.5, 1.0):
        answers.record(2, 100.0 + after_s * ANSWER_VALID_S)
        assert answers.answered_s(1) == 100.0
    for after_s in (1.5, 3.0):
        answers.record(2, 100.0 + after_s * ANSWER_VALID_S)
    assert answers.answered_s(1) < 0
    assert answers.answered_s(2) == 100.0 + 3.0 * ANSWER_VALID_S


def test_the_number_of_remembered_answers_is_limited():
    answers = RecentAnswers()
    for content_hash in range(5 * ANSWERS_MAX):
        answers.record(content_hash, 100.0)
    kept = [one for one in range(5 * ANSWERS_MAX) if answers.answered_s(one) > 0]
    assert ANSWERS_MAX <= len(kept) <= 2 * ANSWERS_MAX
