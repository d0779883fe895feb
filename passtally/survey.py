"""Queries endpoints for the number of their waiting runs before a prompt is placed.

In a large fleet a host receives the loads of a few other hosts only, so that several
may choose one endpoint at the same moment, and their prompts queue for prefill there.
An endpoint's own report is some hundred milliseconds old, but counts the runs of all
hosts.
"""

from collections.abc import Callable, Sequence

import attrs

from passtally.decision import log_event
from passtally.engine import AttemptLostError
from passtally.fleet import Fleet
from passtally.live_endpoint import LiveEndpoint
from passtally.retry import LossKind

#: Maximum number of endpoints queried per prompt. With two thirds of them idle,
#: one prompt in 27 finds no idle one among three.
MAX_QUERIED = 3


@attrs.frozen(kw_only=True)
class SurveyResult:
    """The candidate chosen by a survey, with the replies.

    Attributes:
        endpoint_id: Id of the candidate with the fewest waiting runs.
        waiting_by_id: Number of runs without output at each endpoint that replied.
    """

    endpoint_id: str
    waiting_by_id: dict[str, int]


class Survey:
    """Chooses between the best candidates of a placement by their waiting runs.

    Args:
        fleet: The endpoints.
        is_needed: Returns whether this host lacks the loads of some other hosts. If
            not, no endpoint is queried.
    """

    def __init__(self, *, fleet: Fleet, is_needed: Callable[[], bool]) -> None:
        self._fleet = fleet
        self._is_needed = is_needed

    async def choose(
        self, ranked: Sequence[str], *, prompt_tokens: int = 0
    ) -> SurveyResult:
        """Return the candidate with the fewest waiting runs.

        Candidates are queried in order until one has none waiting. One that does not
        reply is skipped, since it may have crashed a moment ago. The first candidate
        is returned if none is queried or none replies.

        Args:
            ranked: The candidates' ids, the best first.
            prompt_tokens: Number of tokens of the prompt. The waiting prompts are
                assumed to be as long.
        """
        waiting_by_id: dict[str, int] = {}
        if not self._is_needed():
            return SurveyResult(endpoint_id=ranked[0], waiting_by_id=waiting_by_id)
        for endpoint_id in ranked[:MAX_QUERIED]:
            live = self._fleet.find(endpoint_id)
            waiting = None if live is None else await self._count_waiting(live)
            if waiting is not None:
                live.record_waiting(waiting * prompt_tokens)
                waiting_by_id[endpoint_id] = waiting
            if waiting == 0:
                break
        best = min(waiting_by_id, key=waiting_by_id.__getitem__, default=ranked[0])
        return SurveyResult(endpoint_id=best, waiting_by_id=waiting_by_id)

    async def _count_waiting(self, live: LiveEndpoint) -> int | None:
        try:
            waiting = await live.count_waiting()
        except AttemptLostError as loss:
            log_event(
                "survey",
                "Waiting runs could not be counted.",
                peer=live.endpoint.id,
                why=loss,
            )
            if loss.kind is LossKind.REPLACED:
                self._fleet.losses.record_replaced(live, loss.successor)
            return None
        # The report may be older than the last runs that this host started there.
        return max(waiting, live.waiting_streams)
