"""What the rest of an answer takes at least."""

from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from passtally.forecast import FIRST_SLACK, MIN_SAMPLES, START_LASTS, Forecast

SERVICE = "s"
SECOND = timedelta(seconds=1)


def make_forecast(answers: int = MIN_SAMPLES) -> Forecast:
    """Return one that saw answers of 101 positions, 10 ms each, after 5,000 tokens."""
    forecast = Forecast()
    for _ in range(answers):
        forecast.record_first(SERVICE, 5_000, SECOND)
        forecast.record_completion(SERVICE, 101, SECOND)
    return forecast


class TestForecast:
    def test_reading_and_the_rest_of_a_short_answer_are_counted(self):
        least = make_forecast().min_time(SERVICE, tokens=10_000, position=51)
        assert abs(least - timedelta(seconds=2.5)) < timedelta(milliseconds=1)

    def test_an_answer_that_is_long_already_still_has_to_be_read(self):
        least = make_forecast().min_time(SERVICE, tokens=5_000, position=400)
        assert least == SECOND

    def test_nothing_is_forecast_from_few_answers_or_for_another_service(self):
        few = make_forecast(answers=MIN_SAMPLES - 1)
        assert not few.min_time(SERVICE, tokens=5_000, position=0)
        assert not make_forecast().min_time("other", tokens=5_000, position=0)

    def test_one_answer_out_of_the_ordinary_changes_little(self):
        forecast = make_forecast(answers=20)
        before = forecast.min_time(SERVICE, tokens=5_000, position=0)
        forecast.record_first(SERVICE, 5_000, timedelta(milliseconds=1))
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
    def test_it_is_never_more_than_the_slowest_and_longest_took(self, seen, position):
        forecast = Forecast()
        for tokens, positions, ms in seen:
            took = timedelta(milliseconds=ms)
            forecast.record_first(SERVICE, tokens, took)
            forecast.record_completion(SERVICE, positions, took)
        least = forecast.min_time(SERVICE, tokens=1_000, position=position)
        slowest = max(1_000 / tokens * ms for tokens, _, ms in seen)
        steps = [ms / (positions - 1) for _, positions, ms in seen if positions > 1]
        longest = max(positions for _, positions, _ in seen)
        most = slowest + longest * max(steps, default=0)
        assert least <= timedelta(milliseconds=most + 1)


class TestLimits:
    def test_the_least_time_of_reading_is_that_of_a_quick_one(self):
        assert make_forecast().prefill_time(SERVICE, 10_000) == 2 * SECOND
        assert not Forecast().prefill_time(SERVICE, 10_000)

    def test_a_first_output_may_take_longer_the_more_is_read_before_it(self):
        forecast = make_forecast()
        short = forecast.first_limit(SERVICE, 5_000)
        assert short == timedelta(seconds=2) + FIRST_SLACK
        assert forecast.first_limit(SERVICE, 10_000) == short + timedelta(seconds=2)
        assert forecast.first_limit(SERVICE, 0) is None

    def test_slow_reading_is_learned(self):
        forecast = Forecast()
        for _ in range(MIN_SAMPLES):
            forecast.record_first(SERVICE, 5_000, 4 * SECOND)
        limit = forecast.first_limit(SERVICE, 5_000)
        assert limit == timedelta(seconds=8) + FIRST_SLACK
        assert limit > Forecast().first_limit(SERVICE, 5_000)

    def test_the_usual_time_is_learned(self):
        assert Forecast().typical_time(SERVICE, tokens=5_000) == START_LASTS
        usual = make_forecast().typical_time(SERVICE, tokens=5_000)
        assert abs(usual - timedelta(seconds=2.01)) < timedelta(milliseconds=1)
