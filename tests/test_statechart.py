"""Transition tables of the state charts, compared with sismic's interpreter.

Guards against a table that is out of date or behaves differently from its chart, and
against a chart with features that a table cannot represent.
"""

from collections import deque

import pytest
from sismic.interpreter import Interpreter
from sismic.io import import_from_yaml
from sismic.model import Statechart

from passtally.chart_reader import (
    CHARTS,
    UnsupportedChartError,
    load_chart,
    make_table,
    render_table,
)
from passtally.statechart import IllegalTransitionError, Machine, follow

NAMES = sorted(path.stem for path in CHARTS.glob("*.yaml"))
UNKNOWN_EVENT = "no-such-event"


def events_by_state(chart: Statechart) -> dict[str, tuple[str, ...]]:
    """Return the shortest sequence of events that leads to each reachable state."""
    found: dict[str, tuple[str, ...]] = {}
    queue: deque[tuple[str, ...]] = deque([()])
    while queue:
        events = queue.popleft()
        state = state_after(chart, events)
        if state is not None and state not in found:
            found[state] = events
            queue.extend((*events, event) for event in chart.events_for())
    return found


def state_after(chart: Statechart, events: tuple[str, ...]) -> str | None:
    """Return the state of sismic's interpreter after the events; None if illegal."""
    interpreter = Interpreter(chart)
    interpreter.execute()
    state = interpreter.configuration[-1]
    for event in events:
        if interpreter.final:
            return None
        step = interpreter.queue(event).execute_once()
        if step is None or not step.transitions:
            return None
        state = step.transitions[-1].target
    return state


def run_machine(name: str, events: tuple[str, ...]) -> Machine:
    """Return a machine that has processed the events."""
    machine = Machine(chart=name)
    for event in events:
        machine.send(event)
    return machine


@pytest.mark.parametrize("name", NAMES)
class TestCharts:
    def test_the_table_matches_the_chart(self, name):
        assert (CHARTS / f"{name}.json").read_bytes() == render_table(name), (
            "run: python -m passtally.chart_reader"
        )

    def test_every_state_is_reachable(self, name):
        chart = load_chart(name)
        assert {*events_by_state(chart), chart.root} == set(chart.states)

    def test_a_machine_processes_each_event_in_each_state_like_sismic(self, name):
        chart = load_chart(name)
        for state, events in events_by_state(chart).items():
            assert run_machine(name, events).state == state
            for event in (*chart.events_for(), UNKNOWN_EVENT):
                self._check(chart, name, events, event)

    def test_follow_agrees_with_sismic(self, name):
        chart = load_chart(name)
        for state, events in events_by_state(chart).items():
            for event in (*chart.events_for(), UNKNOWN_EVENT):
                expected = state_after(chart, (*events, event))
                if expected is not None:
                    assert follow(name, state, event) == expected
                    continue
                with pytest.raises(IllegalTransitionError):
                    follow(name, state, event)

    def test_a_machine_is_final_where_sismic_is(self, name):
        chart = load_chart(name)
        for events in events_by_state(chart).values():
            interpreter = Interpreter(chart)
            interpreter.execute()
            for event in events:
                interpreter.queue(event)
            interpreter.execute()
            assert run_machine(name, events).is_final == interpreter.final

    def _check(
        self, chart: Statechart, name: str, events: tuple[str, ...], event: str
    ) -> None:
        machine = run_machine(name, events)
        expected = state_after(chart, (*events, event))
        if expected is not None:
            assert machine.send(event) == expected
            return
        before = machine.state
        with pytest.raises(IllegalTransitionError):
            machine.send(event)
        assert machine.state == before


class TestUnsupportedCharts:
    #: States with a feature that a transition table cannot represent.
    STATES = {
        "a guard": "{name: a, transitions: [{event: e, target: b, guard: x > 1}]}",
        "an action": "{name: a, transitions: [{event: e, target: b, action: x = 1}]}",
        "no event": "{name: a, transitions: [{target: b}]}",
        "no change of state": "{name: a, transitions: [{event: e, action: x = 1}]}",
        "an action on entry": "{name: a, on entry: x = 1}",
        "an action on exit": "{name: a, on exit: x = 1}",
        "a nested state": "{name: a, initial: c, states: [{name: c}]}",
        "two targets of one event": (
            "{name: a, transitions: [{event: e, target: b}, {event: e, target: a}]}"
        ),
    }

    @pytest.mark.parametrize("what", sorted(STATES))
    def test_it_is_rejected(self, what):
        states = f"[{self.STATES[what]}, {{name: b}}]"
        chart = import_from_yaml(
            "statechart:\n"
            "  name: trial\n"
            f"  root state: {{name: trial, initial: a, states: {states}}}\n"
        )
        with pytest.raises(UnsupportedChartError):
            make_table(chart)
