"""Forecasts of the remaining time of an answer and of its prefill."""

import random
from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from passtally.forecast import (
    DEFAULT_DURATION,
    FIRST_OUTPUT_SLACK,
    FORGET_FIRST_AFTER,
    MIN_SAFE_SAMPLES,
    MIN_SAMPLES,
    Forecast,
)
from passtally.priority import Priority

SERVICE = "s"
SECOND = timedelta(seconds=1)
URGENT, NORMAL, ROUTINE = (Priority(rank=rank) for rank in range(3))
NOW = timedelta(minutes=1)


def record_first(
    forecast: Forecast,
    tokens: int,
    waited: timedelta,
    *,
    priority: Priority = NORMAL,
    count: int = 1,
) -> None:
    for _ in range(count):
        forecast.record_first(SERVICE, tokens, waited, priority=priority, now=NOW)


def expect_first(
    forecast: Forecast,
    *,
    ahead: int = 0,
    priority: Priority = NORMAL,
    now: timedelta = NOW,
) -> timedelta:
    """Return the forecast for a prompt of 5,000 tokens."""
    return forecast.first_output_time(
        SERVICE, tokens=5_000, tokens_ahead=ahead, priority=priority, now=now
    )


def make_forecast(answers: int = MIN_SAMPLES) -> Forecast:
    """Return a forecast from answers of 101 positions after 5,000 prompt tokens.

    Prefill takes a second, and each step 10 ms.
    """
    forecast = Forecast()
    for _ in range(answers):
        record_first(forecast, 5_000, SECOND)
        forecast.record_completion(SERVICE, 101, SECOND)
    return forecast


class TestForecast:
    def test_the_minimum_time_is_prefill_plus_the_rest_of_a_short_answer(self):
        minimum = make_forecast().min_time(SERVICE, tokens=10_000, position=51)
        assert abs(minimum - timedelta(seconds=2.5)) < timedelta(milliseconds=1)

    def test_an_answer_that_is_already_long_still_needs_prefill(self):
        minimum = make_forecast().min_time(SERVICE, tokens=5_000, position=400)
        assert minimum == SECOND

    def test_no_forecast_from_few_samples_or_for_another_service(self):
        few = make_forecast(answers=MIN_SAMPLES - 1)
        assert not few.min_time(SERVICE, tokens=5_000, position=0)
        assert not make_forecast().min_time("other", tokens=5_000, position=0)

    def test_an_outlier_does_not_change_the_forecast(self):
        forecast = make_forecast(answers=20)
        before = forecast.min_time(SERVICE, tokens=5_000, position=0)
        record_first(forecast, 5_000, timedelta(milliseconds=1))
        forecast.record_completion(SERVICE, 2, timedelta(0))
        assert forecast.min_time(SERVICE, tokens=5_000, position=0) == before

    @given(
        st.lists(
            st.tuples(
                st.integers(1, 10_000), st.integers(1, 500), st.integers(1, 5_000)
            ),
            min_size=MIN_SAMPLES,
            max_size=60,
        ),
        st.integers(0, 600),
    )
    def test_the_minimum_is_at_most_the_slowest_prefill_and_longest_answer(
        self, samples, position
    ):
        forecast = Forecast()
        for tokens, positions, ms in samples:
            duration = timedelta(milliseconds=ms)
            record_first(forecast, tokens, duration)
            forecast.record_completion(SERVICE, positions, duration)
        minimum = forecast.min_time(SERVICE, tokens=1_000, position=position)
        slowest = max(1_000 / tokens * ms for tokens, _, ms in samples)
        steps = [ms / (positions - 1) for _, positions, ms in samples if positions > 1]
        longest = max(positions for _, positions, _ in samples)
        most = slowest + longest * max(steps, default=0)
        assert minimum <= timedelta(milliseconds=most + 1)


