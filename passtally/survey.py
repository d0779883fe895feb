"""Asks endpoints what waits there before a prompt is placed.

In a large fleet a host hears the loads of a few others only, so that several may
choose one endpoint at the same moment; their prompts are then read one after the
other. A report lags by some hundred milliseconds, but it counts all hosts' runs.
"""

from collections.abc import Callable, Sequence

import attrs

from passtally.decision import log_event
from passtally.engine import AttemptLostError
from passtally.fleet import Fleet
from passtally.retry import LossKind

#: The most endpoints that are asked for one prompt: with two thirds of them idle, one
#: in 27 prompts finds none idle among three.
MAX_ASKED = 3


@attrs.frozen(kw_only=True)
class SurveyResult:
    """What the endpoints answered.

    Attributes:
        endpoint_id: The one where the least waits.
        waiting_by_id: The runs without output at each one that answered.
    """

    endpoint_id: str
    waiting_by_id: dict[str, int]


class Survey:
    """Asks the best candidates of a placement.

    Args:
        fleet: The endpoints.
        is_needed: Returns whether this host knows too little of the others' loads.
    """

    def __init__(self, *, fleet: Fleet, is_needed: Callable[[], bool]) -> None:
        self._fleet = fleet
        self._is_needed = is_needed

    async def choose(self, ranked: Sequence[str]) -> SurveyResult:
        """Return the candidate where the least waits; the first if none is asked.

        One that does not answer is passed over: it may have gone a moment ago.

        Args:
            ranked: The candidates' ids, the best first.
        """
        waiting_by_id: dict[str, int] = {}
        if not self._is_needed():
            return SurveyResult(endpoint_id=ranked[0], waiting_by_id=waiting_by_id)
        for endpoint_id in ranked[:MAX_ASKED]:
            unread = await self._ask(endpoint_id)
            if unread is not None:
                waiting_by_id[endpoint_id] = unread
            if unread == 0:
                break
        best = min(waiting_by_id, key=waiting_by_id.__getitem__, default=ranked[0])
        return SurveyResult(endpoint_id=best, waiting_by_id=waiting_by_id)

    async def _ask(self, endpoint_id: str) -> int | None:
        live = self._fleet.find(endpoint_id)
        if live is None:
            return None
        try:
            unread = await live.engine.count_waiting()
        except AttemptLostError as loss:
            log_event("survey", "No report.", peer=endpoint_id, why=loss)
            if loss.kind is LossKind.REPLACED:
                self._fleet.record_replaced(live, loss.successor)
            return None
        # The report may be older than this host's own last runs.
        return max(unread, live.waiting_streams)
