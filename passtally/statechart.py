"""State machines that run from transition tables in ``passtally/charts``.

``chart_reader`` generates the tables from the YAML state charts. Hosts do not load the
charts themselves, since sismic and its YAML reader cost each host 3 MB of memory and
10 ms of processor time at each start.
"""

from collections.abc import Mapping
from functools import cache
from importlib import resources

import attrs
import msgspec


class IllegalTransitionError(Exception):
    """The chart does not allow the event in the current state."""


@attrs.frozen(kw_only=True)
class ChartTable:
    """The transition table of a chart without nested states.

    Attributes:
        initial: The initial state.
        final: The final states.
        targets_by_state: The target states of each state, by event.
    """

    initial: str
    final: frozenset[str]
    targets_by_state: Mapping[str, Mapping[str, str]]


class Machine:
    """A running state machine.

    Args:
        chart: The name of a file in ``passtally/charts``, without its extension.
    """

    def __init__(self, *, chart: str) -> None:
        self._chart = chart
        self._table = load_table(chart)
        #: The name of the current state.
        self.state: str = self._table.initial

    @property
    def is_final(self) -> bool:
        """Whether the current state is final."""
        return self.state in self._table.final

    def send(self, event: str) -> str:
        """Process an event.

        Args:
            event: The name of the event in the chart.

        Returns:
            The new state.

        Raises:
            IllegalTransitionError: The state is final, or the chart does not allow the
                event in it.
        """
        if self.is_final:
            raise IllegalTransitionError(
                f"{self._chart} is in a final state and does not allow event {event}."
            )
        self.state = follow(self._chart, self.state, event)
        return self.state


def follow(chart: str, state: str, event: str) -> str:
    """Return the state after an event, for callers that store the state themselves.

    Args:
        chart: The name of a file in ``passtally/charts``, without its extension.
        state: The current state.
        event: The name of the event in the chart.

    Raises:
        IllegalTransitionError: The chart does not allow the event in this state.
    """
    target = load_table(chart).targets_by_state[state].get(event)
    if target is None:
        raise IllegalTransitionError(
            f"{chart} in state {state} does not allow event {event}."
        )
    return target


@cache
def load_table(chart: str) -> ChartTable:
    """Load the transition table of a chart.

    Args:
        chart: The name of a file in ``passtally/charts``, without its extension.
    """
    path = resources.files("passtally") / "charts" / f"{chart}.json"
    return msgspec.json.decode(path.read_bytes(), type=ChartTable)
