"""State machines whose charts are files beside the code, run by the charts' tables.

``chart_reader`` makes the tables from the charts. Hosts run the tables because sismic,
with its YAML reader, took 3 MB of each host and 10 ms of its processor at each start.
"""

from collections.abc import Mapping
from functools import cache
from importlib import resources

import attrs
import msgspec


class IllegalTransitionError(Exception):
    """An event that the chart does not allow in this state."""


@attrs.frozen(kw_only=True)
class ChartTable:
    """One chart without nested states.

    Attributes:
        initial: The state at the start.
        final: The states in which the machine has ended.
        targets_by_state: For each state the states that follow, by event.
    """

    initial: str
    final: frozenset[str]
    targets_by_state: Mapping[str, Mapping[str, str]]


class Machine:
    """One running state machine.

    Args:
        chart: The name of a file in ``passtally/charts``, without its ending.
    """

    def __init__(self, *, chart: str) -> None:
        self._chart = chart
        self._table = load_table(chart)
        #: The name of the active state; of the last one, once ended.
        self.state: str = self._table.initial

    @property
    def is_final(self) -> bool:
        """Whether the machine has ended."""
        return self.state in self._table.final

    def send(self, event: str) -> str:
        """Take one event.

        Args:
            event: Its name in the chart.

        Returns:
            The state after it.

        Raises:
            IllegalTransitionError: The chart allows no such event now.
        """
        if self.is_final:
            raise IllegalTransitionError(f"{self._chart} has ended: no {event}.")
        self.state = follow(self._chart, self.state, event)
        return self.state


def follow(chart: str, state: str, event: str) -> str:
    """Return the state that follows, for a state that is kept elsewhere.

    Args:
        chart: The name of a file in ``passtally/charts``, without its ending.
        state: The state now.
        event: What happens.

    Raises:
        IllegalTransitionError: The chart allows no such event in this state.
    """
    target = load_table(chart).targets_by_state[state].get(event)
    if target is None:
        raise IllegalTransitionError(f"{chart} in {state}: no {event}.")
    return target


@cache
def load_table(chart: str) -> ChartTable:
    """Read a chart's table.

    Args:
        chart: The name of a file in ``passtally/charts``, without its ending.
    """
    path = resources.files("passtally") / "charts" / f"{chart}.json"
    return msgspec.json.decode(path.read_bytes(), type=ChartTable)
