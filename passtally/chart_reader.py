"""Reads the state charts with sismic and makes the tables that hosts run.

``python -m passtally.chart_reader`` writes the table of each chart beside it.
"""

from pathlib import Path

import msgspec
from sismic.io import import_from_yaml
from sismic.model import ActionStateMixin, FinalState, Statechart, Transition

from passtally.statechart import ChartTable

CHARTS = Path(__file__).parent / "charts"


class UnsupportedChartError(Exception):
    """A chart that says more than which state follows which on what event."""


def load_chart(name: str) -> Statechart:
    """Read a chart.

    Args:
        name: The name of a file in ``passtally/charts``, without its ending.
    """
    return import_from_yaml((CHARTS / f"{name}.yaml").read_text())


def make_table(chart: Statechart) -> ChartTable:
    """Return the table of a chart.

    Raises:
        UnsupportedChartError: A table can't tell all that the chart says.
    """
    names = sorted(chart.children_for(chart.root))
    if {*names, chart.root} != set(chart.states):
        raise UnsupportedChartError(f"{chart.name} has nested states.")
    if chart.preamble or chart.transitions_from(chart.root):
        raise UnsupportedChartError(f"{chart.name} does something as a whole.")
    states = [chart.state_for(name) for name in names]
    for state in states:
        if isinstance(state, ActionStateMixin) and (state.on_entry or state.on_exit):
            raise UnsupportedChartError(f"{chart.name}: {state.name} has actions.")
    return ChartTable(
        initial=chart.state_for(chart.root).initial,
        final=frozenset(s.name for s in states if isinstance(s, FinalState)),
        targets_by_state={name: _targets_by_event(chart, name) for name in names},
    )


def _targets_by_event(chart: Statechart, state: str) -> dict[str, str]:
    targets_by_event: dict[str, str] = {}
    for transition in chart.transitions_from(state):
        if not _is_plain(transition) or transition.event in targets_by_event:
            raise UnsupportedChartError(f"{chart.name}: {transition}")
        targets_by_event[transition.event] = transition.target
    return targets_by_event


def _is_plain(transition: Transition) -> bool:
    """Return whether only an event decides, and only the state changes."""
    return bool(
        transition.event
        and not transition.internal
        and not transition.guard
        and not transition.action
    )


def render_table(name: str) -> bytes:
    """Return the content of the file with a chart's table.

    Args:
        name: The name of a file in ``passtally/charts``, without its ending.
    """
    table = msgspec.json.encode(make_table(load_chart(name)), order="deterministic")
    return msgspec.json.format(table, indent=2) + b"\n"


def write_tables() -> None:
    """Write the table of each chart beside it."""
    for path in CHARTS.glob("*.yaml"):
        path.with_suffix(".json").write_bytes(render_table(path.stem))


if __name__ == "__main__":
    write_tables()
