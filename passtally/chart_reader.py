"""Reads the YAML state charts with sismic and generates their transition tables.

``python -m passtally.chart_reader`` writes each chart's table to a JSON file beside it.
"""

from pathlib import Path

import msgspec
from sismic.io import import_from_yaml
from sismic.model import ActionStateMixin, FinalState, Statechart, Transition

from passtally.statechart import ChartTable

CHARTS = Path(__file__).parent / "charts"


class UnsupportedChartError(Exception):
    """The chart has features beyond plain transitions on events between flat states."""


def load_chart(name: str) -> Statechart:
    """Read a YAML state chart.

    Args:
        name: The name of a file in ``passtally/charts``, without its extension.
    """
    return import_from_yaml((CHARTS / f"{name}.yaml").read_text())


def make_table(chart: Statechart) -> ChartTable:
    """Return the transition table of a chart.

    Raises:
        UnsupportedChartError: A transition table cannot represent the chart.
    """
    names = sorted(chart.children_for(chart.root))
    if {*names, chart.root} != set(chart.states):
        raise UnsupportedChartError(f"{chart.name} has nested states.")
    if chart.preamble or chart.transitions_from(chart.root):
        raise UnsupportedChartError(f"{chart.name} has a preamble or root transitions.")
    states = [chart.state_for(name) for name in names]
    for state in states:
        if isinstance(state, ActionStateMixin) and (state.on_entry or state.on_exit):
            raise UnsupportedChartError(
                f"{chart.name}: State {state.name} has entry or exit actions."
            )
    return ChartTable(
        initial=chart.state_for(chart.root).initial,
        final=frozenset(s.name for s in states if isinstance(s, FinalState)),
        targets_by_state={name: _targets_by_event(chart, name) for name in names},
    )


def _targets_by_event(chart: Statechart, state: str) -> dict[str, str]:
    targets_by_event: dict[str, str] = {}
    for transition in chart.transitions_from(state):
        if not _is_plain(transition) or transition.event in targets_by_event:
            raise UnsupportedChartError(
                f"{chart.name}: Unsupported or ambiguous transition: {transition}"
            )
        targets_by_event[transition.event] = transition.target
    return targets_by_event


def _is_plain(transition: Transition) -> bool:
    """Return whether a transition has an event and a target, but no guard or action."""
    return bool(
        transition.event
        and not transition.internal
        and not transition.guard
        and not transition.action
    )


def render_table(name: str) -> bytes:
    """Return the content of a chart's table file.

    Args:
        name: The name of a file in ``passtally/charts``, without its extension.
    """
    table = msgspec.json.encode(make_table(load_chart(name)), order="deterministic")
    return msgspec.json.format(table, indent=2) + b"\n"


def write_tables() -> None:
    """Write the table file of each chart in ``passtally/charts``."""
    for path in CHARTS.glob("*.yaml"):
        path.with_suffix(".json").write_bytes(render_table(path.stem))


if __name__ == "__main__":
    write_tables()
