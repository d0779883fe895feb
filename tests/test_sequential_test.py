"""Error bounds of sequential tests that are evaluated after every answer.

Guards against a test whose error probability grows with the number of evaluations,
which would roll back good versions in long trials.
"""

import random

import pytest

from passtally.sequential_test import Finding, MixtureTest, RatioTest

CHECKS = 200


def find_ever(test, rate: float, seed: int) -> set[Finding]:
    """Return all results of a test that is evaluated after each of CHECKS answers."""
    rng = random.Random(seed)
    hits = 0
    found = set()
    for trials in range(1, CHECKS + 1):
        hits += rng.random() < rate
        found.add(test.judge(trials, hits))
    return found


class TestMixture:
    test = MixtureTest(baseline=0.05, tolerated=0.25, error=0.01)

    def test_it_is_open_before_the_first_answer(self):
        assert self.test.judge(0, 0) is Finding.OPEN

    @pytest.mark.parametrize("rate", [0.01, 0.05])
    def test_a_baseline_rate_is_rarely_found_high_at_any_evaluation(self, rate):
        wrong = sum(Finding.HIGH in find_ever(self.test, rate, s) for s in range(300))
        assert wrong <= 6

    def test_a_tolerated_rate_is_rarely_found_low_at_any_evaluation(self):
        wrong = sum(Finding.LOW in find_ever(self.test, 0.25, s) for s in range(300))
        assert wrong <= 6

    @pytest.mark.parametrize(("trials", "hits"), [(3, 3), (20, 8), (100, 20)])
    def test_a_high_rate_is_found(self, trials, hits):
        assert self.test.judge(trials, hits) is Finding.HIGH

    @pytest.mark.parametrize(("trials", "hits"), [(40, 0), (60, 2)])
    def test_a_low_rate_is_found(self, trials, hits):
        assert self.test.judge(trials, hits) is Finding.LOW

    def test_one_failure_in_three_answers_is_still_open(self):
        assert self.test.judge(3, 1) is Finding.OPEN


class TestRatio:
    test = RatioTest(baseline=0.05, high=0.35, error=0.01)

    def test_it_distinguishes_its_two_rates(self):
        assert self.test.judge(20, 10) is Finding.HIGH
        assert self.test.judge(60, 2) is Finding.LOW
        assert self.test.judge(3, 0) is Finding.OPEN

    def test_it_keeps_its_error_bound(self):
        wrong = sum(Finding.HIGH in find_ever(self.test, 0.05, s) for s in range(300))
        assert wrong <= 6
