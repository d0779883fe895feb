"""Tests of a rate that is looked at after every answer."""

import random

import pytest

from passtally.sequential_test import Finding, MixtureTest, RatioTest

LOOKS = 200


def find_ever(test, rate: float, seed: int) -> set[Finding]:
    """Return all that is found when each of many answers is looked at."""
    rng = random.Random(seed)
    hits = 0
    found = set()
    for trials in range(1, LOOKS + 1):
        hits += rng.random() < rate
        found.add(test.judge(trials, hits))
    return found


class TestMixture:
    test = MixtureTest(baseline=0.05, tolerated=0.25, error=0.01)

    def test_nothing_is_found_before_the_first_answer(self):
        assert self.test.judge(0, 0) is Finding.OPEN

    @pytest.mark.parametrize("rate", [0.01, 0.05])
    def test_a_usual_rate_is_hardly_ever_found_high_at_any_look(self, rate):
        wrong = sum(Finding.HIGH in find_ever(self.test, rate, s) for s in range(300))
        assert wrong <= 6

    def test_a_tolerated_rate_is_hardly_ever_found_low_at_any_look(self):
        wrong = sum(Finding.LOW in find_ever(self.test, 0.25, s) for s in range(300))
        assert wrong <= 6

    @pytest.mark.parametrize(("trials", "hits"), [(3, 3), (20, 8), (100, 20)])
    def test_a_high_rate_is_found(self, trials, hits):
        assert self.test.judge(trials, hits) is Finding.HIGH

    @pytest.mark.parametrize(("trials", "hits"), [(40, 0), (60, 2)])
    def test_a_low_rate_is_found(self, trials, hits):
        assert self.test.judge(trials, hits) is Finding.LOW

    def test_two_failures_of_three_are_still_chance(self):
        assert self.test.judge(3, 1) is Finding.OPEN


class TestRatio:
    test = RatioTest(baseline=0.05, high=0.35, error=0.01)

    def test_it_tells_its_two_rates_apart(self):
        assert self.test.judge(20, 10) is Finding.HIGH
        assert self.test.judge(60, 2) is Finding.LOW
        assert self.test.judge(3, 0) is Finding.OPEN

    def test_it_errs_as_seldom_as_it_says(self):
        wrong = sum(Finding.HIGH in find_ever(self.test, 0.05, s) for s in range(300))
        assert wrong <= 6
