"""What a host believes of an endpoint's load."""

from collections.abc import Iterator
from datetime import timedelta
from typing import Any

import pytest
from eliot import add_destinations, remove_destination

from passtally.clock import ManualClock
from passtally.departures import Departures
from passtally.engine import LoadReport
from passtally.live_endpoint import (
    GOING_ON,
    LagMeter,
    LiveEndpoint,
    StreamGuard,
)
from passtally.objects import Endpoint
from passtally.silence import DEFAULT_BOUNDS_BY_PHASE


def make_live(clock: ManualClock) -> LiveEndpoint:
    return LiveEndpoint(
        endpoint=Endpoint(id="r", service="s", url="http://r", failure_domain="p"),
        engine=None,
        clock=clock,
        lag=LagMeter(clock=clock),
        departures=Departures(),
        bounds_by_phase=DEFAULT_BOUNDS_BY_PHASE,
    )


class TestLiveEndpoint:
    def test_a_lagging_report_of_ones_own_requests_is_not_taken_for_others(self):
        clock = ManualClock()
        live = make_live(clock)
        for _ in range(40):
            live.enter()
        for _ in range(40):
            live.leave()
        clock.advance(timedelta(milliseconds=500))
        live.update_report(LoadReport(running=40, queued=0, step=1))
        assert live.view().taken == 0

    def test_other_hosts_requests_count(self):
        clock = ManualClock()
        live = make_live(clock)
        live.enter()
        live.update_report(LoadReport(running=5, queued=2, step=1))
        assert live.view().taken == 7

    def test_long_gone_requests_of_ones_own_are_forgotten(self):
        clock = ManualClock()
        live = make_live(clock)
        live.enter()
        live.leave()
        clock.advance(timedelta(seconds=10))
        live.update_report(LoadReport(running=3, queued=0, step=1))
        assert live.view().taken == 3


class TestStreamGuard:
    SECOND = timedelta(seconds=1)

    def test_a_first_output_is_waited_for_by_what_was_read_before_it(self):
        guard = StreamGuard(
            quiet_since=timedelta(0), first_limit=lambda tokens: tokens * self.SECOND
        )
        guard.max_prefill_tokens = 7
        assert guard.stuck_after(self.SECOND) == 7 * self.SECOND

    def test_where_nothing_is_known_the_endpoints_own_limit_holds(self):
        guard = StreamGuard(quiet_since=timedelta(0))
        assert guard.stuck_after(self.SECOND) == self.SECOND

    def test_a_pause_may_last_as_long_as_its_caller_allows(self):
        usual = timedelta(milliseconds=420)
        guard = StreamGuard(quiet_since=timedelta(0), max_gap=2 * self.SECOND)
        guard.seen_reads = 1
        assert guard.stuck_after(usual) == 2 * self.SECOND - GOING_ON
        guard.max_gap = usual
        assert guard.stuck_after(usual) == usual
        guard.max_gap = None
        assert guard.stuck_after(usual) == usual


@pytest.fixture
def pauses() -> Iterator[list[dict[str, Any]]]:
    """The lines so far that tell of pauses of this host."""
    found: list[dict[str, Any]] = []

    def note(message: dict[str, Any]) -> None:
        if message.get("message") == "host: Did not run in time.":
            found.append(message)

    add_destinations(note)
    # The first destination of a process is handed what was logged before.
    found.clear()
    yield found
    remove_destination(note)


class TestOwnPauses:
    MILLISECOND = timedelta(milliseconds=1)

    def test_a_pause_of_this_host_is_told_with_its_length(self, pauses):
        lag = LagMeter(clock=ManualClock())
        lag.tick(40 * self.MILLISECOND)
        assert not pauses
        lag.tick(230 * self.MILLISECOND)
        (line,) = pauses
        assert line["late_ms"] == 230

    def test_of_pauses_in_a_row_the_first_is_told(self, pauses):
        clock = ManualClock()
        lag = LagMeter(clock=clock)
        for _ in range(3):
            lag.tick(230 * self.MILLISECOND)
            clock.advance(50 * self.MILLISECOND)
        assert len(pauses) == 1
        clock.advance(timedelta(seconds=1))
        lag.tick(230 * self.MILLISECOND)
        assert len(pauses) == 2
