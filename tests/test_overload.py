"""Detection of an overloaded host, and the end of an overload."""

from datetime import timedelta

from passtally.overload import MAX_HOLD, MIN_HOLD, Overload

STEP = timedelta(milliseconds=50)
LONG, SHORT = timedelta(milliseconds=400), timedelta(milliseconds=3)


def play(overload: Overload, waits: list[timedelta], *, start: timedelta) -> timedelta:
    """Record connections one STEP apart, and return the time after the last one."""
    for number, waited in enumerate(waits):
        overload.record_connection(waited, now=start + number * STEP)
    return start + len(waits) * STEP


def overloaded() -> tuple[Overload, timedelta]:
    """Return the state of a host just found to be overloaded, and the time."""
    overload = Overload()
    now = play(overload, [SHORT, *[LONG] * 22], start=timedelta(seconds=5))
    assert overload.is_overloaded
    return overload, now


class TestOverload:
    def test_a_burst_in_which_some_connections_wait_is_no_overload(self):
        overload = Overload()
        now = timedelta(seconds=5)
        for _ in range(10):
            now = play(overload, [LONG] * 15 + [SHORT], start=now)
        assert not overload.is_overloaded

    def test_a_second_in_which_every_connection_waits_long_is_an_overload(self):
        overloaded()

    def test_a_few_long_waits_with_pauses_between_are_no_overload(self):
        overload = Overload()
        for number in range(10):
            play(overload, [LONG] * 3, start=timedelta(seconds=5 + 3 * number))
        assert not overload.is_overloaded

    def test_an_overload_lasts_for_the_minimum_time_without_callers(self):
        overload, now = overloaded()
        overload.record_timer(SHORT, now=now + MIN_HOLD - STEP * 3)
        assert overload.is_overloaded
        overload.record_timer(SHORT, now=now + MIN_HOLD)
        assert not overload.is_overloaded

    def test_an_overload_with_late_timers_lasts_for_the_maximum_time(self):
        overload, now = overloaded()
        delay = timedelta(milliseconds=30)
        for number in range(10):
            overload.record_timer(delay, now=now + MIN_HOLD + number * STEP)
        assert overload.is_overloaded
        overload.record_timer(delay, now=now + MAX_HOLD)
        assert not overload.is_overloaded