class TestFirstOutput:
    def test_a_prompt_waits_for_those_before_it(self):
        assert expect_first(make_forecast()) == SECOND
        assert expect_first(make_forecast(), ahead=5_000) == 2 * SECOND
        assert not expect_first(Forecast())

    # Guards against urgent requests that are refused since routine ones wait: engines
    # run the urgent ones first.
    def test_an_urgent_request_waits_only_as_long_as_urgent_ones(self):
        forecast = make_forecast(0)
        record_first(forecast, 5_000, SECOND, priority=URGENT, count=MIN_SAMPLES)
        record_first(forecast, 5_000, 9 * SECOND, priority=ROUTINE, count=20)
        urgent = expect_first(forecast, ahead=20_000, priority=URGENT)
        routine = expect_first(forecast, ahead=5_000, priority=ROUTINE)
        assert (urgent, routine) == (SECOND, 18 * SECOND)

    # Guards against prompts that wait and are not counted, since routine requests came
    # long ago.
    def test_a_priority_without_fresh_samples_competes_no_longer(self):
        forecast = make_forecast(0)
        record_first(forecast, 5_000, SECOND, priority=ROUTINE, count=MIN_SAMPLES)
        later = NOW + FORGET_FIRST_AFTER + SECOND
        for _ in range(MIN_SAMPLES):
            forecast.record_first(SERVICE, 5_000, SECOND, priority=URGENT, now=later)
        urgent = expect_first(forecast, ahead=5_000, priority=URGENT, now=later)
        assert urgent == 2 * SECOND

    # Guards against a host that refuses all requests of a priority after some slow
    # first outputs, and so never sees a faster one.
    def test_a_forecast_expires(self):
        later = NOW + FORGET_FIRST_AFTER
        assert expect_first(make_forecast(), now=later) == SECOND
        assert not expect_first(make_forecast(), now=later + SECOND)


class TestLimits:
    def test_the_first_output_limit_grows_with_the_tokens_in_prefill(self):
        forecast = make_forecast()
        short = forecast.first_output_limit(SERVICE, 5_000)
        assert short == timedelta(seconds=2) + FIRST_OUTPUT_SLACK
        assert forecast.first_output_limit(SERVICE, 10_000) == short + timedelta(
            seconds=2
        )
        assert forecast.first_output_limit(SERVICE, 0) is None

    def test_the_first_output_limit_adapts_to_slow_prefill(self):
        forecast = Forecast()
        for _ in range(MIN_SAMPLES):
            record_first(forecast, 5_000, 4 * SECOND)
        limit = forecast.first_output_limit(SERVICE, 5_000)
        assert limit == timedelta(seconds=8) + FIRST_OUTPUT_SLACK
        assert limit > Forecast().first_output_limit(SERVICE, 5_000)

    def test_the_safe_time_is_estimated_from_samples(self):
        assert Forecast().safe_time(SERVICE, tokens=5_000) == DEFAULT_DURATION
        typical = make_forecast(MIN_SAFE_SAMPLES).safe_time(SERVICE, tokens=5_000)
        assert abs(typical - timedelta(seconds=2.01)) < timedelta(milliseconds=1)

    # Guards against a stopping host that takes streams of which one in five is cut.
    @pytest.mark.parametrize("long_share", [0.1, 0.2, 0.5])
    def test_nearly_all_answers_are_complete_in_the_safe_time(self, long_share):
        rng = random.Random(1)
        is_complete, forecast = [], Forecast()
        for number in range(2_000):
            positions = 151 if rng.random() < long_share else rng.randrange(41, 71)
            step = timedelta(milliseconds=rng.uniform(25, 35))
            if number >= MIN_SAFE_SAMPLES:
                safe = forecast.safe_time(SERVICE, tokens=1_000)
                is_complete.append(SECOND / 5 + (positions - 1) * step <= safe)
            record_first(forecast, 1_000, SECOND / 5)
            forecast.record_completion(SERVICE, positions, (positions - 1) * step)
        assert sum(is_complete) >= 0.97 * len(is_complete)

    def test_few_samples_are_not_enough_for_a_shorter_time(self):
        few = make_forecast(MIN_SAFE_SAMPLES - 1).safe_time(SERVICE, tokens=5_000)
        assert few == DEFAULT_DURATION
