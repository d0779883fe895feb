"""When a host can't keep up with its callers, and when it can again."""

from datetime import timedelta

from passtally.overload import HOLD, MAX_HOLD, Overload

STEP = timedelta(milliseconds=50)
LONG, SHORT = timedelta(milliseconds=400), timedelta(milliseconds=3)


def play(overload: Overload, waits: list[timedelta], *, start: timedelta) -> timedelta:
    """Let connections come at equal steps, and return when the last has."""
    for number, waited in enumerate(waits):
        overload.record_connection(waited, now=start + number * STEP)
    return start + len(waits) * STEP


def overloaded() -> tuple[Overload, timedelta]:
    """Return a host that was just found to be overloaded, and when."""
    overload = Overload()
    now = play(overload, [SHORT, *[LONG] * 22], start=timedelta(seconds=5))
    assert overload.is_overloaded
    return overload, now


class TestOverload:
    def test_a_burst_that_makes_some_wait_is_none(self):
        overload = Overload()
        now = timedelta(seconds=5)
        for _ in range(10):
            now = play(overload, [LONG] * 15 + [SHORT], start=now)
        assert not overload.is_overloaded

    def test_where_each_waits_long_for_a_second_it_is_one(self):
        overloaded()

    def test_a_few_that_waited_long_with_pauses_between_are_none(self):
        overload = Overload()
        for number in range(10):
            play(overload, [LONG] * 3, start=timedelta(seconds=5 + 3 * number))
        assert not overload.is_overloaded

    def test_it_lasts_for_a_while_after_its_callers_have_gone(self):
        overload, now = overloaded()
        overload.record_timer(SHORT, now=now + HOLD - STEP * 3)
        assert overload.is_overloaded
        overload.record_timer(SHORT, now=now + HOLD)
        assert not overload.is_overloaded

    def test_while_timers_are_late_it_lasts_longer_but_not_for_ever(self):
        overload, now = overloaded()
        late = timedelta(milliseconds=30)
        for number in range(10):
            overload.record_timer(late, now=now + HOLD + number * STEP)
        assert overload.is_overloaded
        overload.record_timer(late, now=now + MAX_HOLD)
        assert not overload.is_overloaded
